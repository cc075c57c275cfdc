use super::*;
use crate::interface::{FleetView, Phase};
use crate::test_support::{
    at, balancer, context, endpoint, leased_context, snapshot, stage_update, watch_lost,
    WATCH_ENDED,
};
use rstest::rstest;
use std::collections::BTreeSet;

#[test]
fn a_new_pod_of_unknown_latency_is_not_the_cheapest() {
    let mut balancer = LoadBalancer::default();
    let context = context(1.0);
    let known = RunningMean {
        value: 0.3,
        count: 50,
    };
    balancer.machine_latency.insert(MachineTypeId(0), known);
    let cost_after = |count| {
        let value = if count > 0 { 0.2 } else { 0.0 };
        let snapshot = EndpointSnapshot {
            rank: 0,
            latency_ratio: RunningMean { value, count },
            ..snapshot(endpoint(0, 1))
        };
        balancer.cost(&snapshot, 1.0, &context)
    };
    assert!(cost_after(0) > cost_after(10));
    assert!(cost_after(1) > cost_after(10));
}

#[test]
fn identical_pods_receive_similar_numbers_of_requests() {
    let mut balancer = balancer(5);
    let mut context = context(5.0);
    let mut times_best = BTreeMap::new();
    for _ in 0..500 {
        balancer.place(RequestId(0), &mut context);
        let Some((_, Message::AttemptProposed { candidates, .. })) = context.mailboxes.pop() else {
            panic!("no pod proposed")
        };
        let best = candidates.iter().max().map(|candidate| candidate.pod);
        *times_best.entry(best).or_insert(0) += 1;
    }
    assert_eq!(times_best.len(), 5);
    assert!(
        times_best.values().all(|times| (50..200).contains(times)),
        "{times_best:?}"
    );
}

/// Returns the pods that the load balancer uses and the fraction of all pods that they make up.
fn in_use(balancer: &mut LoadBalancer) -> (Vec<EndpointSnapshot>, f64) {
    balancer.summary.refresh(&mut balancer.table);
    let [baseline, _] = balancer.endpoints_in_use(&context(1.0));
    let used = balancer
        .table
        .iter()
        .filter(|snapshot| snapshot.usable && snapshot.rank_key() >= baseline.lowest_rank)
        .cloned()
        .collect();
    (used, baseline.fraction)
}

#[test]
fn the_pods_in_use_stay_in_use_when_one_is_ejected() {
    let mut balancer = balancer(40);
    let (before, fraction) = in_use(&mut balancer);
    assert_eq!(before.len(), MIN_ENDPOINTS_IN_USE);
    assert!((fraction - 0.125).abs() < 1e-9);
    balancer.table.put(EndpointSnapshot {
        usable: false,
        ..before[0].clone()
    });
    let (after, _) = in_use(&mut balancer);
    assert_eq!(after.len(), MIN_ENDPOINTS_IN_USE);
    for used in &before[1..] {
        assert!(after
            .iter()
            .any(|snapshot| snapshot.endpoint.pod == used.endpoint.pod));
    }
}

/// Candidates on a side without usable pods count as the whole side; otherwise the slow-start
/// budget would be unbounded.
#[test]
fn a_side_without_usable_pods_counts_as_fully_used() {
    let mut balancer = balancer(3);
    for id in 0..3 {
        let snapshot = balancer.table.get(PodId(id)).cloned().unwrap();
        balancer.table.put(EndpointSnapshot {
            usable: false,
            ..snapshot
        });
    }
    balancer.summary.refresh(&mut balancer.table);
    let in_use = balancer.endpoints_in_use(&context(1.0));
    assert_eq!(in_use.map(|side| side.fraction), [1.0, 1.0]);
}

/// The order and number of pods from the fleet replace the sidecar's own, but never reduce the
/// number.
#[rstest]
#[case::fewer_than_its_own(3, vec![4, 9, 2], 5)]
#[case::more_than_its_own(8, vec![4, 9, 2], 8)]
fn a_fleet_view_overrides_the_pods_in_use(
    #[case] min_endpoints: usize,
    #[case] preference: Vec<u64>,
    #[case] expected: usize,
) {
    let (mut balancer, mut context) = (balancer(40), context(1.0));
    let preference: Vec<PodId> = preference.into_iter().map(PodId).collect();
    context.set_fleet_view(Some(FleetView {
        preference: preference.clone(),
        min_endpoints,
        probed_by_peers: BTreeSet::new(),
    }));
    let snapshots: Vec<EndpointSnapshot> = balancer.table.iter().cloned().collect();
    for snapshot in snapshots {
        balancer.table.put(EndpointSnapshot {
            rank: context.rank(snapshot.endpoint.pod),
            ..snapshot
        });
    }
    balancer.summary.refresh(&mut balancer.table);
    let [baseline, _] = balancer.endpoints_in_use(&context);
    let mut used: Vec<&EndpointSnapshot> = balancer
        .table
        .iter()
        .filter(|snapshot| snapshot.rank >= baseline.lowest_rank.0)
        .collect();
    used.sort_by_key(|snapshot| std::cmp::Reverse(snapshot.rank));
    assert_eq!(used.len(), expected);
    let first = used.iter().map(|snapshot| snapshot.endpoint.pod).take(3);
    assert!(first.eq(preference));
    assert!((baseline.fraction - expected as f64 / 40.0).abs() < 1e-9);
}

/// Returns the pods that request 0 may be sent to. Pods 0 to 2 are usable. Pod 0 served an attempt
/// sent at 11 s, pod 1 one sent at 8 s, and pod 2 none.
fn proposed_pods(context: &mut Context) -> Vec<u64> {
    let mut balancer = balancer(0);
    for (id, last_served_at) in [(0, 11.0), (1, 8.0), (2, 0.0)] {
        balancer.table.put(EndpointSnapshot {
            last_served_at: at(last_served_at),
            ..snapshot(endpoint(id, 1))
        });
    }
    balancer.stage = Some(stage_update(Phase::Released, 1.0));
    balancer.place(RequestId(0), context);
    let Some((Component::AdmissionControl, Message::AttemptProposed { candidates, .. })) =
        context.mailboxes.pop()
    else {
        panic!("no pods proposed")
    };
    candidates
        .into_iter()
        .map(|candidate| candidate.pod.0)
        .collect()
}

/// Once the lease on the endpoint list (6 s) has expired, only pods that served an attempt sent
/// within the last half of a lease receive requests. When the discovery service is considered down,
/// all pods do again.
#[rstest]
#[case::lists_are_received(None, 13.0, &[0, 1, 2])]
#[case::within_the_lease(Some(7.5), 13.0, &[0, 1, 2])]
#[case::after_the_lease(Some(6.5), 13.0, &[0])]
#[case::no_pod_served_recently(Some(6.5), 15.0, &[])]
#[case::after_the_outage_threshold(Some(6.5), 37.0, &[0, 1, 2])]
fn only_recently_serving_pods_are_used_after_the_lease(
    #[case] lost_at: Option<f64>,
    #[case] now: f64,
    #[case] pods: &[u64],
) {
    let mut context = leased_context(lost_at.unwrap_or(now));
    if lost_at.is_some() {
        context.dispatch_event(watch_lost(WATCH_ENDED));
    }
    while context.mailboxes.pop().is_some() {}
    context.now = at(now);
    assert_eq!(proposed_pods(&mut context), pods);
}
