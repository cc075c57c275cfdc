use super::{admission, attempt, record, AdmissionControl};
use crate::context::Context;
use crate::interface::{
    AttemptIndex, AttemptOutcome, BuildId, Endpoint, Phase, PodId, PodState, RequestId, RoutingKey,
    StageUpdate,
};
use crate::message::Message;
use crate::test_support::{
    at, context, endpoint, leased_context, stage_update, watch_lost, WATCH_ENDED,
};
use rstest::rstest;

/// Returns admission control with an attempt of request 0 at pod 0, admitted at 1 s.
fn admission_with_an_attempt(context: &mut Context) -> AdmissionControl {
    let mut admission = admission(0, Phase::Released, 1.0);
    context.now = at(1.0);
    admission.start_attempt(RequestId(0), PodId(0), context);
    admission
}

fn update_endpoint(admission: &mut AdmissionControl, endpoint: Endpoint) {
    admission.receive(Message::EndpointChanged(endpoint), &mut leased_context(1.1));
}

fn set_pod_state(admission: &mut AdmissionControl, pod: u64, state: PodState) {
    let endpoint = Endpoint {
        state,
        ..endpoint(pod, 1)
    };
    update_endpoint(admission, endpoint);
}

fn restart_pod_0(admission: &mut AdmissionControl) {
    let endpoint = Endpoint {
        started_at: Some(at(1.0)),
        ..endpoint(0, 1)
    };
    update_endpoint(admission, endpoint);
}

type Change = fn(&mut AdmissionControl);

/// A change between the scheduling of an attempt and its first byte can revoke the permission to
/// send, even within the drain grace period.
#[rstest]
#[case::no_change(|_: &mut AdmissionControl| (), true)]
#[case::request_is_closed(|admission: &mut AdmissionControl| record(admission).closed = true, false)]
#[case::pod_drains(|admission: &mut AdmissionControl| set_pod_state(admission, 0, PodState::Draining), false)]
#[case::pod_is_gone(|admission: &mut AdmissionControl| set_pod_state(admission, 0, PodState::Gone), false)]
#[case::another_pod_drains(|admission: &mut AdmissionControl| set_pod_state(admission, 1, PodState::Draining), true)]
#[case::pod_runs_another_build(|admission: &mut AdmissionControl| update_endpoint(admission, endpoint(0, 2)), false)]
#[case::pod_restarted(restart_pod_0, false)]
#[case::pod_is_removed(|admission: &mut AdmissionControl| admission.endpoints.remove(PodId(0)), false)]
fn permission_is_checked_at_the_first_byte(#[case] change: Change, #[case] expected: bool) {
    let mut context = leased_context(1.0);
    let mut admission = admission_with_an_attempt(&mut context);
    change(&mut admission);
    let may_send_first_byte = |attempt| {
        admission.may_send_first_byte(RequestId(0), AttemptIndex(attempt), at(1.2), &context)
    };
    assert_eq!(may_send_first_byte(0), expected);
    assert!(!may_send_first_byte(1));
}

/// While no endpoint list is received, permissions expire after the drain grace period (1 s),
/// because the pod may have started draining in the meantime.
#[rstest]
#[case::list_is_received(false, 5.0, true)]
#[case::lost_within_the_grace_period(true, 2.0, true)]
#[case::lost_after_the_grace_period(true, 2.1, false)]
fn permission_expires_while_no_list_is_received(
    #[case] lost: bool,
    #[case] now: f64,
    #[case] expected: bool,
) {
    let mut context = leased_context(1.0);
    let admission = admission_with_an_attempt(&mut context);
    if lost {
        context.dispatch_event(watch_lost(WATCH_ENDED));
    }
    assert_eq!(
        admission.may_send_first_byte(RequestId(0), AttemptIndex(0), at(now), &context),
        expected
    );
}

