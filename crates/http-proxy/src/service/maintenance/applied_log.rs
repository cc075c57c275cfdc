//! The maintenance schedule as far as this sidecar has applied the replicated log.

use super::consensus_role::ConsensusRole;
use limewing_consensus::Committed;
use limewing_maintenance::{ApplyError, Command, MaintenanceSchedule};

/// The schedule, and the index through which it has the log.
#[derive(Default)]
pub(super) struct AppliedLog {
    pub(super) schedule: MaintenanceSchedule,
    pub(super) index: u64,
}

impl AppliedLog {
    /// Applies everything that is committed by now.
    pub(super) fn apply_committed(&mut self, role: &mut ConsensusRole) {
        while let Some(committed) = role.take_committed() {
            match committed {
                Committed::Command { position, command } => {
                    self.apply_command(position.index, &command);
                }
                Committed::Snapshot { state, .. } => self.restore(&state),
            }
        }
        self.index = role.applied_index();
    }

    fn apply_command(&mut self, index: u64, bytes: &[u8]) {
        match Command::decode(bytes) {
            Ok(command) => {
                let result = self.schedule.apply(index, &command);
                log_applied(index, &command, result);
            }
            Err(error) => tracing::warn!(index, %error, "cannot decode a committed command"),
        }
    }

    fn restore(&mut self, snapshot: &[u8]) {
        match MaintenanceSchedule::decode(snapshot) {
            Some(schedule) => self.schedule = schedule,
            None => tracing::error!(
                "cannot decode the snapshot of the maintenance schedule: it is of another version"
            ),
        }
    }
}

fn log_applied(index: u64, command: &Command, result: Result<(), ApplyError>) {
    match (result, command) {
        // One twice a second while there is a list.
        (Ok(()), Command::Observe { summary, .. }) => {
            tracing::debug!(index, ?summary, "command applied");
        }
        (Ok(()), _) => tracing::info!(index, ?command, "command applied"),
        (Err(error), _) => {
            tracing::info!(index, ?command, %error, "command rejected by the schedule");
        }
    }
}
