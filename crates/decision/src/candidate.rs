//! The pods that a request may be sent to, in order of preference.

use crate::interface::{BuildId, PodId};
use std::cmp::Ordering;

/// A pod that a request may be sent to.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) pod: PodId,
    pub(crate) build: BuildId,
    /// The tier; candidates of the lowest tier are proposed first.
    pub(crate) tier: u8,
    /// A random draw that models load which this sidecar cannot observe.
    pub(crate) random_draw: f64,
    /// The expected cost of the request at this pod, set when its tier is proposed.
    pub(crate) cost: f64,
    /// The fraction of its build's pods that this sidecar uses.
    pub(crate) used_fraction: f64,
}

/// Orders candidates so that the greatest is proposed first: the one with the lowest tier, then the
/// lowest cost, then the lowest pod id.
impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .tier
            .cmp(&self.tier)
            .then_with(|| other.cost.total_cmp(&self.cost))
            .then_with(|| other.pod.cmp(&self.pod))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// Moves the best candidate to the end without sorting the others. The best one is nearly always
/// admitted, so sorting is rarely needed.
pub(crate) fn move_best_to_end(candidates: &mut [Candidate]) {
    let best = (0..candidates.len()).max_by(|a, b| candidates[*a].cmp(&candidates[*b]));
    if let Some(best) = best {
        candidates.swap(best, candidates.len() - 1);
    }
}
