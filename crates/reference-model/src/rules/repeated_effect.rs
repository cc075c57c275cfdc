//! Rule 2: no non-idempotent request takes effect twice.

use crate::coverage::Coverage;
use crate::history::{AttemptHistory, ProposedAttempt, RequestHistory};
use crate::violation::{Rule, UnattributedViolation};
use limewing_decision::interface::{DeduplicationScope, Endpoint, Idempotency, SidecarConfig};

/// Checks that a request that may have run is only retried if running it again is safe.
pub(crate) fn check_attempt(
    attempt: &ProposedAttempt<'_>,
    coverage: &mut Coverage,
) -> Result<(), UnattributedViolation> {
    let config = &attempt.sidecar.config;
    let request = attempt.request;
    let id = request.request.id;
    let any_in_flight = request
        .attempts
        .iter()
        .any(|earlier| earlier.outcome.is_none());
    if !config.hedging && any_in_flight {
        return Err(violation(format!(
            "{id:?} has two attempts in flight without hedging"
        )));
    }
    let may_have_run: Vec<&AttemptHistory> = request.attempts_that_may_have_run().collect();
    let idempotency = idempotency_of(request, config);
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent if may_have_run.is_empty() => {}
        Idempotency::NonIdempotent => {
            return Err(violation(format!(
                "{id:?} is retried although it may have run"
            )))
        }
        Idempotency::Keyed {
            deduplicated_by,
            window,
        } => {
            let is_deduplicated = may_have_run.iter().all(|earlier| {
                shares_deduplication_state(deduplicated_by, &earlier.endpoint, attempt.endpoint)
                    && attempt.now <= earlier.decided_at + window
            });
            if !is_deduplicated {
                return Err(violation(format!(
                    "{id:?} is retried at {:?}, which may not know its idempotency key",
                    attempt.endpoint.pod
                )));
            }
        }
    }
    let is_safe_retry = idempotency == Idempotency::NonIdempotent
        && may_have_run.is_empty()
        && !request.attempts.is_empty();
    coverage.repeats += usize::from(!may_have_run.is_empty());
    coverage.safe_retries += usize::from(is_safe_retry);
    Ok(())
}

/// Checks that a request is only rejected if it did not run or can safely run again. A rejection tells the client that
/// the request had no effect.
pub(crate) fn check_rejection(
    request: &RequestHistory,
    config: &SidecarConfig,
) -> Result<(), UnattributedViolation> {
    let is_repeat_safe = matches!(
        idempotency_of(request, config),
        Idempotency::Idempotent
            | Idempotency::Keyed {
                deduplicated_by: DeduplicationScope::All,
                ..
            }
    );
    if is_repeat_safe || request.attempts_that_may_have_run().next().is_none() {
        return Ok(());
    }
    Err(violation(format!(
        "{:?} is rejected although it may have run",
        request.request.id
    )))
}

fn idempotency_of(request: &RequestHistory, config: &SidecarConfig) -> Idempotency {
    config.classes[usize::from(request.request.class.0)].idempotency
}

/// Whether two pods share the deduplication state of idempotency keys.
fn shares_deduplication_state(scope: DeduplicationScope, one: &Endpoint, other: &Endpoint) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => one.zone == other.zone,
        DeduplicationScope::Cell => one.cell == other.cell,
    }
}

fn violation(description: String) -> UnattributedViolation {
    UnattributedViolation::new(Rule::NoRepeatedEffect, description)
}
