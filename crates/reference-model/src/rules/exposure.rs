//! Rule 5: a build on trial gets no more than its share of the requests, gets only idempotent requests in guarded
//! stages, and keeps the routing keys that it has served.

use crate::coverage::Coverage;
use crate::history::{ProposedAttempt, RequestHistory, SidecarHistory, StageRecord};
use crate::violation::{Rule, UnattributedViolation};
use limewing_decision::interface::{
    AttemptOutcome, BuildId, ClassId, Idempotency, Phase, PodState, RolloutConfig, RoutingKey,
    StageUpdate,
};
use std::time::Duration;

/// Tolerance for floating-point rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The limits of a build on trial.
struct TrialLimits {
    cap: f64,
    stage: u8,
}

/// The exposure cap in effect for a build.
pub(crate) struct EffectiveCap {
    pub(crate) cap: f64,
    /// Only attempts from this time on count against the cap.
    counted_from: Duration,
}

/// Checks all parts of the rule. It does not apply before the sidecar has received a stage update.
pub(crate) fn check_attempt(
    attempt: &ProposedAttempt<'_>,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let Some(latest) = attempt.sidecar.stages.last() else {
        return Ok(());
    };
    check_guarded_stage(attempt, latest)?;
    check_cap(attempt, coverage)?;
    check_sticky_key(attempt, &latest.update, coverage)
}

/// Whether requests of a class are kept from the build on trial during guarded stages.
pub(crate) fn is_guarded(sidecar: &SidecarHistory, class: ClassId) -> bool {
    sidecar.config.classes[usize::from(class.0)].idempotency != Idempotency::Idempotent
}

fn check_guarded_stage(
    attempt: &ProposedAttempt<'_>,
    latest: &StageRecord,
) -> Result<(), UnattributedViolation> {
    let rollout = &attempt.sidecar.config.rollout;
    let request = &attempt.request.request;
    let build = attempt.endpoint.build;
    let Some(TrialLimits { stage, .. }) = trial_limits(rollout, build, &latest.update) else {
        return Ok(());
    };
    if is_guarded(attempt.sidecar, request.class) && stage < rollout.guarded_stages {
        return Err(violation(format!(
            "attempt of {:?} at {build:?} in guarded stage {stage}, known since {:?}",
            request.id, latest.received_at
        )));
    }
    Ok(())
}

fn check_cap(
    attempt: &ProposedAttempt<'_>,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let sidecar = attempt.sidecar;
    let now = attempt.now;
    let build = attempt.endpoint.build;
    let Some(EffectiveCap { cap, counted_from }) = effective_cap(sidecar, build, now) else {
        return Ok(());
    };
    let rollout = &sidecar.config.rollout;
    let window = rollout.exposure_window;
    let is_counted =
        |class: ClassId| !rollout.exposure_per_class || class == attempt.request.request.class;
    let arrivals = sidecar
        .arrivals
        .iter()
        .filter(|arrival| arrival.at + window >= now && is_counted(arrival.class))
        .count();
    let earlier_attempts = sidecar
        .attempt_starts
        .iter()
        .filter(|start| {
            start.at + window > now
                && start.at >= counted_from
                && start.build == build
                && is_counted(start.class)
        })
        .count();
    let attempts = earlier_attempts + 1;
    let allowed = rollout.exposure_free + cap * arrivals as f64;
    if attempts as f64 > allowed + ROUNDING_TOLERANCE || cap <= 0.0 {
        return Err(violation(format!(
            "{attempts} attempts at {build:?}, {allowed:.2} allowed by cap {cap}"
        )));
    }
    coverage.attempts_on_trial += 1;
    Ok(())
}

/// Checks that a routing key served by the newest build does not return to an older one.
fn check_sticky_key(
    attempt: &ProposedAttempt<'_>,
    update: &StageUpdate,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let sidecar = attempt.sidecar;
    let newest = update.build;
    let build = attempt.endpoint.build;
    let is_sticky = sidecar.config.rollout.sticky_keys
        && matches!(update.phase, Phase::OnTrial | Phase::Released);
    let Some(key) = attempt.request.request.routing_key else {
        return Ok(());
    };
    let is_known_served = |request: &RequestHistory| was_served(request, key, newest, sidecar.turn);
    if !is_sticky || !sidecar.requests.values().any(is_known_served) {
        return Ok(());
    }
    let runs_older_build = sidecar
        .latest_endpoints()
        .any(|endpoint| endpoint.build < newest && endpoint.state == PodState::Ready);
    coverage.sticky_attempts += usize::from(runs_older_build);
    if build < newest {
        return Err(violation(format!(
            "{key:?} was served by {newest:?} and returns to {build:?}"
        )));
    }
    Ok(())
}

/// Whether the sidecar knew before a turn that a build had served a request with the routing key.
fn was_served(request: &RequestHistory, key: RoutingKey, build: BuildId, turn: usize) -> bool {
    request.request.routing_key == Some(key)
        && request.attempts.iter().any(|attempt| {
            attempt.outcome == Some(AttemptOutcome::Succeeded)
                && attempt.outcome_turn < turn
                && attempt.endpoint.build == build
        })
}

/// Returns the limits of a build under a stage update, or `None` if the build is not on trial. A build newer than the
/// announced one is treated as being in its first stage.
fn trial_limits(
    rollout: &RolloutConfig,
    build: BuildId,
    update: &StageUpdate,
) -> Option<TrialLimits> {
    if build < update.build || (build == update.build && update.phase == Phase::Released) {
        return None;
    }
    if build == update.build {
        return Some(TrialLimits {
            cap: update.cap,
            stage: update.stage.0,
        });
    }
    Some(TrialLimits {
        cap: rollout.exposure_caps[0],
        stage: 0,
    })
}

/// Returns the cap in effect for a build, or `None` if the build is not on trial. A lowered cap takes effect after the
/// grace period, and only attempts from then on count against it.
pub(crate) fn effective_cap(
    sidecar: &SidecarHistory,
    build: BuildId,
    now: Duration,
) -> Option<EffectiveCap> {
    let grace = sidecar.config.safety.drain_grace;
    let caps: Vec<(Duration, f64)> = sidecar
        .stages
        .iter()
        .map(|record| {
            let limits = trial_limits(&sidecar.config.rollout, build, &record.update);
            (
                record.received_at,
                limits.map_or(f64::INFINITY, |limits| limits.cap),
            )
        })
        .collect();
    let (_, mut cap) = *caps.last()?;
    let mut counted_from = Duration::ZERO;
    for change in caps.windows(2) {
        let (_, before) = change[0];
        let (at, after) = change[1];
        if after >= before {
            continue;
        }
        if at + grace >= now {
            cap = cap.max(before);
        } else {
            counted_from = counted_from.max(at + grace);
        }
    }
    if cap.is_infinite() {
        return None;
    }
    Some(EffectiveCap { cap, counted_from })
}

fn violation(description: String) -> UnattributedViolation {
    UnattributedViolation::new(Rule::Exposure, description)
}
