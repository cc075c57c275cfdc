//! Heartbeats of a leader, and its contact with a quorum, without which it steps down.

use super::{majority, RaftNode, Role};
use crate::types::NodeId;
use std::time::Duration;

impl RaftNode {
    /// Returns whether this node is the leader and has committed an entry of its own term, and
    /// therefore knows all entries that earlier leaders have committed (dissertation, 6.4, step 1).
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.has_committed_in_term()
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.current_term)
    }

    /// Sends heartbeats that include the entries each follower is missing, or steps down without a
    /// quorum.
    pub(super) fn heartbeat(&mut self, now: Duration) {
        self.periodic_deadline = now + self.config.heartbeat_interval;
        self.update_progress_set(now);
        if !self.has_quorum_contact(now) {
            self.step_down(now);
            return;
        }
        // Entries that were not acknowledged since the last heartbeat are sent again.
        for progress in self.progress.values_mut() {
            progress.in_flight = false;
        }
        self.replicate(now);
        self.advance_commit_index(now);
        self.promote_non_voter(now);
    }

    /// Returns whether a majority has answered within the election timeout. Otherwise another node
    /// may lead by now (dissertation, 6.2). A new leader has one election timeout to reach a
    /// majority.
    fn has_quorum_contact(&self, now: Duration) -> bool {
        let timeout = self.config.election_timeout;
        let is_new = now < self.leader_since + timeout;
        let in_contact = |id: &NodeId| {
            let progress = self.progress.get(id);
            *id == self.id
                || is_new
                || progress.is_some_and(|progress| now < progress.last_response + timeout)
        };
        let members = self.members();
        members.iter().filter(|id| in_contact(id)).count() >= majority(members)
    }
}
