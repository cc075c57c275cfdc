//! From which machines a sidecar is drained.

use crate::command::Identifier;
use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Since when a sidecar sends no new requests to machines. It is drained from one once the grace period is over and the host has no
/// request in flight there.
#[derive(Clone, Debug)]
pub struct DrainTracker {
    grace: Duration,
    closed_since: BTreeMap<String, Duration>,
}

impl DrainTracker {
    /// A tracker without closed machines; `grace` is the time in which the last requests may still be sent.
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

    /// Closed machines whose grace period is over, with their grants; the host has to check for requests in flight.
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
