//! Which states of a rollout are taken, and when one closes a build.

use limewing_decision::interface::{Phase, StageIndex};
use limewing_emulators::platform::state;
use limewing_postgres_proxy::stage_updates::{LatestState, RolloutState};
use rstest::rstest;

fn stands(build: u16, stage: u8, name: &str) -> RolloutState {
    serde_json::from_str(&state(build, stage, name, 0.3)).unwrap()
}

/// News come by more than one way: what has been overtaken is left out.
#[test]
fn a_build_never_stands_before_where_it_stood() {
    let mut latest = LatestState::default();
    let mut take = |build, stage, name| {
        let accepted = latest.accept(stands(build, stage, name));
        accepted.map(|accepted| accepted.update)
    };
    assert_eq!(take(4, 1, "Progressing").unwrap().stage, StageIndex(1));
    assert!(take(4, 0, "Progressing").is_none());
    assert!(take(3, 2, "Healthy").is_none());
    assert_eq!(take(4, 2, "Healthy").unwrap().phase, Phase::Released);
    assert_eq!(take(4, 2, "Aborting").unwrap().phase, Phase::RollingBack);
    assert!(take(4, 1, "Progressing").is_none());
    assert!(take(5, 0, "Progressing").is_some());
}

/// News that closes a build to what has not gone out: it goes back, or its cap is lower than before.
#[rstest]
#[case::begins(2, "Progressing", 0.3, None)]
#[case::higher(1, "Progressing", 0.6, None)]
#[case::lower(1, "Progressing", 0.2, Some(1))]
#[case::released(1, "Healthy", 1.0, None)]
#[case::goes_back(1, "Aborting", 0.0, Some(1))]
#[case::withdrawn(1, "Aborted", 0.0, Some(1))]
fn news_may_close_a_build(
    #[case] build: u16,
    #[case] name: &str,
    #[case] cap: f64,
    #[case] closes: Option<u16>,
) {
    let told = |build, name, cap| serde_json::from_str(&state(build, 0, name, cap)).unwrap();
    let mut latest = LatestState::default();
    latest.accept(told(1, "Progressing", 0.3)).unwrap();
    let accepted = latest.accept(told(build, name, cap)).unwrap();
    assert_eq!(accepted.closed_build.map(|build| build.0), closes);
}
