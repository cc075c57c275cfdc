//! How much evidence a vote needs. It goes by the quorum: what decides alone has to be certain, what dozens
//! have to agree on may be light.

use crate::derived_config::DerivedConfig;
use crate::statistics::{binomial_tail, proportion_excess, Proportion};

#[cfg(test)]
mod tests;

/// The least number of outcomes for a vote that decides alone.
const MIN_SAMPLE: usize = 20;
/// The least number of outcomes for any vote.
const MIN_SHARED_SAMPLE: usize = 3;
/// A vote that decides alone needs an excess of so many standard errors.
const MIN_SIGNIFICANCE: f64 = 1.5;
/// No proportion is significantly worse by fewer bad outcomes than this.
const MIN_BAD_OUTCOMES: usize = 3;
/// From this quorum on a single sign may be enough for a vote.
const LARGE_QUORUM: f64 = 24.0;
/// A sign is rare if the earlier build would show it to this share of the quorum at most.
const RARE_QUORUM_SHARE: f64 = 0.5;

/// Whether a proportion of bad outcomes is larger than another by more than `margin` and so many standard
/// errors.
pub(crate) fn is_significantly_worse(
    new: Proportion,
    old: Proportion,
    margin: f64,
    standard_errors: f64,
) -> bool {
    let (excess, standard_error) = proportion_excess(new, old);
    new.count >= MIN_BAD_OUTCOMES && excess > margin + standard_errors * standard_error
}

/// Whether a sign is so rare that, where dozens have to agree, it is enough for a vote: what the earlier build
/// would show to fewer than half of the quorum. Without it a fleet in which each sidecar has little traffic
/// would be the last to learn of a fault.
pub(crate) fn is_rare_sign(
    new: Proportion,
    old: Proportion,
    margin: f64,
    config: &DerivedConfig,
) -> bool {
    if config.rollback_quorum < LARGE_QUORUM {
        return false;
    }
    let usual = old.jeffreys_estimate();
    let quorum_fraction = config.rollback_quorum / config.sidecar_count;
    let is_rare = binomial_tail(new.count, new.total, usual) < quorum_fraction * RARE_QUORUM_SHARE;
    is_rare && proportion_excess(new, old).0 > margin
}

/// The least number of outcomes for a vote. Where many must agree each may have fewer, though not in
/// proportion: what they observe is alike.
pub(crate) fn min_sample(config: &DerivedConfig) -> usize {
    let shared = (MIN_SAMPLE as f64 / config.rollback_quorum.sqrt()).ceil() as usize;
    shared.max(MIN_SHARED_SAMPLE)
}

/// How many standard errors an excess has to have: of many sidecars that observe one sound build, the noise of
/// as many as can roll it back reaches about this.
pub(crate) fn significance_threshold(config: &DerivedConfig) -> f64 {
    // The tail of the normal distribution beyond x is at most exp(-x^2 / 2).
    let tail_bound = (2.0 * (config.sidecar_count / config.rollback_quorum).ln()).sqrt();
    tail_bound.max(MIN_SIGNIFICANCE)
}
