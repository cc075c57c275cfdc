//! Tests which outlier hints count, and how little effect a lying or isolated member has.

use limewing_coordination::{
    find_outliers, is_prober, Coordinator, LoadReport, Member, OutlierHint, OutlierObservation,
    PeerReport, Pod, CONCURRENT_PROBERS, MAX_HINTS, ROTATION_INTERVAL,
};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn report(member: u64, zone: u16, pods: &[u64], hint: OutlierHint) -> PeerReport {
    let hints = pods.iter().map(|pod| (*pod, hint)).collect();
    PeerReport {
        member,
        zone,
        received_at: seconds(0.0),
        hints,
        lost_services: 0,
    }
}

fn reports_without_hints(count: u64) -> Vec<PeerReport> {
    (0..count)
        .map(|n| report(100 + n, n as u16 % 3, &[], OutlierHint::Recovered))
        .collect()
}

#[rstest]
#[case::three_members_of_two_zones(vec![report(1, 0, &[5], OutlierHint::Ejected), report(2, 0, &[5], OutlierHint::Ejected), report(3, 1, &[5], OutlierHint::Ejected)], &[5])]
#[case::two_members(vec![report(1, 0, &[5], OutlierHint::Ejected), report(2, 1, &[5], OutlierHint::Ejected)], &[])]
#[case::three_members_of_one_zone(vec![report(1, 0, &[5], OutlierHint::Ejected), report(2, 0, &[5], OutlierHint::Ejected), report(3, 0, &[5], OutlierHint::Ejected)], &[])]
#[case::one_member_received_an_answer(vec![
    report(1, 0, &[5], OutlierHint::Ejected), report(2, 0, &[5], OutlierHint::Ejected), report(3, 1, &[5], OutlierHint::Ejected), report(4, 1, &[5], OutlierHint::Recovered),
], &[])]
#[case::one_member_repeats_itself(vec![report(1, 0, &[5, 5, 5], OutlierHint::Ejected), report(2, 1, &[5], OutlierHint::Ejected)], &[])]
#[case::one_member_suspects_many(vec![
    report(1, 0, &[5, 6, 7, 8, 9], OutlierHint::Ejected), report(2, 0, &[5], OutlierHint::Ejected), report(3, 1, &[5], OutlierHint::Ejected),
], &[])]
#[case::unknown_pod(vec![report(1, 0, &[99], OutlierHint::Ejected), report(2, 0, &[99], OutlierHint::Ejected), report(3, 1, &[99], OutlierHint::Ejected)], &[])]
#[case::too_many_outliers_in_total((0..3u16).flat_map(|zone| (0..3u64).map(move |n| {
    let first = 5 + 4 * u64::from(zone);
    report(u64::from(zone) * 10 + n, (zone + n as u16) % 3, &[first, first + 1, first + 2, first + 3], OutlierHint::Ejected)
})).collect(), &[])]
fn hints_count_only_if_several_members_of_several_zones_agree(
    #[case] reports: Vec<PeerReport>,
    #[case] expected: &[u64],
) {
    let pods: Vec<u64> = (5..21).collect();
    let all_reports = [reports, reports_without_hints(9)].concat();
    let found: Vec<u64> = find_outliers(&all_reports, &pods, seconds(3.0))
        .into_keys()
        .collect();
    assert_eq!(found, expected);
    assert_eq!(
        find_outliers(&all_reports, &pods, seconds(10.0)).len(),
        0,
        "hints expire"
    );
}

/// Returns the coordinator of a member whose peers sent these reports.
fn coordinator(reports: &[(u64, LoadReport)], now: Duration) -> Coordinator {
    let mut coordinator = Coordinator::new(seconds(0.0), 1, 0);
    coordinator.set_pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: key as u16 % 2,
                capacity: 1.0,
            })
            .collect(),
    );
    coordinator.set_peers(
        reports
            .iter()
            .map(|(member, report)| (*member, Some((report.clone(), now)))),
    );
    coordinator
}

fn reports_with_three_hints(hint: OutlierHint) -> Vec<(u64, LoadReport)> {
    let report = |zone, hints| LoadReport {
        zone,
        rate_exponent: 4,
        hints,
        lost_services: 0,
    };
    let suspecting = (2..5u64).map(|n| (n, report(n as u16 % 2, vec![(5, hint)])));
    suspecting
        .chain((5..12u64).map(|n| (n, report(n as u16 % 2, Vec::new()))))
        .collect()
}

