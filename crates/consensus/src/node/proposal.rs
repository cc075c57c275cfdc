//! Commands on their way into the log.

use super::{RaftNode, Role};
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Entry, EntryPayload, LogPosition, MAX_COMMAND_BYTES, MAX_VOTERS};
use std::time::Duration;

/// Why a command or a change of members is not proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Only the leader can propose.
    #[error("this node does not lead; as far as it knows {0:?} does")]
    NotLeader(Option<String>),
    /// The command is too long.
    #[error("the command is longer than {MAX_COMMAND_BYTES} bytes")]
    TooLong,
    /// Members are changed one at a time, by a leader that has committed an entry of its term.
    #[error("another change of members, or the first entry of this term, is not committed yet")]
    ChangeInProgress,
    /// The change is not of one member, or leaves none or too many.
    #[error("expected 1 to {MAX_VOTERS} members, one of them other than now")]
    InvalidMembers,
}

impl RaftNode {
    /// Appends a command to the leader's log and replicates it. The position that it got; another leader's entry may take
    /// that position as long as it is not committed.
    ///
    /// # Errors
    /// The node does not lead, or the command is too long.
    pub fn propose(
        &mut self,
        now: Duration,
        command: Vec<u8>,
    ) -> Result<LogPosition, ProposeError> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLong);
        }
        self.check_leads()?;
        let position = self.append_own(EntryPayload::Command(command));
        self.replicate(now);
        Ok(position)
    }

    /// Sends a command to the leader, if one is known (dissertation, 6.2). Nothing tells whether it arrives.
    pub fn forward_proposal(&mut self, command: Vec<u8>) {
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) {
            self.send(&leader, Message::Propose { command });
        }
    }

    pub(super) fn check_leads(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            let leader = self.leader.as_ref().map(|id| id.name.clone());
            return Err(ProposeError::NotLeader(leader));
        }
        Ok(())
    }

    /// Appends an entry of the current term to the leader's own log.
    pub(super) fn append_own(&mut self, payload: EntryPayload) -> LogPosition {
        let term = self.current_term;
        let entry = Entry { term, payload };
        let index = self.append_entry(entry);
        LogPosition { index, term }
    }

    /// Adds an entry at the end of the log, in memory and in the records to write; its index.
    pub(super) fn append_entry(&mut self, entry: Entry) -> u64 {
        let index = self.log.append(entry.clone());
        self.persistence.push(Record::Entry { index, entry });
        index
    }
}
