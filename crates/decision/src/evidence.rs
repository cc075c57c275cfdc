//! The amount of evidence that a vote requires. It depends on the quorum: a vote that decides alone
//! needs strong evidence, while votes that need the agreement of dozens of sidecars may rest on
//! weak evidence.

use crate::derived_config::DerivedConfig;
use crate::statistics::{binomial_tail, proportion_excess, Proportion};

#[cfg(test)]
mod tests;

/// The minimum number of outcomes for a vote that decides alone.
const MIN_SAMPLE: usize = 20;
/// The minimum number of outcomes for any vote.
const MIN_SHARED_SAMPLE: usize = 3;
/// The minimum excess, in standard errors, for a vote that decides alone.
const MIN_SIGNIFICANCE: f64 = 1.5;
/// The minimum number of bad outcomes for a proportion to be significantly worse.
const MIN_BAD_OUTCOMES: usize = 3;
/// The quorum from which a single bad outcome may be sufficient for a vote.
const LARGE_QUORUM: f64 = 24.0;
/// An observation is rare if at most this share of the quorum would make it with the baseline
/// build.
const RARE_QUORUM_SHARE: f64 = 0.5;

/// Returns whether a proportion of bad outcomes exceeds another by more than `margin` plus the
/// given number of standard errors.
pub(crate) fn is_significantly_worse(
    new: Proportion,
    old: Proportion,
    margin: f64,
    standard_errors: f64,
) -> bool {
    let (excess, standard_error) = proportion_excess(new, old);
    new.count >= MIN_BAD_OUTCOMES && excess > margin + standard_errors * standard_error
}

/// Returns whether an observation is rare enough to justify a vote where dozens of sidecars have to
/// agree: fewer than half of the quorum would make it with the baseline build. Without this rule, a
/// fleet whose sidecars each have little traffic would be the last to detect a fault.
pub(crate) fn is_rare_observation(
    new: Proportion,
    old: Proportion,
    margin: f64,
    config: &DerivedConfig,
) -> bool {
    if config.rollback_quorum < LARGE_QUORUM {
        return false;
    }
    let baseline_rate = old.jeffreys_estimate();
    let quorum_fraction = config.rollback_quorum / config.sidecar_count;
    let is_rare =
        binomial_tail(new.count, new.total, baseline_rate) < quorum_fraction * RARE_QUORUM_SHARE;
    is_rare && proportion_excess(new, old).0 > margin
}

/// Returns the minimum number of outcomes for a vote. It decreases with the quorum, but less than
/// proportionally because the observations of the sidecars are correlated.
pub(crate) fn min_sample(config: &DerivedConfig) -> usize {
    let scaled = (MIN_SAMPLE as f64 / config.rollback_quorum.sqrt()).ceil() as usize;
    scaled.max(MIN_SHARED_SAMPLE)
}

/// Returns the number of standard errors that an excess must reach. Among many sidecars observing a
/// healthy build, noise exceeds about this level at as many of them as could roll it back.
pub(crate) fn significance_threshold(config: &DerivedConfig) -> f64 {
    // The tail of the normal distribution beyond x is at most exp(-x^2 / 2).
    let tail_bound = (2.0 * (config.sidecar_count / config.rollback_quorum).ln()).sqrt();
    tail_bound.max(MIN_SIGNIFICANCE)
}
