//! Interface to the host's state machine: committed commands, and snapshots of its state.

use super::RaftNode;
use crate::storage::Record;
use crate::types::{EntryPayload, LogPosition};

/// A committed command or snapshot, in log order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// A command to apply.
    Command {
        /// The position of the command in the log.
        position: LogPosition,
        /// The bytes of the command.
        command: Vec<u8>,
    },
    /// The host's state as of an entry, which replaces all commands up to that entry.
    Snapshot {
        /// Index of the last entry included in the state.
        last_index: u64,
        /// The state, as passed to [`RaftNode::compact`] by a host.
        state: Vec<u8>,
    },
}

impl RaftNode {
    /// Returns the next committed command or snapshot, in log order. Each one is returned once per
    /// process.
    pub fn take_committed(&mut self) -> Option<Committed> {
        if let Some(snapshot) = self.snapshot_to_apply.take() {
            if let Committed::Snapshot { last_index, .. } = &snapshot {
                self.applied_index = self.applied_index.max(*last_index);
            }
            return Some(snapshot);
        }
        while self.applied_index < self.commit_index {
            self.applied_index += 1;
            let entry = self.log.entry(self.applied_index)?;
            if let EntryPayload::Command(command) = &entry.payload {
                let position = LogPosition {
                    index: self.applied_index,
                    term: entry.term,
                };
                return Some(Committed::Command {
                    position,
                    command: command.clone(),
                });
            }
        }
        None
    }

    /// Replaces the entries up to `last_index` by the host's state (the paper, 7). Has no effect if
    /// the host has not been handed all of them yet.
    pub fn compact(&mut self, last_index: u64, state: Vec<u8>) {
        if last_index <= self.applied_index && self.log.compact(last_index, state) {
            self.persistence.push(Record::Snapshot {
                last: self.log.snapshot_position(),
                configuration: self.log.snapshot_configuration().clone(),
                state: self.log.snapshot_data().to_vec(),
            });
        }
    }
}