#[test]
fn outliers_come_last_unless_they_answered_this_member() {
    let last_preference = |coordinator: &mut Coordinator, now| {
        coordinator
            .take_view(now)
            .flatten()
            .and_then(|v| v.preference.last().copied())
    };
    let mut unaware = coordinator(
        &reports_with_three_hints(OutlierHint::Ejected),
        seconds(1.0),
    );
    assert_eq!(last_preference(&mut unaware, seconds(1.0)), Some(5));
    let mut answered = coordinator(
        &reports_with_three_hints(OutlierHint::Ejected),
        seconds(1.0),
    );
    answered.record_outcome(seconds(1.0), 5, OutlierObservation::Answered(0.1));
    let view = answered
        .take_view(seconds(1.0))
        .flatten()
        .unwrap_or_default();
    assert!(view.preference.len() == 16 && !view.probed_by_peers.contains(&5));
    let mut alone = coordinator(&[], seconds(1.0));
    assert_eq!(
        alone.take_view(seconds(1.0)),
        None,
        "without other members there is no view"
    );
}

/// Guards against a member without a report (another version, or coordination disabled) being
/// counted as a further zone that would have to agree.
#[test]
fn members_without_a_report_do_not_prevent_hints_from_counting() {
    let mut coordinator = Coordinator::new(seconds(0.0), 1, 0);
    coordinator.set_pods(
        (5..21)
            .map(|key| Pod {
                key,
                zone: 0,
                capacity: 1.0,
            })
            .collect(),
    );
    let report = |n: u64| {
        (n < 5).then(|| {
            (
                LoadReport {
                    zone: 0,
                    rate_exponent: 4,
                    hints: vec![(5, OutlierHint::Ejected)],
                    lost_services: 0,
                },
                seconds(1.0),
            )
        })
    };
    coordinator.set_peers((2..7).map(|n| (n, report(n))));
    assert_eq!(
        coordinator
            .take_view(seconds(1.0))
            .flatten()
            .and_then(|view| view.preference.last().copied()),
        Some(5)
    );
}

/// In each interval `CONCURRENT_PROBERS` of twelve members may health check the pod, and each gets
/// its turn.
#[test]
fn every_member_is_a_prober_in_turn() {
    let members: Vec<u64> = (1..13).collect();
    let mut probers = std::collections::BTreeSet::new();
    for rotation in 0..6 {
        let selected: Vec<u64> = members
            .iter()
            .copied()
            .filter(|m| is_prober(5, *m, members.iter().copied(), ROTATION_INTERVAL * rotation))
            .collect();
        assert_eq!(selected.len(), CONCURRENT_PROBERS);
        probers.extend(selected);
    }
    assert_eq!(probers.len(), 12);
}

/// Failures produce a hint until the pod answers. It is then reported as recovered for a while.
#[test]
fn outcomes_produce_hints() {
    let mut coordinator = coordinator(&[], seconds(0.0));
    let mut hints = |now: f64, observations: &[OutlierObservation]| {
        observations
            .iter()
            .for_each(|observation| coordinator.record_outcome(seconds(now), 5, *observation));
        coordinator
            .take_report(seconds(now))
            .map(|report| report.hints)
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
    assert_eq!(hints(3.0, &[]), None, "no report without changes");
    assert_eq!(
        hints(6.1, &[]),
        Some(vec![(5, OutlierHint::Ejected)]),
        "the hint is repeated before it expires"
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
    // An early cancellation means nothing; a late one counts as unanswered.
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
    /// Reports decode to what was encoded. Other bytes are rejected or decode within the bounds.
    #[test]
    fn reports_decode_as_encoded(zone: u16, rate_exponent: u8, lost_services: u8, pods in prop::collection::vec(any::<u64>(), 0..MAX_HINTS), random_bytes: Vec<u8>) {
        let hints = pods.into_iter().map(|pod| (pod, OutlierHint::Slow)).collect();
        let report = LoadReport { zone, rate_exponent, hints, lost_services };
        prop_assert!(report.encode().len() <= 256);
        // Reports of earlier versions end before the lost services.
        let earlier = &report.encode()[..report.encode().len() - 1];
        prop_assert_eq!(LoadReport::decode(earlier), Ok(LoadReport { lost_services: 0, ..report.clone() }));
        prop_assert_eq!(LoadReport::decode(&report.encode()), Ok(report));
        prop_assert!(LoadReport::decode(&random_bytes).is_ok_and(|report| report.hints.len() <= MAX_HINTS) || LoadReport::decode(&random_bytes).is_err());
    }

    /// A single member makes no pod an outlier, whatever its hints.
    #[test]
    fn a_single_member_makes_no_outlier(pods in prop::collection::vec(0u64..30, 0..40), count in 1u64..12) {
        let malicious = report(1, 7, &pods, OutlierHint::Ejected);
        let all_reports: Vec<PeerReport> = reports_without_hints(count).into_iter().chain([malicious]).collect();
        prop_assert_eq!(find_outliers(&all_reports, &(0..30).collect::<Vec<u64>>(), seconds(1.0)).len(), 0);
    }
}

/// A member still has pods if there are no requests and no capacity.
#[test]
fn a_member_without_requests_has_pods() {
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
