use super::{ExposureControl, MAX_STORED_KEYS};
use crate::endpoint_state::EndpointStates;
use crate::interface::{BuildId, Phase, Request, RoutingKey};
use crate::message::Refusal;
use crate::request_state::RequestRecord;
use crate::test_support::{context, endpoint, request, stage_update};
use rstest::rstest;
use std::time::Duration;

impl ExposureControl {
    /// Returns whether any keys are stored individually.
    pub(crate) fn stores_individual_keys(&self) -> bool {
        !self.key_builds.is_empty()
    }
}

fn keyed_request(key: u64) -> RequestRecord {
    RequestRecord::new(&Request {
        routing_key: Some(RoutingKey(key)),
        ..request(0)
    })
}

fn endpoints_of_two_builds() -> EndpointStates {
    let mut endpoints = EndpointStates::default();
    endpoints.update(endpoint(0, 1), Duration::ZERO, 0.0);
    endpoints.update(endpoint(3, 2), Duration::ZERO, 0.0);
    endpoints
}

/// Clients choose the keys. Guards against a table that grows by keys that no rule speaks of, those of builds older than the announced one,
/// for as long as a trial lasts (operators' picture b).
#[rstest]
#[case::older_build(1, 0)]
#[case::announced_build(2, 1)]
#[case::later_build(3, 1)]
fn keys_of_older_builds_are_not_stored(#[case] build: u16, #[case] stored: usize) {
    let mut exposure = ExposureControl::default();
    exposure.on_stage_updated(stage_update(Phase::OnTrial, 0.5));
    exposure.record_key(RoutingKey(5), BuildId(build));
    assert_eq!(exposure.key_builds.len(), stored);
}

/// Once the table is full, only keys that it holds go to the build on trial, and all keys go to a released build. Guards against memory that
/// grows without end by ever new keys, and against a key that goes back because it was not stored.
#[test]
fn number_of_stored_keys_is_limited() {
    let context = context(1.0);
    let endpoints = endpoints_of_two_builds();
    let mut exposure = ExposureControl::default();
    exposure.on_stage_updated(stage_update(Phase::OnTrial, 1.0));
    (0..MAX_STORED_KEYS as u64).for_each(|key| exposure.record_key(RoutingKey(key), BuildId(2)));
    let check = |exposure: &ExposureControl, key, build| {
        exposure.check(&keyed_request(key), BuildId(build), &endpoints, &context)
    };
    assert_eq!(check(&exposure, 5, 2), Ok(()));
    assert_eq!(check(&exposure, 5, 1), Err(Refusal::StickyKey));
    assert_eq!(check(&exposure, u64::MAX, 2), Err(Refusal::ExposureCap));
    assert_eq!(check(&exposure, u64::MAX, 1), Ok(()));
    exposure.on_stage_updated(stage_update(Phase::Released, 1.0));
    assert_eq!(check(&exposure, u64::MAX, 2), Ok(()));
    exposure.record_key(RoutingKey(u64::MAX), BuildId(2));
    assert!(!exposure.stores_individual_keys());
    assert_eq!(check(&exposure, u64::MAX, 1), Err(Refusal::StickyKey));
    assert_eq!(check(&exposure, 5, 1), Err(Refusal::StickyKey));
}
