//! The retry budget, a limit of the design that is not one of the five rules.

use crate::history::SidecarHistory;
use crate::violation::{Rule, UnattributedViolation};

/// Attempts allowed per request: one, and 15 retries per 100 requests.
const ATTEMPTS_PER_REQUEST: f64 = 1.15;
/// Retries allowed in addition to those earned by requests.
const RETRY_BURST: f64 = 20.0;
/// Tolerance for floating-point rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Checks that a sidecar does not start more attempts than its retry budget allows.
pub(crate) fn check(sidecar: &SidecarHistory) -> Result<(), UnattributedViolation> {
    let attempts = sidecar.attempt_starts.len() as f64;
    let requests = sidecar.arrivals.len() as f64;
    if attempts > ATTEMPTS_PER_REQUEST * requests + RETRY_BURST + ROUNDING_TOLERANCE {
        return Err(UnattributedViolation::new(
            Rule::Design,
            format!("{attempts} attempts for {requests} requests exceed the retry budget"),
        ));
    }
    Ok(())
}
