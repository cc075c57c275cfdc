//! Log replication on the leader's side, and commitment (the paper, 5.3 and 5.4.2).

use super::{majority, RaftNode, Role};
use crate::message::Message;
use crate::types::{LogPosition, NodeId};
use std::time::Duration;

/// Maximum size of the entries in one packet, in bytes.
pub(super) const MAX_BATCH_BYTES: usize = 800;
/// Number of election timeouts without an answer after which the leader stops replicating to a node
/// without a vote.
const DROP_NON_VOTER_AFTER_TIMEOUTS: u32 = 3;

/// The leader's replication state of another node.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Highest index at which the node's log is known to match the leader's.
    pub(super) match_index: u64,
    /// Time of the node's last response.
    pub(super) last_response: Duration,
    /// The last message round that the node has answered.
    pub(super) answered_round: u64,
    /// Whether entries are in flight; they are sent again with the next heartbeat.
    pub(super) in_flight: bool,
    /// Index of the last entry included in the snapshot that the node is receiving.
    pub(super) snapshot_index: u64,
    /// Number of bytes of that snapshot that the node has received.
    pub(super) snapshot_offset: u32,
}

impl Progress {
    /// Creates the state of a node that has not answered yet.
    pub(super) fn new(now: Duration, last_index: u64) -> Self {
        Self {
            next_index: last_index.max(1),
            match_index: 0,
            last_response: now,
            answered_round: 0,
            in_flight: false,
            snapshot_index: 0,
            snapshot_offset: 0,
        }
    }
}

impl RaftNode {
    /// Adds new members to the replication set, and removes nodes without a vote that no longer
    /// answer.
    pub(super) fn update_progress_set(&mut self, now: Duration) {
        let last_index = self.log.last_position().index;
        let members = self.other_members();
        for id in &members {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(now, last_index));
        }
        let silence = self.config.election_timeout * DROP_NON_VOTER_AFTER_TIMEOUTS;
        self.progress
            .retain(|id, progress| members.contains(id) || now < progress.last_response + silence);
    }

    /// Starts a new round and sends each node its missing entries or a heartbeat.
    pub(super) fn replicate(&mut self, now: Duration) {
        self.update_progress_set(now);
        self.round += 1;
        let ids: Vec<NodeId> = self.progress.keys().cloned().collect();
        for id in ids {
            self.send_append(&id);
        }
    }

    /// Sends the entries that the node is missing, or a snapshot chunk if the log no longer
    /// contains them.
    pub(super) fn send_append(&mut self, id: &NodeId) {
        let Some(progress) = self.progress.get_mut(id) else {
            return;
        };
        if progress.next_index <= self.log.snapshot_position().index {
            self.send_snapshot_chunk(id);
            return;
        }
        let previous_index = progress.next_index - 1;
        // While entries are in flight, only heartbeats without entries are sent.
        let entries = if progress.in_flight {
            Vec::new()
        } else {
            let last_index = self.log.last_position().index;
            self.log
                .entries_from(progress.next_index, last_index, MAX_BATCH_BYTES)
        };
        progress.in_flight |= !entries.is_empty();
        let Some(term) = self.log.term_at(previous_index) else {
            return;
        };
        let request = Message::AppendRequest {
            previous: LogPosition {
                index: previous_index,
                term,
            },
            entries,
            commit_index: self.commit_index,
            round: self.round,
        };
        self.send(id, request);
    }

    /// Commits the entries that a majority has on stable storage, provided that the last one is of
    /// the current term; all entries before it are committed with it (the paper, 5.4.2).
    pub(super) fn advance_commit_index(&mut self, now: Duration) {
        let members = self.members();
        let match_index = |id: &NodeId| {
            if *id == self.id {
                let last_index = self.log.last_position().index;
                self.persistence.durable_index().min(last_index)
            } else {
                self.progress
                    .get(id)
                    .map_or(0, |progress| progress.match_index)
            }
        };
        let mut match_indexes: Vec<u64> = members.iter().map(match_index).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indexes.get(majority(members) - 1).copied() else {
            return;
        };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.current_term) {
            return;
        }
        self.commit_index = index;
        // A leader that is no longer a member leads until its removal is committed (dissertation,
        // 4.2.2).
        let is_removed = !self.has_vote() && self.log.configuration().0 <= index;
        self.replicate(now);
        if is_removed {
            self.step_down(now);
        }
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: Duration,
        from: &NodeId,
        matched: Result<u64, u64>,
        round: u64,
    ) {
        let last_index = self.log.last_position().index;
        let Some(progress) = self.record_response(now, from, round) else {
            return;
        };
        progress.in_flight = false;
        let lacks_entries = match matched {
            Ok(index) => {
                progress.match_index = progress.match_index.max(index.min(last_index));
                progress.next_index = progress.next_index.max(progress.match_index + 1);
                progress.next_index <= last_index
            }
            Err(hint) => {
                let before_next = progress.next_index.saturating_sub(1);
                progress.next_index = (hint + 1).min(before_next).max(progress.match_index + 1);
                true
            }
        };
        self.advance_commit_index(now);
        if lacks_entries && self.role == Role::Leader {
            self.send_append(from);
        }
    }

    /// Records an answer and returns the node's replication state; none if a later answer has
    /// already arrived.
    pub(super) fn record_response(
        &mut self,
        now: Duration,
        from: &NodeId,
        round: u64,
    ) -> Option<&mut Progress> {
        let progress = self.progress.get_mut(from)?;
        if round < progress.answered_round {
            return None;
        }
        progress.last_response = now;
        progress.answered_round = round;
        Some(progress)
    }
}
