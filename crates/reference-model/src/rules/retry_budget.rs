//! A limit of the design, not one of the five rules: how many attempts the requests of a sidecar pay for.

use crate::history::SidecarHistory;
use crate::violation::{Rule, RuleBroken};

/// Attempts that each request pays for: itself, and 15 retries for each 100 requests.
const ATTEMPTS_PER_REQUEST: f64 = 1.15;
/// Retries that may be saved up.
const SAVED_RETRIES: f64 = 20.0;
/// For the rounding of sums of floats.
const ROUNDING: f64 = 1e-6;

/// A sidecar does not start more attempts than its requests pay for.
pub(crate) fn check(sidecar: &SidecarHistory) -> Result<(), RuleBroken> {
    let attempts = sidecar.attempt_starts.len() as f64;
    let requests = sidecar.arrivals.len() as f64;
    if attempts > ATTEMPTS_PER_REQUEST * requests + SAVED_RETRIES + ROUNDING {
        return Err(RuleBroken::new(
            Rule::Design,
            format!("{attempts} attempts for {requests} requests"),
        ));
    }
    Ok(())
}
