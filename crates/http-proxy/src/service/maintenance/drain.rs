//! Tracks which machines are closed to this sidecar, and from which of them it is drained.

use super::applied_log::AppliedLog;
use super::EndpointContext;
use limewing_maintenance::{DrainTracker, Identifier, Lease, MaintenanceSchedule};
use std::collections::BTreeSet;
use std::time::Duration;

/// The inputs that determine the closed machines, apart from the schedule itself.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ClosedInputs {
    applied_index: u64,
    lease_held: bool,
    awaits_first_grant: bool,
}

/// The closed machines, and this sidecar's progress in draining from them.
pub(super) struct DrainState {
    /// Names of the closed machines. `None` means that all machines are closed.
    closed: Option<BTreeSet<String>>,
    computed_from: Option<ClosedInputs>,
    tracker: DrainTracker,
    /// Grants of the machines that this sidecar is drained from.
    drained: Vec<Identifier>,
}

impl DrainState {
    /// Starts with all machines closed, until the first call of [`Self::update_closed`]. During the `grace` period, the
    /// last requests may still be sent to a closed machine.
    pub(super) fn new(grace: Duration) -> Self {
        Self {
            closed: None,
            computed_from: None,
            tracker: DrainTracker::new(grace),
            drained: Vec::new(),
        }
    }

    /// Whether a machine's pods must appear as draining to the decision engine.
    pub(super) fn is_closed(&self, machine: &str) -> bool {
        match &self.closed {
            Some(closed) => closed.contains(machine),
            None => true,
        }
    }

    /// Names of the closed machines. Empty if all machines are closed.
    pub(super) fn closed_names(&self) -> Vec<String> {
        self.closed.iter().flatten().cloned().collect()
    }

    /// Grants of the machines that this sidecar is drained from.
    pub(super) fn drained(&self) -> &[Identifier] {
        &self.drained
    }

    /// Recomputes which machines are closed. Returns whether that changed.
    pub(super) fn update_closed(
        &mut self,
        now: Duration,
        lease: &Lease,
        applied: &AppliedLog,
    ) -> bool {
        let inputs = ClosedInputs {
            applied_index: applied.index,
            lease_held: lease.is_held(now, applied.index),
            awaits_first_grant: lease.awaits_first_grant(now),
        };
        if self.computed_from == Some(inputs) {
            return false;
        }
        self.computed_from = Some(inputs);
        let closed = lease.closed_machines(now, applied.index, &applied.schedule);
        match &closed {
            Some(names) => self.tracker.set_closed(now, names),
            None => self.tracker.set_closed(now, &BTreeSet::new()),
        }
        let has_changed = closed != self.closed;
        self.closed = closed;
        has_changed
    }

    /// Recomputes which machines this sidecar is drained from: those that the decision engine sees as draining, whose
    /// grace period is over, and that have no requests in flight. Returns whether there is a change to report.
    pub(super) fn update_drained(
        &mut self,
        now: Duration,
        schedule: &MaintenanceSchedule,
        context: &EndpointContext,
    ) -> bool {
        let past_grace: Vec<(&str, Identifier)> = self.tracker.past_grace(now, schedule).collect();
        let is_drained = |grant: &Identifier| self.drained.contains(grant);
        if past_grace.iter().all(|(_, grant)| is_drained(grant)) {
            // No grant was added, so there is no need to scan the requests in flight; only ended grants are removed.
            self.drained
                .retain(|grant| past_grace.iter().any(|(_, other)| other == grant));
            return false;
        }
        let busy_machines = context.busy_machines();
        let drained: Vec<Identifier> = past_grace
            .iter()
            .filter(|(machine, _)| !busy_machines.contains(machine))
            .map(|(_, grant)| *grant)
            .collect();
        let has_changed = drained != self.drained;
        self.drained = drained;
        has_changed
    }
}
