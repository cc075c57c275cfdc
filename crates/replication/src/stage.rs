//! Rules by which rollout stages received from other sidecars can only restrict the traffic that
//! this sidecar sends to a build.

use crate::record::{Phase, Stage};
use std::cmp::Ordering;

/// Compares by number if both stages have one, otherwise by build and progress. For the same build
/// a later stage is newer, and the end of a rollout is newer than a trial.
fn is_newer(stage: &Stage, other: &Stage) -> bool {
    if stage.number != 0 && other.number != 0 && stage.number != other.number {
        return stage.number > other.number;
    }
    (stage.build, stage.phase, stage.stage) > (other.build, other.phase, other.stage)
}

/// Returns whether a stage is no older than `current` and only restricts it: the same build rolls
/// back or has a lower cap.
fn only_restricts(stage: &Stage, current: &Stage) -> bool {
    let both_on_trial = stage.phase == Phase::OnTrial && current.phase == Phase::OnTrial;
    let lowers_cap = both_on_trial && stage.cap < current.cap;
    let starts_rollback = is_rollback(stage) && !is_rollback(current);
    stage.build == current.build && !is_newer(current, stage) && (starts_rollback || lowers_cap)
}

fn is_rollback(stage: &Stage) -> bool {
    matches!(stage.phase, Phase::RollingBack | Phase::RolledBack)
}

/// Returns the stage that a restarted sidecar takes over from its previous process until the
/// rollout service announces one.
///
/// A build on trial returns to the first stage with at most `initial_cap`, because its cap may have
/// been lowered meanwhile. A rollback is kept; a release is not.
pub fn stage_after_restart(previous: Stage, initial_cap: f64) -> Option<Stage> {
    match previous.phase {
        Phase::OnTrial => Some(Stage {
            stage: 0,
            cap: previous.cap.min(initial_cap),
            ..previous
        }),
        Phase::RollingBack | Phase::RolledBack => Some(previous),
        Phase::Released => None,
    }
}

/// Returns the stage that a sidecar adopts from the other sidecars' stages, given its `current`
/// one, or `None` if nothing changes.
///
/// Only stages that restrict the current one count, and the most restrictive of them wins
/// regardless of their order. Without a current stage only a rollback is adopted. A newer stage
/// that would allow more traffic takes effect only when the rollout service announces it.
pub fn most_restrictive_stage<'a>(
    current: Option<Stage>,
    others: impl Iterator<Item = &'a Stage>,
) -> Option<Stage> {
    match current {
        Some(current) => others
            .filter(|stage| only_restricts(stage, &current))
            .max_by(|a, b| compare_restriction(a, b))
            .copied(),
        None => others
            .filter(|stage| is_rollback(stage))
            .max_by(|a, b| compare_recency(a, b).then_with(|| b.cap.total_cmp(&a.cap)))
            .copied(),
    }
}

/// Orders by restriction: a rollback is greater than a trial, then a lower cap is greater.
fn compare_restriction(a: &Stage, b: &Stage) -> Ordering {
    is_rollback(a)
        .cmp(&is_rollback(b))
        .then(b.cap.total_cmp(&a.cap))
        .then_with(|| compare_recency(a, b))
}

fn compare_recency(a: &Stage, b: &Stage) -> Ordering {
    let rank = |stage: &Stage| {
        (
            is_rollback(stage),
            stage.build,
            stage.number,
            stage.phase,
            stage.stage,
        )
    };
    rank(a).cmp(&rank(b))
}
