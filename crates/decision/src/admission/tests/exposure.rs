use super::{admission, check, record, AdmissionControl};
use crate::exposure::{ExposureCap, ExposureControl};
use crate::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, BuildId, ClassId, Phase, PodId, RequestId,
    RoutingKey, StageUpdate,
};
use crate::message::{Component, Message, Refusal};
use crate::test_support::{at, context, endpoint, stage_update};
use rstest::rstest;

fn remove_builds_below(admission: &mut AdmissionControl, lowest: u16) {
    let older: Vec<PodId> = admission
        .endpoints
        .values()
        .map(|state| &state.endpoint)
        .filter(|endpoint| endpoint.build < BuildId(lowest))
        .map(|endpoint| endpoint.pod)
        .collect();
    for pod in older {
        admission.endpoints.remove(pod);
    }
}

#[rstest]
#[case::under_the_cap(Phase::OnTrial, 0.5, 4, Ok(()))]
#[case::at_the_cap(Phase::OnTrial, 0.5, 6, Err(Refusal::ExposureCap))]
#[case::rolling_back(Phase::RollingBack, 0.0, 0, Err(Refusal::ExposureCap))]
#[case::released(Phase::Released, 0.0, 99, Ok(()))]
fn exposure_stays_under_the_cap(
    #[case] phase: Phase,
    #[case] cap: f64,
    #[case] attempts: usize,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, phase, cap);
    let earlier = context(1.0);
    for _ in 0..10 {
        admission.exposure.record_request(ClassId(0), &earlier);
    }
    for _ in 0..attempts {
        admission
            .exposure
            .record_attempt(BuildId(2), ClassId(0), &earlier);
    }
    assert_eq!(check(&admission, 3, &context(1.5)), expected);
}

#[test]
fn a_build_without_a_stage_update_is_in_the_first_stage() {
    let mut admission = admission(0, Phase::OnTrial, 1.0);
    admission.exposure = ExposureControl::default();
    let cap = admission
        .exposure
        .cap(BuildId(2), &admission.endpoints, &context(1.0).config);
    let first_stage = ExposureCap {
        share: 0.2,
        stage: 0,
    };
    assert_eq!(cap, Some(first_stage));
}

#[test]
fn a_guarded_stage_accepts_only_idempotent_requests() {
    assert_eq!(
        check(&admission(1, Phase::OnTrial, 1.0), 3, &context(1.0)),
        Err(Refusal::ExposureCap)
    );
}

#[test]
fn a_key_served_by_the_new_build_is_sticky() {
    let mut admission = admission(0, Phase::OnTrial, 1.0);
    admission.exposure.record_key(RoutingKey(5), BuildId(2));
    assert_eq!(check(&admission, 0, &context(1.0)), Err(Refusal::StickyKey));
}

/// The client may have received a complete response even if the connection broke or the attempt was
/// cancelled, so the routing key stays with the build. An attempt that never ran, or that the pod
/// answered with an error, does not bind the key.
#[rstest]
#[case::succeeded(AttemptOutcome::Succeeded, true)]
#[case::connection_reset(AttemptOutcome::ConnectionReset, true)]
#[case::timed_out(AttemptOutcome::TimedOut, true)]
#[case::cancelled(AttemptOutcome::Cancelled, true)]
#[case::failed(AttemptOutcome::Failed, false)]
#[case::rejected(AttemptOutcome::Rejected, false)]
#[case::connect_failed(AttemptOutcome::ConnectFailed, false)]
fn a_key_whose_response_may_have_been_received_is_sticky(
    #[case] outcome: AttemptOutcome,
    #[case] sticky: bool,
) {
    let mut admission = admission(0, Phase::OnTrial, 1.0);
    let mut context = context(1.0);
    admission.start_attempt(RequestId(0), PodId(3), &mut context);
    let result = AttemptResult {
        request: RequestId(0),
        attempt: AttemptIndex(0),
        pod: PodId(3),
        outcome,
        duration: at(0.1),
        request_closed: false,
    };
    admission.on_attempt_finished(result, &mut context);
    while let Some((to, message)) = context.mailboxes.pop() {
        if to == Component::AdmissionControl {
            admission.receive(message, &mut context);
        }
    }
    let expected = if sticky {
        Err(Refusal::StickyKey)
    } else {
        Ok(())
    };
    assert_eq!(check(&admission, 0, &context), expected);
}

#[rstest]
#[case::an_older_pod_still_runs(1, Some(RoutingKey(5)), Err(Refusal::StickyKey))]
#[case::nothing_older_runs(2, Some(RoutingKey(5)), Err(Refusal::StickyKey))]
#[case::a_request_without_a_key(2, None, Ok(()))]
fn keys_of_a_released_build_stay_sticky_after_compaction(
    #[case] lowest: u16,
    #[case] key: Option<RoutingKey>,
    #[case] expected: Result<(), Refusal>,
) {
    let mut admission = admission(0, Phase::Released, 1.0);
    admission.exposure.record_key(RoutingKey(5), BuildId(2));
    record(&mut admission).routing_key = key;
    remove_builds_below(&mut admission, lowest);
    admission
        .exposure
        .on_tick(&admission.endpoints, &context(1.0));
    assert_eq!(admission.exposure.stores_individual_keys(), lowest != 2);
    // An older pod comes back.
    admission.endpoints.update(endpoint(0, 1), at(1.0), 0.0);
    assert_eq!(check(&admission, 0, &context(1.0)), expected);
}

/// Regression test: a build can appear in the endpoint list before its stage is announced. Its keys
/// must survive when those of the previously released build are compacted.
#[test]
fn compaction_keeps_keys_of_a_build_without_a_stage() {
    let mut admission = admission(0, Phase::Released, 1.0);
    admission.exposure.record_key(RoutingKey(5), BuildId(3));
    remove_builds_below(&mut admission, 2);
    admission
        .exposure
        .on_tick(&admission.endpoints, &context(1.0));
    let update = StageUpdate {
        build: BuildId(3),
        ..stage_update(Phase::OnTrial, 0.5)
    };
    admission.receive(Message::StageUpdated(update), &mut context(1.1));
    assert_eq!(check(&admission, 3, &context(1.2)), Err(Refusal::StickyKey));
}
