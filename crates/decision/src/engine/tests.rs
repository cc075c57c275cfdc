use super::*;
use crate::interface::{AttemptOutcome, Endpoint, EndpointUpdate, Phase, PodState};
use crate::test_support::{
    at, attempt_ended, endpoint, request, sidecar_config, stage_update, LEASE_SECONDS,
};

fn attempt_finished(outcome: AttemptOutcome) -> Event {
    Event::AttemptFinished(attempt_ended(outcome).result)
}

fn endpoint_update(endpoint: Endpoint) -> Event {
    Event::Endpoints(EndpointUpdate::Delta(vec![endpoint]))
}

#[test]
fn outcomes_are_processed_before_new_requests() {
    let events = in_processing_order(vec![
        Event::RequestArrived(request(1)),
        Event::ClientDisconnected(RequestId(2)),
        attempt_finished(AttemptOutcome::Succeeded),
    ]);
    assert!(matches!(
        events[..],
        [
            Event::AttemptFinished(_),
            Event::RequestArrived(_),
            Event::ClientDisconnected(_)
        ]
    ));
}

#[test]
fn lists_and_stages_are_processed_before_outcomes() {
    let events = in_processing_order(vec![
        attempt_finished(AttemptOutcome::ConnectFailed),
        Event::Stage {
            update: Some(stage_update(Phase::OnTrial, 0.0)),
            vote_answer: None,
        },
        endpoint_update(endpoint(0, 2)),
    ]);
    assert!(matches!(
        events[..],
        [
            Event::Stage { .. },
            Event::Endpoints(_),
            Event::AttemptFinished(_)
        ]
    ));
}

/// `apply_events` takes effect immediately and does not fire timers.
#[test]
fn applied_events_take_effect_before_timers_fire() {
    let config = SidecarConfig {
        endpoint_lease: Some(at(LEASE_SECONDS)),
        ..sidecar_config()
    };
    let mut engine = DecisionEngine::new(Duration::ZERO, config);
    engine.handle(at(1.0), vec![endpoint_update(endpoint(0, 1))]);
    let actions = engine.handle(at(1.1), vec![Event::RequestArrived(request(0))]);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::StartAttempt { .. })),
        "{actions:?}"
    );
    assert!(engine.may_send_first_byte(at(1.1), RequestId(0), AttemptIndex(0)));
    let draining = Endpoint {
        state: PodState::Draining,
        ..endpoint(0, 1)
    };
    let actions = engine.apply_events(at(8.0), vec![endpoint_update(draining)]);
    assert_eq!(actions, []);
    assert!(!engine.may_send_first_byte(at(8.0), RequestId(0), AttemptIndex(0)));
}
