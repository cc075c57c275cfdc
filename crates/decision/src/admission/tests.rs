use super::*;
use crate::interface::{ClassId, Phase, RoutingKey};
use crate::test_support::{at, context, endpoint, request, stage_update};
use rstest::rstest;

mod exposure;
mod first_byte;
mod slow_start;

/// Returns admission control with pods 0 to 2 on build 1, pod 3 on build 2, and request 0 of the
/// given class with a deadline at 9 s.
fn admission(class: u16, phase: Phase, cap: f64) -> AdmissionControl {
    let mut admission = AdmissionControl::default();
    admission
        .exposure
        .on_stage_updated(stage_update(phase, cap));
    for endpoint in [
        endpoint(0, 1),
        endpoint(1, 1),
        endpoint(2, 1),
        endpoint(3, 2),
    ] {
        admission.endpoints.update(endpoint, Duration::ZERO, 0.0);
    }
    let request = Request {
        class: ClassId(class),
        routing_key: Some(RoutingKey(5)),
        ..request(0)
    };
    admission
        .requests
        .insert(request.id, RequestRecord::new(&request));
    admission
}

fn record(admission: &mut AdmissionControl) -> &mut RequestRecord {
    admission.requests.get_mut(&RequestId(0)).unwrap()
}

fn candidate(pod: u64, build: u16, tier: u8, cost: f64) -> Candidate {
    Candidate {
        pod: PodId(pod),
        build: crate::interface::BuildId(build),
        tier,
        random_draw: 0.5,
        cost,
        used_fraction: 1.0,
    }
}

/// Checks whether request 0 may be sent to a pod, for a sidecar that uses all pods of its build.
fn check(admission: &AdmissionControl, pod: u64, context: &Context) -> Result<(), Refusal> {
    admission.check_rules(RequestId(0), &candidate(pod, 0, 0, 0.0), context)
}

fn attempt(to: Endpoint, sent_at: f64, outcome: Option<AttemptOutcome>) -> AttemptRecord {
    AttemptRecord {
        pod: to.pod,
        build: to.build,
        zone: to.zone,
        cell: to.cell,
        pod_started_at: to.started_at,
        sent_at: at(sent_at),
        outcome,
    }
}

#[rstest]
#[case::past_the_deadline(9.0, false, Err(Refusal::RequestClosed))]
#[case::closed(1.0, true, Err(Refusal::RequestClosed))]
#[case::open(1.0, false, Ok(()))]
fn no_attempt_starts_after_the_request_is_closed(
    #[case] now: f64,
    #[case] closed: bool,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, Phase::Released, 1.0);
    record(&mut admission).closed = closed;
    assert_eq!(check(&admission, 0, &context(now)), expected);
}

#[rstest]
#[case::non_idempotent_in_flight(2, None, 0, 1.0, false)]
#[case::non_idempotent_timed_out(2, Some(AttemptOutcome::TimedOut), 0, 1.0, false)]
#[case::non_idempotent_never_ran(2, Some(AttemptOutcome::Rejected), 0, 1.0, true)]
#[case::keyed_same_zone(1, Some(AttemptOutcome::TimedOut), 2, 1.0, true)]
#[case::keyed_other_zone(1, Some(AttemptOutcome::TimedOut), 1, 1.0, false)]
#[case::keyed_window_expired(1, Some(AttemptOutcome::TimedOut), 2, 2.6, false)]
#[case::idempotent(0, Some(AttemptOutcome::Failed), 1, 2.6, true)]
fn no_request_takes_effect_twice(
    #[case] class: u16,
    #[case] outcome: Option<AttemptOutcome>,
    #[case] to: u64,
    #[case] now: f64,
    #[case] admitted: bool,
) {
    let mut admission = admission(class, Phase::Released, 1.0);
    record(&mut admission)
        .attempts
        .push(attempt(endpoint(0, 1), 0.5, outcome));
    assert_eq!(check(&admission, to, &context(now)).is_ok(), admitted);
}

#[test]
fn a_request_that_may_have_run_fails_and_is_not_rejected() {
    let mut admission = admission(2, Phase::Released, 1.0);
    let mut context = context(1.0);
    record(&mut admission).attempts.push(attempt(
        endpoint(0, 1),
        0.5,
        Some(AttemptOutcome::TimedOut),
    ));
    admission.reject_or_fail(RequestId(0), &mut context);
    assert_eq!(
        context.actions,
        [Action::Fail {
            request: RequestId(0)
        }]
    );
}

