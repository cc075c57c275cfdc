//! Which hints count, and what one that lies or is cut off can do.

use limewing_coordination::{
    doubted, holds, Choices, Hint, Member, Pod, Said, Says, Sign, MOST_HINTS, PROVERS, TURN,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn said(member: u64, zone: u16, pods: &[u64], hint: Hint) -> Said {
    let hints = pods.iter().map(|pod| (*pod, hint)).collect();
    Said {
        member,
        zone,
        at: s(0.0),
        hints,
        lost: 0,
    }
}

fn quiet(many: u64) -> Vec<Said> {
    (0..many)
        .map(|n| said(100 + n, n as u16 % 3, &[], Hint::Open))
        .collect()
}

#[rstest]
#[case::three_of_two_zones(vec![said(1, 0, &[5], Hint::Shut), said(2, 0, &[5], Hint::Shut), said(3, 1, &[5], Hint::Shut)], &[5])]
#[case::two_are_too_few(vec![said(1, 0, &[5], Hint::Shut), said(2, 1, &[5], Hint::Shut)], &[])]
#[case::one_zone_may_be_cut_off(vec![said(1, 0, &[5], Hint::Shut), said(2, 0, &[5], Hint::Shut), said(3, 0, &[5], Hint::Shut)], &[])]
#[case::one_that_it_answered(vec![
    said(1, 0, &[5], Hint::Shut), said(2, 0, &[5], Hint::Shut), said(3, 1, &[5], Hint::Shut), said(4, 1, &[5], Hint::Open),
], &[])]
#[case::one_says_it_often(vec![said(1, 0, &[5, 5, 5], Hint::Shut), said(2, 1, &[5], Hint::Shut)], &[])]
#[case::whoever_accuses_many_is_cut_off(vec![
    said(1, 0, &[5, 6, 7, 8, 9], Hint::Shut), said(2, 0, &[5], Hint::Shut), said(3, 1, &[5], Hint::Shut),
], &[])]
#[case::a_pod_that_is_not_listed(vec![said(1, 0, &[99], Hint::Shut), said(2, 0, &[99], Hint::Shut), said(3, 1, &[99], Hint::Shut)], &[])]
#[case::many_at_once_are_the_fleets_trouble((0..3u16).flat_map(|zone| (0..3u64).map(move |n| {
    let first = 5 + 4 * u64::from(zone);
    said(u64::from(zone) * 10 + n, (zone + n as u16) % 3, &[first, first + 1, first + 2, first + 3], Hint::Shut)
})).collect(), &[])]
fn what_counts(#[case] says: Vec<Said>, #[case] expected: &[u64]) {
    let pods: Vec<u64> = (5..21).collect();
    let all = [says, quiet(9)].concat();
    let found: Vec<u64> = doubted(&all, &pods, s(3.0)).into_keys().collect();
    assert_eq!(found, expected);
    assert_eq!(doubted(&all, &pods, s(10.0)).len(), 0, "hints fade");
}

/// A member in a fleet of many, which all but it say to be of this opinion.
fn choices(says: &[(u64, Says)], now: Duration) -> Choices {
    let mut choices = Choices::new(s(0.0), 1, 0);
    choices.pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: key as u16 % 2,
                strength: 1.0,
            })
            .collect(),
    );
    choices.others(
        says.iter()
            .map(|(member, says)| (*member, Some((says.clone(), now)))),
    );
    choices
}

fn three_say(hint: Hint) -> Vec<(u64, Says)> {
    let says = |zone, hints| Says {
        zone,
        traffic: 4,
        hints,
        lost: 0,
    };
    let accusers = (2..5u64).map(|n| (n, says(n as u16 % 2, vec![(5, hint)])));
    accusers
        .chain((5..12u64).map(|n| (n, says(n as u16 % 2, Vec::new()))))
        .collect()
}

#[test]
fn a_doubted_pod_comes_last_and_own_answers_prevail() {
    let last = |choices: &mut Choices, now| {
        choices
            .view(now)
            .flatten()
            .and_then(|v| v.order.last().copied())
    };
    let mut doubts = choices(&three_say(Hint::Shut), s(1.0));
    assert_eq!(last(&mut doubts, s(1.0)), Some(5));
    let mut knows = choices(&three_say(Hint::Shut), s(1.0));
    knows.ended(s(1.0), 5, Sign::Answered(0.1));
    let view = knows.view(s(1.0)).flatten().unwrap_or_default();
    assert!(view.order.len() == 16 && !view.held.contains(&5));
    let mut alone = choices(&[], s(1.0));
    assert_eq!(
        alone.view(s(1.0)),
        None,
        "with nobody else there is no view"
    );
}

