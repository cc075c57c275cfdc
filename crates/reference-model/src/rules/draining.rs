//! Rule 3: draining and removed pods get no attempts after the grace period.

use super::endpoint_lease;
use crate::coverage::Coverage;
use crate::history::{AttemptHistory, AuthoritativeList, ProposedAttempt, SidecarHistory};
use crate::violation::{Rule, UnattributedViolation};
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
    authoritative_list: &AuthoritativeList,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let sidecar = attempt.sidecar;
    let pod = attempt.endpoint.pod;
    if sidecar.knows_drained_past_grace(pod, attempt.now) {
        return Err(violation(format!(
            "attempt at {pod:?} after its grace period"
        )));
    }
    check_list_was_requested(attempt, authoritative_list)?;
    let any_past_grace = sidecar
        .endpoints
        .keys()
        .any(|known| sidecar.knows_drained_past_grace(*known, attempt.now));
    coverage.attempts_with_drained_pod_known += usize::from(any_past_grace);
    Ok(())
}

/// Checks that a sidecar without a watch called the list service in time. If it did not, it is treated as notified of
/// the list as it was one interval ago.
fn check_list_was_requested(
    attempt: &ProposedAttempt<'_>,
    authoritative_list: &AuthoritativeList,
) -> Result<(), UnattributedViolation> {
    let sidecar = attempt.sidecar;
    let pod = attempt.endpoint.pod;
    let allowed = if sidecar.list_call_failed {
        LIST_CALL_INTERVAL * INTERVALS_AFTER_FAILURE
    } else {
        LIST_CALL_INTERVAL
    };
    let must_call = sidecar.config.watch_on_request && !sidecar.is_watching;
    if !must_call || attempt.now <= sidecar.last_list_call + allowed {
        return Ok(());
    }
    let then = attempt.now - allowed;
    let Some((since, endpoints)) = authoritative_list.at(then) else {
        return Ok(());
    };
    let was_ready = endpoints
        .iter()
        .find(|endpoint| endpoint.pod == pod)
        .is_some_and(|endpoint| endpoint.state == PodState::Ready);
    let is_past_grace = attempt.now > since + allowed + sidecar.config.safety.drain_grace;
    let updated_since = sidecar
        .endpoints
        .get(&pod)
        .and_then(|records| records.last())
        .is_some_and(|record| record.received_at > then);
    if !was_ready && is_past_grace && !updated_since {
        return Err(violation(format!(
            "attempt at {pod:?}, which is no longer ready in a list that was not requested in time"
        )));
    }
    Ok(())
}

/// Checks that an attempt may still be sent. It may not if the pod has been draining for longer than the grace period,
/// if its build has changed since the decision, or if the decision is based on a list whose lease has expired.
pub(crate) fn check_first_byte(
    first_byte: &FirstByte<'_>,
    authoritative_list: &AuthoritativeList,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let endpoint = &first_byte.attempt.endpoint;
    let pod = endpoint.pod;
    let index = first_byte.index;
    let request = first_byte.request;
    if first_byte
        .sidecar
        .knows_drained_past_grace(pod, first_byte.now)
    {
        return Err(violation(format!(
            "{index:?} of {request:?} is sent to {pod:?} after its grace period"
        )));
    }
    let build_now = first_byte.sidecar.endpoint(pod).map(|known| known.build);
    if build_now.is_some_and(|build| build != endpoint.build) {
        return Err(UnattributedViolation::new(
            Rule::Exposure,
            format!("{index:?} of {request:?} is sent to {pod:?}, whose build has changed"),
        ));
    }
    endpoint_lease::check_first_byte(first_byte, authoritative_list, coverage)
}

fn violation(description: String) -> UnattributedViolation {
    UnattributedViolation::new(Rule::Draining, description)
}
