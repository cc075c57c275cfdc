use super::{admission, record, AdmissionControl};
use crate::context::Context;
use crate::interface::{AttemptIndex, Endpoint, Phase, PodId, PodState, RequestId};
use crate::message::Message;
use crate::test_support::{at, context, endpoint, leased_context, watch_lost, SILENT};
use rstest::rstest;

/// Returns admission control with an attempt of request 0 at pod 0, admitted at 1 s.
fn admission_with_an_attempt(context: &mut Context) -> AdmissionControl {
    let mut admission = admission(0, Phase::Released, 1.0);
    context.now = at(1.0);
    admission.start_attempt(RequestId(0), PodId(0), context);
    admission
}

fn list(admission: &mut AdmissionControl, endpoint: Endpoint) {
    admission.receive(Message::EndpointChanged(endpoint), &mut leased_context(1.1));
}

fn list_in_state(admission: &mut AdmissionControl, pod: u64, state: PodState) {
    let endpoint = Endpoint {
        state,
        ..endpoint(pod, 1)
    };
    list(admission, endpoint);
}

fn restart_pod_0(admission: &mut AdmissionControl) {
    let endpoint = Endpoint {
        started_at: Some(at(1.0)),
        ..endpoint(0, 1)
    };
    list(admission, endpoint);
}

type Change = fn(&mut AdmissionControl);

/// A change between the scheduling of an attempt and its first byte can revoke the permission to
/// send, even within the drain grace period.
#[rstest]
#[case::nothing(|_: &mut AdmissionControl| (), true)]
#[case::the_request_is_closed(|admission: &mut AdmissionControl| record(admission).closed = true, false)]
#[case::its_pod_drains(|admission: &mut AdmissionControl| list_in_state(admission, 0, PodState::Draining), false)]
#[case::its_pod_is_gone(|admission: &mut AdmissionControl| list_in_state(admission, 0, PodState::Gone), false)]
#[case::another_pod_drains(|admission: &mut AdmissionControl| list_in_state(admission, 1, PodState::Draining), true)]
#[case::its_pod_runs_another_build(|admission: &mut AdmissionControl| list(admission, endpoint(0, 2)), false)]
#[case::its_pod_restarted(restart_pod_0, false)]
#[case::its_pod_is_forgotten(|admission: &mut AdmissionControl| admission.endpoints.remove(PodId(0)), false)]
fn permission_is_given_at_the_first_byte(#[case] change: Change, #[case] expected: bool) {
    let mut context = leased_context(1.0);
    let mut admission = admission_with_an_attempt(&mut context);
    change(&mut admission);
    let may_begin =
        |attempt| admission.may_begin(RequestId(0), AttemptIndex(attempt), at(1.2), &context);
    assert_eq!(may_begin(0), expected);
    assert!(!may_begin(1));
}

/// While no endpoint list is received, permissions expire after the drain grace period (1 s),
/// because the pod may have started draining in the meantime.
#[rstest]
#[case::heard(false, 5.0, true)]
#[case::lost_within_the_grace(true, 2.0, true)]
#[case::lost_past_the_grace(true, 2.1, false)]
fn permission_expires_while_no_list_is_heard(
    #[case] lost: bool,
    #[case] now: f64,
    #[case] expected: bool,
) {
    let mut context = leased_context(1.0);
    let admission = admission_with_an_attempt(&mut context);
    if lost {
        context.dispatch_event(watch_lost(SILENT));
    }
    assert_eq!(
        admission.may_begin(RequestId(0), AttemptIndex(0), at(now), &context),
        expected
    );
}

/// An endpoint list without a lease never becomes invalid, so permissions do not expire.
#[test]
fn without_a_lease_permission_does_not_expire() {
    let mut context = context(1.0);
    let admission = admission_with_an_attempt(&mut context);
    context.dispatch_event(watch_lost(SILENT));
    assert!(admission.may_begin(RequestId(0), AttemptIndex(0), at(5.0), &context));
}
