//! Which hints count, and what one that lies or is cut off can do.

use limewing_coordination::{
    find_outliers, is_prober, Coordinator, LoadReport, Member, OutlierHint, OutlierObservation,
    PeerReport, Pod, CONCURRENT_PROBERS, MAX_HINTS, ROTATION_INTERVAL,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn said(member: u64, zone: u16, pods: &[u64], hint: OutlierHint) -> PeerReport {
    let hints = pods.iter().map(|pod| (*pod, hint)).collect();
    PeerReport {
        member,
        zone,
        received_at: s(0.0),
        hints,
        lost_services: 0,
    }
}

fn quiet(many: u64) -> Vec<PeerReport> {
    (0..many)
        .map(|n| said(100 + n, n as u16 % 3, &[], OutlierHint::Recovered))
        .collect()
}

#[rstest]
#[case::three_of_two_zones(vec![said(1, 0, &[5], OutlierHint::Ejected), said(2, 0, &[5], OutlierHint::Ejected), said(3, 1, &[5], OutlierHint::Ejected)], &[5])]
#[case::two_are_too_few(vec![said(1, 0, &[5], OutlierHint::Ejected), said(2, 1, &[5], OutlierHint::Ejected)], &[])]
#[case::one_zone_may_be_cut_off(vec![said(1, 0, &[5], OutlierHint::Ejected), said(2, 0, &[5], OutlierHint::Ejected), said(3, 0, &[5], OutlierHint::Ejected)], &[])]
#[case::one_that_it_answered(vec![
    said(1, 0, &[5], OutlierHint::Ejected), said(2, 0, &[5], OutlierHint::Ejected), said(3, 1, &[5], OutlierHint::Ejected), said(4, 1, &[5], OutlierHint::Recovered),
], &[])]
#[case::one_says_it_often(vec![said(1, 0, &[5, 5, 5], OutlierHint::Ejected), said(2, 1, &[5], OutlierHint::Ejected)], &[])]
#[case::whoever_accuses_many_is_cut_off(vec![
    said(1, 0, &[5, 6, 7, 8, 9], OutlierHint::Ejected), said(2, 0, &[5], OutlierHint::Ejected), said(3, 1, &[5], OutlierHint::Ejected),
], &[])]
#[case::a_pod_that_is_not_listed(vec![said(1, 0, &[99], OutlierHint::Ejected), said(2, 0, &[99], OutlierHint::Ejected), said(3, 1, &[99], OutlierHint::Ejected)], &[])]
#[case::many_at_once_are_the_fleets_trouble((0..3u16).flat_map(|zone| (0..3u64).map(move |n| {
    let first = 5 + 4 * u64::from(zone);
    said(u64::from(zone) * 10 + n, (zone + n as u16) % 3, &[first, first + 1, first + 2, first + 3], OutlierHint::Ejected)
})).collect(), &[])]
fn what_counts(#[case] says: Vec<PeerReport>, #[case] expected: &[u64]) {
    let pods: Vec<u64> = (5..21).collect();
    let all = [says, quiet(9)].concat();
    let found: Vec<u64> = find_outliers(&all, &pods, s(3.0)).into_keys().collect();
    assert_eq!(found, expected);
    assert_eq!(find_outliers(&all, &pods, s(10.0)).len(), 0, "hints fade");
}

/// A member in a fleet of many, which all but it say to be of this opinion.
fn choices(says: &[(u64, LoadReport)], now: Duration) -> Coordinator {
    let mut choices = Coordinator::new(s(0.0), 1, 0);
    choices.set_pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: key as u16 % 2,
                capacity: 1.0,
            })
            .collect(),
    );
    choices.set_peers(
        says.iter()
            .map(|(member, says)| (*member, Some((says.clone(), now)))),
    );
    choices
}

fn three_say(hint: OutlierHint) -> Vec<(u64, LoadReport)> {
    let says = |zone, hints| LoadReport {
        zone,
        rate_exponent: 4,
        hints,
        lost_services: 0,
    };
    let accusers = (2..5u64).map(|n| (n, says(n as u16 % 2, vec![(5, hint)])));
    accusers
        .chain((5..12u64).map(|n| (n, says(n as u16 % 2, Vec::new()))))
        .collect()
}

#[test]
fn a_doubted_pod_comes_last_and_own_answers_prevail() {
    let last = |choices: &mut Coordinator, now| {
        choices
            .take_view(now)
            .flatten()
            .and_then(|v| v.preference.last().copied())
    };
    let mut doubts = choices(&three_say(OutlierHint::Ejected), s(1.0));
    assert_eq!(last(&mut doubts, s(1.0)), Some(5));
    let mut knows = choices(&three_say(OutlierHint::Ejected), s(1.0));
    knows.record_outcome(s(1.0), 5, OutlierObservation::Answered(0.1));
    let view = knows.take_view(s(1.0)).flatten().unwrap_or_default();
    assert!(view.preference.len() == 16 && !view.probed_by_peers.contains(&5));
    let mut alone = choices(&[], s(1.0));
    assert_eq!(
        alone.take_view(s(1.0)),
        None,
        "with nobody else there is no view"
    );
}

