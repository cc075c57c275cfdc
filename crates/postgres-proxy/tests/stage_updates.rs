//! Tests which rollout states are accepted, and when one closes a build.

use limewing_decision::interface::{Phase, StageIndex, StageStreamId};
use limewing_decision::LatestStage;
use limewing_emulators::platform::rollout_state_json;
use limewing_postgres_proxy::stage_updates::RolloutState;
use rstest::rstest;

fn rollout_state(build: u16, stage: u8, name: &str) -> RolloutState {
    serde_json::from_str(&rollout_state_json(build, stage, name, 0.3)).unwrap()
}

/// States arrive on several connections; outdated ones are dropped.
#[test]
fn outdated_rollout_states_are_dropped() {
    let mut latest = LatestStage::default();
    let mut accept = |build, stage, name| {
        let accepted = latest.accept(rollout_state(build, stage, name).to_update(None));
        accepted.map(|accepted| accepted.update)
    };
    assert_eq!(accept(4, 1, "Progressing").unwrap().stage, StageIndex(1));
    assert!(accept(4, 0, "Progressing").is_none());
    assert!(accept(3, 2, "Healthy").is_none());
    assert_eq!(accept(4, 2, "Healthy").unwrap().phase, Phase::Released);
    assert_eq!(accept(4, 2, "Aborting").unwrap().phase, Phase::RollingBack);
    assert!(accept(4, 1, "Progressing").is_none());
    assert!(accept(5, 0, "Progressing").is_some());
}

/// A state closes a build to unsent attempts if it rolls the build back or lowers its cap.
#[rstest]
#[case::new_build(2, "Progressing", 0.3, None)]
#[case::higher(1, "Progressing", 0.6, None)]
#[case::lower(1, "Progressing", 0.2, Some(1))]
#[case::released(1, "Healthy", 1.0, None)]
#[case::rolling_back(1, "Aborting", 0.0, Some(1))]
#[case::rolled_back(1, "Aborted", 0.0, Some(1))]
fn rollback_or_lower_cap_closes_a_build(
    #[case] build: u16,
    #[case] name: &str,
    #[case] cap: f64,
    #[case] closes: Option<u16>,
) {
    let told_on_stream = |build, name, cap| {
        let json = rollout_state_json(build, 0, name, cap);
        let state: RolloutState = serde_json::from_str(&json).unwrap();
        state.to_update(Some(StageStreamId(1)))
    };
    let mut latest = LatestStage::default();
    latest
        .accept(told_on_stream(1, "Progressing", 0.3))
        .unwrap();
    let accepted = latest.accept(told_on_stream(build, name, cap)).unwrap();
    assert_eq!(accepted.closed_build.map(|build| build.0), closes);
}