#[rstest]
#[case::within_the_grace_period(1.9, Ok(()))]
#[case::after_the_grace_period(2.1, Err(Refusal::EndpointDrained))]
fn a_draining_pod_receives_nothing_after_the_grace_period(
    #[case] now: f64,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, Phase::Released, 1.0);
    admission.endpoints.get_mut(PodId(0)).unwrap().leaving_since = Some(at(1.0));
    assert_eq!(check(&admission, 0, &context(now)), expected);
}

/// The exposure cap of build 2 is 0. Tier 1 is proposed; `left` counts the candidates that remain
/// after a refusal.
#[rstest]
#[case::cheapest(&[candidate(0, 1, 1, 2.0), candidate(1, 1, 1, 1.0), candidate(2, 1, 1, 3.0)], Some(1), 0)]
#[case::lower_pod_id_breaks_ties(&[candidate(2, 1, 1, 1.0), candidate(1, 1, 1, 1.0)], Some(1), 0)]
#[case::next_after_a_refusal(&[candidate(3, 2, 1, 0.1), candidate(2, 1, 1, 3.0), candidate(0, 1, 1, 2.0)], Some(0), 0)]
#[case::next_tier_is_left(&[candidate(3, 2, 1, 0.1), candidate(0, 1, 2, 0.0)], None, 1)]
#[case::refused_build_is_dropped_from_all_tiers(&[candidate(3, 2, 1, 0.1), candidate(4, 2, 2, 0.0), candidate(0, 1, 3, 0.0)], None, 1)]
fn the_best_admitted_candidate_receives_the_request(
    #[case] candidates: &[Candidate],
    #[case] expected: Option<u64>,
    #[case] left: usize,
) {
    let mut admission = admission(0, Phase::OnTrial, 0.0);
    let mut context = context(1.0);
    let proposed = Message::AttemptProposed {
        request: RequestId(0),
        candidates: candidates.to_vec(),
        tier: 1,
    };
    admission.receive(proposed, &mut context);
    let started = context.actions.first().map(|action| match action {
        Action::StartAttempt { pod, .. } => pod.0,
        _ => panic!("{action:?}"),
    });
    assert_eq!(started, expected);
    if started.is_none() {
        let Some((_, Message::AttemptRefused(_, remaining))) = context.mailboxes.pop() else {
            panic!("no message to the load balancer")
        };
        assert_eq!(remaining.len(), left);
    }
}

/// A client disconnects in the turn in which an attempt of its request is started: the host no longer has the request, and does not report
/// an outcome. Guards against a record, and attempts counted at a pod, that stay for good.
#[test]
fn a_request_that_the_host_no_longer_has_leaves_no_record() {
    let mut context = context(1.0);
    let mut admission = admission(2, Phase::Released, 1.0);
    admission.start_attempt(RequestId(0), PodId(0), &mut context);
    admission.receive(Message::RequestClosed(RequestId(0)), &mut context);
    assert_eq!(admission.requests.len(), 1);
    while context.mailboxes.pop().is_some() {}
    admission.receive(Message::RequestUnknown(RequestId(0)), &mut context);
    assert!(admission.requests.is_empty());
    let delivered = std::iter::from_fn(|| context.mailboxes.pop());
    let outcome_at_pod = delivered
        .filter(|(to, _)| *to == Component::OutlierDetector(PodId(0)))
        .find_map(|(_, message)| match message {
            Message::AttemptEnded(ended) => Some(ended.result.outcome),
            _ => None,
        });
    assert_eq!(outcome_at_pod, Some(AttemptOutcome::NeverSent));
}

/// Until a stage is announced, any build may turn out to be the newest one, also if no pod of an older build is listed at the time. Guards
/// against a key that goes back because it was answered before the first announcement.
#[test]
fn keys_are_stored_before_a_stage_is_announced() {
    let mut context = context(1.0);
    let mut admission = AdmissionControl::default();
    let only_build = endpoint(3, 2);
    admission.endpoints.update(only_build, Duration::ZERO, 0.0);
    let request = Request {
        routing_key: Some(RoutingKey(5)),
        ..request(0)
    };
    let record = RequestRecord::new(&request);
    admission.requests.insert(request.id, record);
    admission.start_attempt(RequestId(0), PodId(3), &mut context);
    let result = AttemptResult {
        request: RequestId(0),
        attempt: AttemptIndex(0),
        pod: PodId(3),
        outcome: AttemptOutcome::Succeeded,
        duration: Duration::ZERO,
        request_closed: true,
    };
    admission.on_attempt_finished(result, &mut context);
    let mut delivered = std::iter::from_fn(|| context.mailboxes.pop());
    assert!(delivered.any(|(_, message)| matches!(message, Message::KeyServed(RoutingKey(5), _))));
}
