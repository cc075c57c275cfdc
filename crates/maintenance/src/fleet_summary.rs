//! The leader's view of the fleet, as it is committed to the log.

use serde::{Deserialize, Serialize};

/// Largest capacity that a summary may name.
const MAX_CAPACITY: f64 = 1e12;

/// Capacity of the fleet, and what speaks against taking more machines out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Index through which the observer had applied the log: machines granted later are not yet missing from the capacity.
    pub applied_index: u64,
    /// Capacity of all machines.
    pub total_capacity: f64,
    /// Capacity of the machines that are ready, warm and not granted.
    pub ready_capacity: f64,
    /// A zone that served before serves no more.
    pub zone_outage: bool,
    /// A build is on trial, or is being rolled back.
    pub release_on_trial: bool,
    /// Part of their requests that sidecars reject, 0 to 1: the mean over those that hold leases.
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