/// An endpoint list without a lease never becomes invalid, so permissions do not expire.
#[test]
fn without_a_lease_permission_does_not_expire() {
    let mut context = context(1.0);
    let admission = admission_with_an_attempt(&mut context);
    context.dispatch_event(watch_lost(WATCH_ENDED));
    assert!(admission.may_send_first_byte(RequestId(0), AttemptIndex(0), at(5.0), &context));
}

/// Records an earlier attempt at the same pod, sent at 0 s.
fn record_earlier_attempt(admission: &mut AdmissionControl, outcome: AttemptOutcome) {
    let earlier = attempt(endpoint(0, 1), 0.0, Some(outcome));
    record(admission).attempts.push(earlier);
}

/// The answer of a newer build binds the routing key also for attempts that wait for their
/// connection or their last byte. Guards against a key that goes back to an earlier build, because
/// the key was looked at when the attempt was scheduled only.
#[rstest]
#[case::newer_build(RoutingKey(5), 2, false)]
#[case::same_build(RoutingKey(5), 1, true)]
#[case::another_key(RoutingKey(6), 2, true)]
fn a_key_that_a_newer_build_served_revokes_the_permission(
    #[case] key: RoutingKey,
    #[case] build: u16,
    #[case] expected: bool,
) {
    let mut context = leased_context(1.0);
    let mut admission = admission(0, Phase::OnTrial, 1.0);
    admission.start_attempt(RequestId(0), PodId(0), &mut context);
    let served = Message::KeyServed(key, BuildId(build));
    admission.receive(served, &mut context);
    let may_send = admission.may_send_first_byte(RequestId(0), AttemptIndex(0), at(1.2), &context);
    assert_eq!(may_send, expected);
}

/// A stage that closes, to all or to classes with effects, revokes the permission of attempts at
/// the build on trial that wait. Guards against a host that does not end them itself.
#[rstest]
#[case::open(0, stage_update(Phase::OnTrial, 0.5), true)]
#[case::cap_is_zero(0, stage_update(Phase::RollingBack, 0.0), false)]
#[case::guarded_stage(2, stage_update(Phase::OnTrial, 0.5), false)]
fn a_closed_stage_revokes_the_permission(
    #[case] class: u16,
    #[case] update: StageUpdate,
    #[case] expected: bool,
) {
    let mut context = leased_context(1.0);
    let mut admission = admission(class, Phase::OnTrial, 1.0);
    admission.start_attempt(RequestId(0), PodId(3), &mut context);
    admission.receive(Message::StageUpdated(update), &mut context);
    let may_send = admission.may_send_first_byte(RequestId(0), AttemptIndex(0), at(1.2), &context);
    assert_eq!(may_send, expected);
}

/// Time that passes while an attempt waits counts: nothing is sent after the deadline (9 s) or, if
/// an earlier attempt may have run, after the deduplication window (2 s). Guards against limits
/// that are looked at when the attempt is scheduled only.
#[rstest]
#[case::before_the_deadline(0, None, 8.9, true)]
#[case::at_the_deadline(0, None, 9.0, false)]
#[case::within_the_window(1, Some(AttemptOutcome::TimedOut), 1.9, true)]
#[case::after_the_window(1, Some(AttemptOutcome::TimedOut), 2.0, false)]
#[case::earlier_one_never_ran(1, Some(AttemptOutcome::Rejected), 2.0, true)]
fn permission_expires_with_the_deadline_and_the_window(
    #[case] class: u16,
    #[case] earlier: Option<AttemptOutcome>,
    #[case] now: f64,
    #[case] expected: bool,
) {
    let mut context = leased_context(1.0);
    let mut admission = admission(class, Phase::Released, 1.0);
    if let Some(outcome) = earlier {
        record_earlier_attempt(&mut admission, outcome);
    }
    admission.start_attempt(RequestId(0), PodId(0), &mut context);
    let index = AttemptIndex(u16::from(earlier.is_some()));
    let may_send = admission.may_send_first_byte(RequestId(0), index, at(now), &context);
    assert_eq!(may_send, expected);
}
