use super::LatestStage;
use crate::interface::{BuildId, Phase, StageIndex, StageOrder, StageStreamId, StageUpdate};
use rstest::rstest;
use std::num::NonZeroU64;
use std::time::Duration;

fn update(build: u16, phase: Phase, stage: u8, cap: f64) -> StageUpdate {
    StageUpdate {
        build: BuildId(build),
        stage: StageIndex(stage),
        phase,
        cap,
        age: Duration::ZERO,
        order: StageOrder::default(),
    }
}

fn on_stream(stream: u64, update: StageUpdate) -> StageUpdate {
    let order = StageOrder {
        stream: Some(StageStreamId(stream)),
        ..update.order
    };
    StageUpdate { order, ..update }
}

fn numbered(number: u64, update: StageUpdate) -> StageUpdate {
    let order = StageOrder {
        number: NonZeroU64::new(number),
        ..update.order
    };
    StageUpdate { order, ..update }
}

/// Returns whether `second` replaces `first`.
fn replaces(second: StageUpdate, first: StageUpdate) -> bool {
    let mut latest = LatestStage::default();
    latest.accept(first).unwrap();
    latest.accept(second).is_some()
}

/// A reply to a vote that was written before the news of a lower cap arrives after it. Guards against requests at a build that was withdrawn
/// (review case 6).
#[rstest]
#[case::rolling_back(Phase::RollingBack, 0.0)]
#[case::cap_falls_in_steps(Phase::RollingBack, 0.2)]
#[case::on_trial(Phase::OnTrial, 0.2)]
fn a_late_reply_does_not_raise_a_lowered_cap(#[case] phase: Phase, #[case] lowered: f64) {
    let mut latest = LatestStage::default();
    for cap in [0.42, lowered] {
        let told = on_stream(1, update(42, phase, 1, cap));
        assert!(latest.accept(told).is_some());
    }
    for late in [0.42, lowered + 0.01] {
        assert_eq!(latest.accept(update(42, phase, 1, late)), None, "{late}");
    }
    assert!(latest.accept(update(42, phase, 1, lowered)).is_some());
}

/// Two updates from different connections: the one that is further in the rollout is newer, whichever arrives first.
#[rstest]
#[case::build(
    update(4, Phase::RolledBack, 2, 0.0),
    update(5, Phase::OnTrial, 0, 0.1)
)]
#[case::stage(update(4, Phase::OnTrial, 0, 0.1), update(4, Phase::OnTrial, 1, 0.4))]
#[case::released(update(4, Phase::OnTrial, 2, 1.0), update(4, Phase::Released, 2, 1.0))]
#[case::rolling_back(
    update(4, Phase::Released, 2, 1.0),
    update(4, Phase::RollingBack, 2, 0.4)
)]
#[case::rolled_back(
    update(4, Phase::RollingBack, 1, 0.0),
    update(4, Phase::RolledBack, 1, 0.0)
)]
#[case::skipped_phases(
    update(4, Phase::OnTrial, 1, 0.4),
    update(4, Phase::RolledBack, 1, 0.0)
)]
#[case::lower_cap(
    update(4, Phase::RollingBack, 1, 0.4),
    update(4, Phase::RollingBack, 1, 0.0)
)]
fn progress_orders_updates_of_different_connections(
    #[case] older: StageUpdate,
    #[case] newer: StageUpdate,
) {
    assert!(replaces(newer, older));
    assert!(!replaces(older, newer));
    assert!(replaces(on_stream(1, newer), on_stream(2, older)));
    assert!(!replaces(on_stream(2, older), on_stream(1, newer)));
}

/// One stream is an ordered history, also where it contradicts the usual progress.
#[rstest]
#[case::raised_cap(update(4, Phase::OnTrial, 1, 0.4), update(4, Phase::OnTrial, 1, 0.6))]
#[case::previous_stage(update(4, Phase::OnTrial, 1, 0.4), update(4, Phase::OnTrial, 0, 0.1))]
#[case::second_trial(
    update(4, Phase::RolledBack, 1, 0.0),
    update(4, Phase::OnTrial, 0, 0.1)
)]
fn a_later_update_on_the_same_stream_is_newer(
    #[case] first: StageUpdate,
    #[case] second: StageUpdate,
) {
    assert!(replaces(on_stream(1, second), on_stream(1, first)));
    assert!(!replaces(on_stream(2, second), on_stream(1, first)));
}

/// A reply that repeats what the stream delivered leaves the order of the stream as it is.
#[test]
fn a_repetition_keeps_the_order_of_the_stream() {
    let mut latest = LatestStage::default();
    let known = update(4, Phase::OnTrial, 1, 0.4);
    assert!(latest.accept(on_stream(1, known)).is_some());
    assert!(latest.accept(known).is_some());
    let raised = on_stream(1, update(4, Phase::OnTrial, 1, 0.6));
    assert!(latest.accept(raised).is_some());
}

/// Where changes are numbered, the number decides, and the highest one is remembered.
#[test]
fn numbers_order_updates() {
    let mut latest = LatestStage::default();
    let lowered = numbered(7, update(4, Phase::RollingBack, 1, 0.0));
    assert!(latest.accept(lowered).is_some());
    assert_eq!(
        latest.accept(numbered(6, update(5, Phase::OnTrial, 0, 0.1))),
        None
    );
    assert!(latest.accept(lowered).is_some());
    let second_trial = numbered(8, update(4, Phase::OnTrial, 0, 0.1));
    assert!(latest.accept(second_trial).is_some());
    let unnumbered = update(5, Phase::OnTrial, 0, 0.1);
    assert!(latest.accept(unnumbered).is_some());
    assert_eq!(latest.accept(lowered), None);
}

/// Two updates with one number describe one state; a contradiction between them does not raise the cap.
#[test]
fn an_update_with_the_same_number_does_not_raise_the_cap() {
    let known = numbered(7, update(4, Phase::RollingBack, 1, 0.0));
    let raised = numbered(7, update(4, Phase::RollingBack, 1, 0.4));
    assert!(!replaces(raised, known));
}
