//! Log replication on the follower's side (the paper, 5.3).

use super::{RaftNode, Role};
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Entry, LogPosition, NodeId};
use std::time::Duration;

impl RaftNode {
    /// Follows the sender if its term is current; otherwise tells it the current term.
    pub(super) fn accept_leader(
        &mut self,
        now: Duration,
        from: &NodeId,
        term: u64,
        round: u64,
    ) -> bool {
        if term < self.current_term {
            let matched = Err(0);
            self.send(from, Message::AppendResponse { matched, round });
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn handle_append_request(
        &mut self,
        from: &NodeId,
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit_index: u64,
        round: u64,
    ) {
        if let Err(hint) = self.check_previous(previous) {
            let matched = Err(hint);
            self.send(from, Message::AppendResponse { matched, round });
            return;
        }
        let Some(index) = self.append_received(previous.index, entries) else {
            return;
        };
        self.commit_index = self.commit_index.max(leader_commit_index.min(index));
        let matched = Ok(index);
        self.send(from, Message::AppendResponse { matched, round });
    }

    /// Checks that the log contains the entry before the new ones. If it does not, returns the
    /// index that the leader should try next: before all entries of the conflicting term, but not
    /// before the commit index, up to which the logs match (the paper, 5.3).
    fn check_previous(&self, previous: LogPosition) -> Result<(), u64> {
        // Entries included in the snapshot are committed, so they match.
        let own_term = if previous.index < self.log.snapshot_position().index {
            Some(previous.term)
        } else {
            self.log.term_at(previous.index)
        };
        if own_term == Some(previous.term) {
            return Ok(());
        }
        let before_previous = previous.index.saturating_sub(1);
        let mut hint = before_previous.min(self.log.last_position().index);
        while hint > self.commit_index && own_term.is_some() && self.log.term_at(hint) == own_term {
            hint -= 1;
        }
        Err(hint.max(self.commit_index))
    }

    /// Appends the missing entries and replaces conflicting ones; `entries` follow
    /// `previous_index`. Returns the index of the last entry, or none if the entries contradict a
    /// committed one, which those of a correct leader never do.
    fn append_received(&mut self, previous_index: u64, entries: Vec<Entry>) -> Option<u64> {
        let mut index = previous_index;
        for entry in entries {
            index += 1;
            if index <= self.log.snapshot_position().index {
                continue;
            }
            let own_term = self.log.term_at(index);
            if own_term == Some(entry.term) {
                continue;
            }
            if own_term.is_some() {
                if index <= self.commit_index {
                    return None;
                }
                self.truncate_from(index);
            }
            self.append_entry(entry);
        }
        Some(index)
    }

    fn truncate_from(&mut self, from_index: u64) {
        self.log.truncate_from(from_index);
        self.persistence.push(Record::Truncate { from_index });
        self.persistence.limit_durable_index(from_index - 1);
    }
}
