//! Rule 3: pods that drain or are gone get nothing once the grace is over.

use super::endpoint_lease;
use crate::coverage::Coverage;
use crate::history::{AttemptHistory, ProposedAttempt, SidecarHistory, TrueList};
use crate::violation::{Rule, RuleBroken};
use limewing_decision::interface::{AttemptIndex, PodState, RequestId};
use std::time::Duration;

/// Within this time a sidecar that does not watch the endpoint list has to ask for it. Short beside a run, or one that
/// never asks would not be caught within it.
const LIST_CALL_INTERVAL: Duration = Duration::from_secs(2);
/// How many such intervals it has after a call that failed.
const INTERVALS_AFTER_FAILURE: u32 = 4;

/// The first byte of an attempt, which is the moment that rule 3 is about.
pub(crate) struct FirstByte<'a> {
    pub(crate) sidecar: &'a SidecarHistory,
    pub(crate) request: RequestId,
    pub(crate) index: AttemptIndex,
    pub(crate) attempt: &'a AttemptHistory,
    pub(crate) now: Duration,
}

/// No attempt is decided on for a pod that the sidecar knows, or had to know, to have drained past the grace.
pub(crate) fn check_attempt(
    attempt: &ProposedAttempt<'_>,
    true_list: &TrueList,
    coverage: &mut Coverage,
) -> Result<(), RuleBroken> {
    let sidecar = attempt.sidecar;
    let pod = attempt.endpoint.pod;
    if sidecar.knows_past_grace(pod, attempt.now) {
        return Err(broken(format!("{pod:?} is attempted past the grace")));
    }
    check_list_was_asked_for(attempt, true_list)?;
    let is_one_past_grace = sidecar
        .endpoints
        .keys()
        .any(|known| sidecar.knows_past_grace(*known, attempt.now));
    coverage.attempts_beside_drained_pod += usize::from(is_one_past_grace);
    Ok(())
}

/// A sidecar that watches no list and has not asked for long counts as notified of what the list held then.
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
            "{pod:?} had gone from a list that was not asked for"
        )));
    }
    Ok(())
}

/// What was decided before may not leave any more: the pod has drained past the grace or has another build by now, or
/// the decision rests on a list whose lease has expired.
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
            "{index:?} of {request:?} begins at {pod:?} past the grace"
        )));
    }
    let build_now = first_byte.sidecar.endpoint(pod).map(|known| known.build);
    if build_now.is_some_and(|build| build != endpoint.build) {
        return Err(RuleBroken::new(
            Rule::Exposure,
            format!("{index:?} of {request:?} begins at {pod:?}, which has another build by now"),
        ));
    }
    endpoint_lease::check_first_byte(first_byte, true_list, coverage)
}

fn broken(description: String) -> RuleBroken {
    RuleBroken::new(Rule::Draining, description)
}
