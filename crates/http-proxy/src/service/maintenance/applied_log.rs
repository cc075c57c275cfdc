//! The maintenance schedule, built from the committed log entries that this sidecar has applied.

use super::consensus_role::ConsensusRole;
use limewing_consensus::Committed;
use limewing_maintenance::{ApplyError, Command, MaintenanceSchedule};

/// The schedule and the log index through which it is applied.
#[derive(Default)]
pub(super) struct AppliedLog {
    pub(super) schedule: MaintenanceSchedule,
    pub(super) index: u64,
}

impl AppliedLog {
    /// Applies all entries that are committed so far.
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
                "cannot decode the maintenance schedule snapshot: it has a different format version"
            ),
        }
    }
}

fn log_applied(index: u64, command: &Command, result: Result<(), ApplyError>) {
    match (result, command) {
        // While a list exists, this command is committed twice per second, so it is logged at debug level only.
        (Ok(()), Command::Observe { summary, .. }) => {
            tracing::debug!(index, ?summary, "command applied");
        }
        (Ok(()), _) => tracing::info!(index, ?command, "command applied"),
        (Err(error), _) => {
            tracing::info!(index, ?command, %error, "command rejected by the schedule");
        }
    }
}
