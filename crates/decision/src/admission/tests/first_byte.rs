use super::{admission, record, AdmissionControl};
use crate::context::Context;
use crate::interface::{AttemptIndex, Endpoint, Phase, PodId, PodState, RequestId};
use crate::message::Message;
use crate::test_support::{at, context, endpoint, leased_context, watch_lost, WATCH_ENDED};
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
