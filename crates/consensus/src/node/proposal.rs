//! Proposal of commands.

use super::{RaftNode, Role};
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Entry, EntryPayload, LogPosition, MAX_COMMAND_BYTES, MAX_VOTERS};
use std::time::Duration;

/// The reason why a command or a membership change was not proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The node is not the leader; holds the name of the leader if it is known.
    #[error("this node is not the leader; last known leader: {0:?}")]
    NotLeader(Option<String>),
    /// The command exceeds [`MAX_COMMAND_BYTES`].
    #[error("the command is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// The previous membership change, or the leader's first entry in its term, is not committed
    /// yet.
    #[error("the previous membership change or the first entry of this term is not committed yet")]
    ChangeInProgress,
    /// The change does not affect exactly one voter, or leaves too few or too many voters.
    #[error("expected a change of exactly one voter that leaves 1 to {MAX_VOTERS} voters")]
    InvalidMembers,
}

impl RaftNode {
    /// Appends a command to the leader's log and replicates it. Returns its position, which an
    /// entry of another leader may take as long as the command is not committed.
    ///
    /// # Errors
    /// This node is not the leader, or the command is too long.
    pub fn propose(
        &mut self,
        now: Duration,
        command: Vec<u8>,
    ) -> Result<LogPosition, ProposeError> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLong);
        }
        self.check_is_leader()?;
        let position = self.append_as_leader(EntryPayload::Command(command));
        self.replicate(now);
        Ok(position)
    }

    /// Sends a command to the leader, if one is known (dissertation, 6.2). Delivery is not
    /// confirmed.
    pub fn forward_proposal(&mut self, command: Vec<u8>) {
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) {
            self.send(&leader, Message::Propose { command });
        }
    }

    pub(super) fn check_is_leader(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            let leader = self.leader.as_ref().map(|id| id.name.clone());
            return Err(ProposeError::NotLeader(leader));
        }
        Ok(())
    }

    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> LogPosition {
        let term = self.current_term;
        let entry = Entry { term, payload };
        let index = self.append_entry(entry);
        LogPosition { index, term }
    }

    /// Appends an entry to the log in memory and to the pending records, and returns its index.
    pub(super) fn append_entry(&mut self, entry: Entry) -> u64 {
        let index = self.log.append(entry.clone());
        self.persistence.push(Record::Entry { index, entry });
        index
    }
}
