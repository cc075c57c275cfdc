//! Tracks which machines a sidecar has drained.

use crate::command::Identifier;
use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Times since which a sidecar sends no new requests to closed machines. A machine is drained once
/// the grace period has passed and the host has no request in flight there.
#[derive(Clone, Debug)]
pub struct DrainTracker {
    grace: Duration,
    closed_since: BTreeMap<String, Duration>,
}

impl DrainTracker {
    /// Creates a tracker without closed machines. The last requests may still be sent within
    /// `grace`.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            closed_since: BTreeMap::new(),
        }
    }

    /// Sets the names of the closed machines.
    pub fn set_closed(&mut self, now: Duration, names: &BTreeSet<String>) {
        self.closed_since
            .retain(|machine, _| names.contains(machine));
        for machine in names {
            self.closed_since.entry(machine.clone()).or_insert(now);
        }
    }

    /// Returns the closed machines whose grace period has passed, with their grants. The host has
    /// to check for requests in flight.
    pub fn past_grace<'a>(
        &'a self,
        now: Duration,
        schedule: &'a MaintenanceSchedule,
    ) -> impl Iterator<Item = (&'a str, Identifier)> {
        schedule
            .closed_machines()
            .map(|(machine, grant)| (machine.name.as_str(), grant))
            .filter(move |(name, _)| {
                let since = self.closed_since.get(*name);
                since.is_some_and(|since| now >= *since + self.grace)
            })
    }
}
