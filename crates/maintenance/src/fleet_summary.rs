//! The leader's view of the fleet, as committed to the log.

use serde::{Deserialize, Serialize};

/// Maximum capacity in a summary.
const MAX_CAPACITY: f64 = 1e12;

/// Capacity of the fleet, and the conditions that prevent taking more machines out of service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Log index up to which the observer had applied the log. The capacity still includes machines
    /// that were granted later.
    pub applied_index: u64,
    /// Capacity of all machines.
    pub total_capacity: f64,
    /// Capacity of the machines that are ready, warm and not granted.
    pub ready_capacity: f64,
    /// Whether a zone that served before no longer does.
    pub zone_outage: bool,
    /// Whether a build is on trial or is being rolled back.
    pub release_on_trial: bool,
    /// Fraction of requests that sidecars reject, from 0 to 1, as the mean over the sidecars that
    /// hold leases.
    pub rejection_rate: f64,
}

impl FleetSummary {
    pub(crate) fn is_valid(&self) -> bool {
        let capacities = [self.total_capacity, self.ready_capacity];
        capacities
            .iter()
            .all(|capacity| (0.0..=MAX_CAPACITY).contains(capacity))
            && (0.0..=1.0).contains(&self.rejection_rate)
    }
}