/// One that says nothing (another version, choices off) is no further zone that would have to agree.
#[test]
fn whoever_says_nothing_keeps_no_hint_from_counting() {
    let mut choices = Coordinator::new(s(0.0), 1, 0);
    choices.set_pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: 0,
                capacity: 1.0,
            })
            .collect(),
    );
    let says = |n: u64| {
        (n < 5).then(|| {
            (
                LoadReport {
                    zone: 0,
                    rate_exponent: 4,
                    hints: vec![(5, OutlierHint::Ejected)],
                    lost_services: 0,
                },
                s(1.0),
            )
        })
    };
    choices.set_peers((2..7).map(|n| (n, says(n))));
    assert_eq!(
        choices
            .take_view(s(1.0))
            .flatten()
            .and_then(|view| view.preference.last().copied()),
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
            .filter(|m| is_prober(5, *m, members.iter().copied(), ROTATION_INTERVAL * nth))
            .collect();
        assert_eq!(holders.len(), CONCURRENT_PROBERS);
        proved.extend(holders);
    }
    assert_eq!(proved.len(), 12);
}

/// What one learns of a pod it says, until the pod answers: then that, for a while.
#[test]
fn outcomes_make_hints() {
    let mut choices = choices(&[], s(0.0));
    let mut hints = |now: f64, signs: &[OutlierObservation]| {
        signs
            .iter()
            .for_each(|sign| choices.record_outcome(s(now), 5, *sign));
        choices.take_report(s(now)).map(|says| says.hints)
    };
    assert_eq!(
        hints(
            1.0,
            &[
                OutlierObservation::NoResponse,
                OutlierObservation::NoResponse
            ]
        ),
        Some(vec![])
    );
    assert_eq!(
        hints(2.0, &[OutlierObservation::NoResponse]),
        Some(vec![(5, OutlierHint::Ejected)])
    );
    assert_eq!(hints(3.0, &[]), None, "nothing new");
    assert_eq!(
        hints(6.1, &[]),
        Some(vec![(5, OutlierHint::Ejected)]),
        "said again before it fades"
    );
    assert_eq!(
        hints(7.0, &[OutlierObservation::Answered(0.1)]),
        Some(vec![(5, OutlierHint::Recovered)])
    );
    assert_eq!(hints(12.5, &[]), Some(vec![]));
    assert_eq!(
        hints(13.0, &[OutlierObservation::ConnectFailed]),
        Some(vec![(5, OutlierHint::Ejected)])
    );
    assert_eq!(
        hints(14.0, &[OutlierObservation::Answered(0.1)]),
        Some(vec![(5, OutlierHint::Recovered)])
    );
    // Called off early it tells nothing; late, as often as unanswered.
    assert_eq!(
        hints(20.0, &[OutlierObservation::Cancelled(0.0); 3]),
        Some(vec![])
    );
    assert_eq!(
        hints(21.0, &[OutlierObservation::Cancelled(0.9); 3]),
        Some(vec![(5, OutlierHint::Ejected)])
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// What is read is what was written; anything else is refused, or read as something within the bounds.
    #[test]
    fn words_are_read_as_written(zone: u16, rate_exponent: u8, lost_services: u8, pods in prop::collection::vec(any::<u64>(), 0..MAX_HINTS), noise: Vec<u8>) {
        let hints = pods.into_iter().map(|pod| (pod, OutlierHint::Slow)).collect();
        let says = LoadReport { zone, rate_exponent, hints, lost_services };
        prop_assert!(says.encode().len() <= 256);
        // An earlier version's words end before the services.
        let earlier = &says.encode()[..says.encode().len() - 1];
        prop_assert_eq!(LoadReport::decode(earlier), Ok(LoadReport { lost_services: 0, ..says.clone() }));
        prop_assert_eq!(LoadReport::decode(&says.encode()), Ok(says));
        prop_assert!(LoadReport::decode(&noise).is_ok_and(|s| s.hints.len() <= MAX_HINTS) || LoadReport::decode(&noise).is_err());
    }

    /// One member, whatever it says, takes no pod from the others.
    #[test]
    fn one_alone_moves_nothing(pods in prop::collection::vec(0u64..30, 0..40), many in 1u64..12) {
        let lies = said(1, 7, &pods, OutlierHint::Ejected);
        let all: Vec<PeerReport> = quiet(many).into_iter().chain([lies]).collect();
        prop_assert_eq!(find_outliers(&all, &(0..30).collect::<Vec<u64>>(), s(1.0)).len(), 0);
    }
}

/// With the least traffic and none a member still has its pods.
#[test]
fn a_member_without_traffic_has_pods() {
    let members = [
        Member {
            key: 1,
            zone: 0,
            request_rate: 0.0,
        },
        Member {
            key: 2,
            zone: 9,
            request_rate: 0.0,
        },
    ];
    let pods: Vec<Pod> = (0..9)
        .map(|key| Pod {
            key,
            zone: 0,
            capacity: 0.0,
        })
        .collect();
    assert!(limewing_coordination::assign_subsets(&members, &pods)
        .iter()
        .all(|share| share.len() >= 4));
}
