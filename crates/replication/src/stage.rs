//! Rules by which rollout stages known from other sidecars may only restrict what this sidecar sends to a build.

use crate::record::{Phase, Stage};
use std::cmp::Ordering;

/// By number, if both have one. Else by build and progress: of one build a later stage is newer, and an end is newer than a trial.
fn is_newer(stage: &Stage, other: &Stage) -> bool {
    if stage.number != 0 && other.number != 0 && stage.number != other.number {
        return stage.number > other.number;
    }
    (stage.build, stage.phase, stage.stage) > (other.build, other.phase, other.stage)
}

/// Whether a stage is no older than `current` and only restricts it: the same build rolls back, or has a lower cap.
fn only_restricts(stage: &Stage, current: &Stage) -> bool {
    let both_on_trial = stage.phase == Phase::OnTrial && current.phase == Phase::OnTrial;
    let lowers_cap = both_on_trial && stage.cap < current.cap;
    let starts_rollback = is_rollback(stage) && !is_rollback(current);
    stage.build == current.build && !is_newer(current, stage) && (starts_rollback || lowers_cap)
}

fn is_rollback(stage: &Stage) -> bool {
    matches!(stage.phase, Phase::RollingBack | Phase::RolledBack)
}

/// What a restarted sidecar may take over from the stage that its previous process knew, until the installer announces one.
///
/// A build on trial goes back to the first stage with at most `first_cap`, because the rollout may have been reduced meanwhile. A
/// rollback is kept; a release is not.
pub fn stage_after_restart(previous: Stage, first_cap: f64) -> Option<Stage> {
    match previous.phase {
        Phase::OnTrial => Some(Stage {
            stage: 0,
            cap: previous.cap.min(first_cap),
            ..previous
        }),
        Phase::RollingBack | Phase::RolledBack => Some(previous),
        Phase::Released => None,
    }
}

/// The stage that a sidecar adopts from the other sidecars' stages, given its `current` one; `None` if nothing changes.
///
/// Only stages that restrict the current one count, and of these the most restrictive wins, whatever their order. Without a
/// current stage only a rollback is adopted. A newer stage that would allow more is left to the installer to announce.
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

/// The more restrictive stage is the greater one: a rollback over a trial, then the lower cap.
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
