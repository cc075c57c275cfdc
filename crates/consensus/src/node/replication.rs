//! Log replication by the leader, and commitment (the paper, 5.3 and 5.4.2).

use super::{majority, RaftNode, Role};
use crate::message::Message;
use crate::types::{LogPosition, NodeId};
use std::time::Duration;

/// Largest size of the entries in one packet, in bytes.
pub(super) const MAX_BATCH_BYTES: usize = 800;
/// The leader stops to replicate to a node without a vote that has not answered for so many election timeouts.
const NON_VOTER_SILENCE_TIMEOUTS: u32 = 3;

/// What a leader knows of a node that it replicates to.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The next entry to send.
    pub(super) next_index: u64,
    /// Up to where the node's log is known to match the leader's.
    pub(super) match_index: u64,
    /// When the node last answered.
    pub(super) last_response: Duration,
    /// The last round that it has answered.
    pub(super) answered_round: u64,
    /// Whether entries are on their way; they are sent again with the next heartbeat.
    pub(super) in_flight: bool,
    /// The last index of the snapshot that the node is receiving.
    pub(super) snapshot_index: u64,
    /// How much of that snapshot it has, in bytes.
    pub(super) snapshot_offset: u32,
}

impl Progress {
    /// Of a node of which nothing is known yet.
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
    /// Starts to replicate to new members, and stops for nodes without a vote that no longer answer.
    pub(super) fn update_progress_set(&mut self, now: Duration) {
        let last_index = self.log.last_position().index;
        let members = self.other_members();
        for id in &members {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| Progress::new(now, last_index));
        }
        let silence = self.config.election_timeout * NON_VOTER_SILENCE_TIMEOUTS;
        self.progress
            .retain(|id, of| members.contains(id) || now < of.last_response + silence);
    }

    /// Sends to each node what it lacks, or a heartbeat, in a new round.
    pub(super) fn replicate(&mut self, now: Duration) {
        self.update_progress_set(now);
        self.round += 1;
        let ids: Vec<NodeId> = self.progress.keys().cloned().collect();
        for id in ids {
            self.send_append(&id);
        }
    }

    /// Sends the entries that the node lacks, or the snapshot where the log no longer has them.
    pub(super) fn send_append(&mut self, id: &NodeId) {
        let Some(progress) = self.progress.get_mut(id) else {
            return;
        };
        if progress.next_index <= self.log.snapshot_position().index {
            self.send_snapshot_chunk(id);
            return;
        }
        let previous_index = progress.next_index - 1;
        // While entries are on their way only heartbeats go, without entries.
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

    /// Commits what a majority has on stable storage, if its last entry is of the current term; with it all entries before
    /// it are committed (the paper, 5.4.2).
    pub(super) fn advance_commit_index(&mut self, now: Duration) {
        let members = self.members();
        let match_index = |id: &NodeId| {
            if *id == self.id {
                let last_index = self.log.last_position().index;
                self.persistence.durable_index().min(last_index)
            } else {
                self.progress.get(id).map_or(0, |of| of.match_index)
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
        // A leader that is no longer a member leads until that is committed (dissertation, 4.2.2).
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
        let Some(progress) = self.progress_of_answer(now, from, round) else {
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

    /// The progress of a node that has answered; none for an answer that later ones have overtaken.
    pub(super) fn progress_of_answer(
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
