//! What the host's state machine gets and gives: committed commands, and snapshots of its state.

use super::RaftNode;
use crate::storage::Record;
use crate::types::{EntryPayload, LogPosition};

/// What is committed, in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// A command to apply.
    Command {
        /// Its position in the log.
        position: LogPosition,
        /// The command.
        command: Vec<u8>,
    },
    /// The host's own state as of an entry, in the place of all commands up to it.
    Snapshot {
        /// The index of the last entry that the state includes.
        last_index: u64,
        /// The state, as a host once gave it to [`RaftNode::compact`].
        state: Vec<u8>,
    },
}

impl RaftNode {
    /// The next committed command or snapshot, in order; each once in a process.
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

    /// Replaces the entries up to `last_index` by the host's state (the paper, 7). Without effect if the host was not handed
    /// all of them yet.
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
