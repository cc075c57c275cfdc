//! Rule 4: pods in slow start get no more load than they can handle, counted over all sidecars.

use crate::coverage::Coverage;
use crate::history::{AttemptAtPod, PodStart, ProposedAttempt};
use crate::violation::{Rule, UnattributedViolation};

/// Records an attempt at a pod, and checks the pod's recent load. The rule applies only if at least two thirds of the
/// attempts come from sidecars that know of the pod's start. One standard deviation is allowed for random variation.
pub(crate) fn check_attempt(
    attempt: &ProposedAttempt<'_>,
    start: &mut PodStart,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let safety = &attempt.sidecar.config.safety;
    let now = attempt.now;
    let sidecar_knew_start = attempt.endpoint.started_at == Some(start.at);
    start.attempts.push(AttemptAtPod {
        at: now,
        sidecar_knew_start,
    });
    let age = now.saturating_sub(start.at);
    let warmth = (age.as_secs_f64() / safety.slow_start_duration.as_secs_f64()).min(1.0);
    if warmth >= 1.0 {
        return Ok(());
    }
    let capacity_share = safety.slow_start_from + (1.0 - safety.slow_start_from) * warmth;
    let window = safety.overload_window;
    let expected =
        safety.overload_multiple * start.capacity * capacity_share * window.as_secs_f64();
    let allowed = expected + expected.sqrt();
    let recent: Vec<&AttemptAtPod> = start
        .attempts
        .iter()
        .filter(|attempt| attempt.at + window > now)
        .collect();
    let informed_count = recent
        .iter()
        .filter(|attempt| attempt.sidecar_knew_start)
        .count();
    if recent.len() as f64 > allowed && informed_count * 3 >= recent.len() * 2 {
        return Err(UnattributedViolation::new(
            Rule::SlowStart,
            format!(
                "{} attempts at {:?} in slow start, {allowed:.1} allowed",
                recent.len(),
                attempt.endpoint.pod
            ),
        ));
    }
    coverage.attempts_at_cold_pods += usize::from(sidecar_knew_start);
    Ok(())
}
