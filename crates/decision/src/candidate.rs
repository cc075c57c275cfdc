//! The pods that a request may go to, in order of preference.

use crate::interface::{BuildId, PodId};
use std::cmp::Ordering;

/// A pod that a request may go to.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) pod: PodId,
    pub(crate) build: BuildId,
    /// Candidates of the lowest tier are proposed first.
    pub(crate) tier: u8,
    /// The random draw that stands for load which this sidecar does not see.
    pub(crate) random_draw: f64,
    /// The expected cost of the request at this pod; set once its tier is proposed.
    pub(crate) cost: f64,
    /// The fraction of its build's pods that this sidecar uses.
    pub(crate) used_fraction: f64,
}

/// The greatest is proposed first: of the lowest tier, then the cheapest, then the lowest pod.
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

/// Moves the best candidate to the end, and leaves the others in no order: nearly always the best one is
/// admitted, and the others need not be sorted.
pub(crate) fn best_last(candidates: &mut [Candidate]) {
    let best = (0..candidates.len()).max_by(|a, b| candidates[*a].cmp(&candidates[*b]));
    if let Some(best) = best {
        candidates.swap(best, candidates.len() - 1);
    }
}
