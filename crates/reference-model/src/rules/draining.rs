//! Rule 3: draining and removed pods get no attempts after the grace period.

use super::endpoint_lease;
use crate::coverage::Coverage;
use crate::history::{AttemptHistory, ProposedAttempt, SidecarHistory, TrueList};
use crate::violation::{Rule, RuleBroken};
use limewing_decision::interface::{AttemptIndex, PodState, RequestId};
use std::time::Duration;

/// The time within which a sidecar without a watch has to call the list service. It is much shorter than a run, so that
/// a sidecar that never calls is detected within the run.
const LIST_CALL_INTERVAL: Duration = Duration::from_secs(2);
/// The number of intervals allowed after a failed call.
const INTERVALS_AFTER_FAILURE: u32 = 4;

/// The first byte of an attempt. Rule 3 applies at the moment it is sent.
pub(crate) struct FirstByte<'a> {
    pub(crate) sidecar: &'a SidecarHistory,
    pub(crate) request: RequestId,
    pub(crate) index: AttemptIndex,
    pub(crate) attempt: &'a AttemptHistory,
    pub(crate) now: Duration,
}

/// Checks that the sidecar neither knew, nor had to know, that the pod had been draining for longer than the grace
/// period.
pub(crate) fn check_attempt(
    attempt: &ProposedAttempt<'_>,
    true_list: &TrueList,
    coverage: &mut Coverage,
) -> Result<(), RuleBroken> {
    let sidecar = attempt.sidecar;
    let pod = attempt.endpoint.pod;
    if sidecar.knows_past_grace(pod, attempt.now) {
        return Err(broken(format!("attempt at {pod:?} after its grace period")));
    }
    check_list_was_asked_for(attempt, true_list)?;
    let is_one_past_grace = sidecar
        .endpoints
        .keys()
        .any(|known| sidecar.knows_past_grace(*known, attempt.now));
    coverage.attempts_beside_drained_pod += usize::from(is_one_past_grace);
    Ok(())
}

/// Checks that a sidecar without a watch called the list service in time. If it did not, it is treated as notified of
/// the list as it was one interval ago.
fn check_list_was_asked_for(
    attempt: &ProposedAttempt<'_>,
    true_list: &TrueList,
) -> Result<(), RuleBroken> {
    let sidecar = attempt.sidecar;
    let pod = attempt.endpoint.pod;
    let allowed = if sidecar.list_call_failed {
        LIST_CALL_INTERVAL * INTERVALS_AFTER_FAILURE
    } else {
        LIST_CALL_INTERVAL
    };
    let has_to_ask = sidecar.config.watch_on_request && !sidecar.is_watching;
    if !has_to_ask || attempt.now <= sidecar.list_asked_at + allowed {
        return Ok(());
    }
    let then = attempt.now - allowed;
    let Some((since, endpoints)) = true_list.at(then) else {
        return Ok(());
    };
    let was_ready = endpoints
        .iter()
        .find(|endpoint| endpoint.pod == pod)
        .is_some_and(|endpoint| endpoint.state == PodState::Ready);
    let is_past_grace = attempt.now > since + allowed + sidecar.config.safety.drain_grace;
    let has_learned_since = sidecar
        .endpoints
        .get(&pod)
        .and_then(|records| records.last())
        .is_some_and(|record| record.learned_at > then);
    if !was_ready && is_past_grace && !has_learned_since {
        return Err(broken(format!(
            "attempt at {pod:?}, which is no longer ready in a list that was not requested in time"
        )));
    }
    Ok(())
}

/// Checks that an attempt may still be sent. It may not if the pod has been draining for longer than the grace period,
/// if its build has changed since the decision, or if the decision is based on a list whose lease has expired.
pub(crate) fn check_first_byte(
    first_byte: &FirstByte<'_>,
    true_list: &TrueList,
    coverage: &mut Coverage,
) -> Result<(), RuleBroken> {
    let endpoint = &first_byte.attempt.endpoint;
    let pod = endpoint.pod;
    let index = first_byte.index;
    let request = first_byte.request;
    if first_byte.sidecar.knows_past_grace(pod, first_byte.now) {
        return Err(broken(format!(
            "{index:?} of {request:?} is sent to {pod:?} after its grace period"
        )));
    }
    let build_now = first_byte.sidecar.endpoint(pod).map(|known| known.build);
    if build_now.is_some_and(|build| build != endpoint.build) {
        return Err(RuleBroken::new(
            Rule::Exposure,
            format!("{index:?} of {request:?} is sent to {pod:?}, whose build has changed"),
        ));
    }
    endpoint_lease::check_first_byte(first_byte, true_list, coverage)
}

fn broken(description: String) -> RuleBroken {
    RuleBroken::new(Rule::Draining, description)
}
