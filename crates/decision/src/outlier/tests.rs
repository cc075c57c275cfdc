use super::*;
use crate::interface::{FleetView, PodId};
use crate::test_support::{at, attempt_ended, context, endpoint, leased_context};
use rstest::rstest;

fn detector() -> OutlierDetector {
    OutlierDetector::new(endpoint(0, 1))
}

#[test]
fn a_pod_that_fails_immediately_is_ejected_and_not_considered_fast() {
    let (mut detector, context) = (detector(), context(1.0));
    for _ in 0..3 {
        detector.record_outcome(&attempt_ended(AttemptOutcome::Failed), &context);
    }
    assert!(detector.health.ejected_until > context.now);
    assert_eq!(detector.health.latency_ratio.count, 0);
}

/// A reset may be caused by a single connection, but an unreachable pod is ejected immediately.
#[rstest]
#[case::one_reset(AttemptOutcome::ConnectionReset, 1, false)]
#[case::three_resets(AttemptOutcome::ConnectionReset, 3, true)]
#[case::no_connection(AttemptOutcome::ConnectFailed, 1, true)]
fn failures_eject_a_pod(
    #[case] outcome: AttemptOutcome,
    #[case] times: usize,
    #[case] ejected: bool,
) {
    let (mut detector, context) = (detector(), context(1.0));
    for _ in 0..times {
        detector.record_outcome(&attempt_ended(outcome), &context);
    }
    assert_eq!(detector.health.is_ejected(), ejected);
}

#[rstest]
#[case::no_outcome(None, true)]
#[case::answered(Some(AttemptOutcome::Succeeded), false)]
#[case::cancelled(Some(AttemptOutcome::Cancelled), true)]
fn an_unresponsive_pod_stays_ejected_until_it_answers(
    #[case] outcome: Option<AttemptOutcome>,
    #[case] ejected: bool,
) {
    let (mut detector, mut context) = (detector(), context(9.0));
    detector
        .in_flight
        .insert((RequestId(0), AttemptIndex(0)), at(1.0));
    detector.receive(Message::Tick, &mut context);
    if let Some(outcome) = outcome {
        detector.receive(Message::AttemptEnded(attempt_ended(outcome)), &mut context);
    }
    assert_eq!(detector.health.is_ejected(), ejected);
}

#[test]
fn failures_of_an_outlier_tenant_eject_no_pod() {
    let (mut detector, context) = (detector(), context(1.0));
    let ended = AttemptEnded {
        tenant_outlier: true,
        ..attempt_ended(AttemptOutcome::Failed)
    };
    for _ in 0..9 {
        detector.record_outcome(&ended, &context);
    }
    assert!(!detector.health.is_ejected());
}

#[rstest]
#[case::fails_alone(0.8, 0.0, true)]
#[case::all_fail(0.8, 0.7, false)]
#[case::healthy(0.1, 0.0, false)]
fn a_tenant_is_an_outlier_if_others_succeed(
    #[case] own: f64,
    #[case] other: f64,
    #[case] expected: bool,
) {
    let mut outliers = TenantOutliers::default();
    for (tenant, value) in [(0, own), (1, other)] {
        outliers
            .failure_rates
            .insert(TenantId(tenant), RunningMean { value, count: 30 });
    }
    assert_eq!(outliers.is_outlier(TenantId(0)), expected);
}

/// An ejected pod whose health is checked by other sidecars needs no health check here. This
/// sidecar's own outcomes can still reinstate it.
#[rstest]
#[case::not_probed_by_peers(vec![], true)]
#[case::pod_is_probed_by_peers(vec![0], false)]
fn no_health_check_is_wanted_while_peers_probe_the_pod(
    #[case] probed_by_peers: Vec<u64>,
    #[case] wants_health_check: bool,
) {
    let mut context = context(9.0);
    context.set_fleet_view(Some(FleetView {
        probed_by_peers: probed_by_peers.into_iter().map(PodId).collect(),
        ..FleetView::default()
    }));
    let mut detector = detector();
    detector.health.ejected_until = at(1.0);
    detector.publish_snapshot(&mut context);
    let Some((_, Message::SnapshotPublished(snapshot))) = context.mailboxes.pop() else {
        panic!("no snapshot")
    };
    assert!(!snapshot.usable);
    assert_eq!(snapshot.wants_health_check, wants_health_check);
}

/// A pod that rejected an attempt may be draining, so it is not trusted until it has served an
/// attempt again.
#[rstest]
#[case::served(AttemptOutcome::Succeeded, true)]
#[case::rejected(AttemptOutcome::Rejected, false)]
fn the_last_outcome_decides_whether_a_pod_is_trusted(
    #[case] last: AttemptOutcome,
    #[case] trusted: bool,
) {
    let (mut detector, context) = (detector(), leased_context(3.0));
    for outcome in [AttemptOutcome::Succeeded, last] {
        let ended = AttemptEnded {
            sent_at: at(2.0),
            ..attempt_ended(outcome)
        };
        detector.record_outcome(&ended, &context);
    }
    assert_eq!(!detector.health.last_served_at.is_zero(), trusted);
}