/// One that says nothing (another version, choices off) is no further zone that would have to agree.
#[test]
fn whoever_says_nothing_keeps_no_hint_from_counting() {
    let mut choices = Choices::new(s(0.0), 1, 0);
    choices.pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: 0,
                strength: 1.0,
            })
            .collect(),
    );
    let says = |n: u64| {
        (n < 5).then(|| {
            (
                Says {
                    zone: 0,
                    traffic: 4,
                    hints: vec![(5, Hint::Shut)],
                    lost: 0,
                },
                s(1.0),
            )
        })
    };
    choices.others((2..7).map(|n| (n, says(n))));
    assert_eq!(
        choices
            .view(s(1.0))
            .flatten()
            .and_then(|view| view.order.last().copied()),
        Some(5)
    );
}

/// Each turn so many of twelve may prove it, and in time each may.
#[test]
fn proofs_go_round() {
    let members: Vec<u64> = (1..13).collect();
    let mut proved = std::collections::BTreeSet::new();
    for nth in 0..6 {
        let holders: Vec<u64> = members
            .iter()
            .copied()
            .filter(|m| holds(5, *m, members.iter().copied(), TURN * nth))
            .collect();
        assert_eq!(holders.len(), PROVERS);
        proved.extend(holders);
    }
    assert_eq!(proved.len(), 12);
}

/// What one learns of a pod it says, until the pod answers: then that, for a while.
#[test]
fn outcomes_make_hints() {
    let mut choices = choices(&[], s(0.0));
    let mut hints = |now: f64, signs: &[Sign]| {
        signs
            .iter()
            .for_each(|sign| choices.ended(s(now), 5, *sign));
        choices.says(s(now)).map(|says| says.hints)
    };
    assert_eq!(
        hints(1.0, &[Sign::Unanswered, Sign::Unanswered]),
        Some(vec![])
    );
    assert_eq!(hints(2.0, &[Sign::Unanswered]), Some(vec![(5, Hint::Shut)]));
    assert_eq!(hints(3.0, &[]), None, "nothing new");
    assert_eq!(
        hints(6.1, &[]),
        Some(vec![(5, Hint::Shut)]),
        "said again before it fades"
    );
    assert_eq!(
        hints(7.0, &[Sign::Answered(0.1)]),
        Some(vec![(5, Hint::Open)])
    );
    assert_eq!(hints(12.5, &[]), Some(vec![]));
    assert_eq!(hints(13.0, &[Sign::Unreached]), Some(vec![(5, Hint::Shut)]));
    assert_eq!(
        hints(14.0, &[Sign::Answered(0.1)]),
        Some(vec![(5, Hint::Open)])
    );
    // Called off early it tells nothing; late, as often as unanswered.
    assert_eq!(hints(20.0, &[Sign::CalledOff(0.0); 3]), Some(vec![]));
    assert_eq!(
        hints(21.0, &[Sign::CalledOff(0.9); 3]),
        Some(vec![(5, Hint::Shut)])
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// What is read is what was written; anything else is refused, or read as something within the bounds.
    #[test]
    fn words_are_read_as_written(zone: u16, traffic: u8, lost: u8, pods in prop::collection::vec(any::<u64>(), 0..MOST_HINTS), noise: Vec<u8>) {
        let hints = pods.into_iter().map(|pod| (pod, Hint::Slow)).collect();
        let says = Says { zone, traffic, hints, lost };
        prop_assert!(says.write().len() <= 256);
        // An earlier version's words end before the services.
        let earlier = &says.write()[..says.write().len() - 1];
        prop_assert_eq!(Says::read(earlier), Ok(Says { lost: 0, ..says.clone() }));
        prop_assert_eq!(Says::read(&says.write()), Ok(says));
        prop_assert!(Says::read(&noise).is_ok_and(|s| s.hints.len() <= MOST_HINTS) || Says::read(&noise).is_err());
    }

    /// One member, whatever it says, takes no pod from the others.
    #[test]
    fn one_alone_moves_nothing(pods in prop::collection::vec(0u64..30, 0..40), many in 1u64..12) {
        let lies = said(1, 7, &pods, Hint::Shut);
        let all: Vec<Said> = quiet(many).into_iter().chain([lies]).collect();
        prop_assert_eq!(doubted(&all, &(0..30).collect::<Vec<u64>>(), s(1.0)).len(), 0);
    }
}

/// With the least traffic and none a member still has its pods.
#[test]
fn a_member_without_traffic_has_pods() {
    let members = [
        Member {
            key: 1,
            zone: 0,
            traffic: 0.0,
        },
        Member {
            key: 2,
            zone: 9,
            traffic: 0.0,
        },
    ];
    let pods: Vec<Pod> = (0..9)
        .map(|key| Pod {
            key,
            zone: 0,
            strength: 0.0,
        })
        .collect();
    assert!(limewing_coordination::share_out(&members, &pods)
        .iter()
        .all(|share| share.len() >= 4));
}
