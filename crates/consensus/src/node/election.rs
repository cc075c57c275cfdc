//! Leader election (the paper, 5.2 and 5.4.1) with pre-vote (dissertation, 9.6).

use super::{majority, RaftNode, Role};
use crate::message::Message;
use crate::types::{EntryPayload, LogPosition, NodeId};
use nanorand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of election timeouts without contact to a leader after which a voter sends join requests,
/// because it may have been removed without learning of it.
const REJOIN_AFTER_TIMEOUTS: u32 = 3;
/// Number of random bits in a random fraction, which is the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

impl RaftNode {
    /// Sets a random election deadline, one to two election timeouts from now (the paper, 5.2).
    pub(super) fn reset_election_deadline(&mut self, now: Duration) {
        let draw = self.rng.generate::<u64>() >> (u64::BITS - FRACTION_BITS);
        let fraction = draw as f64 / (1u64 << FRACTION_BITS) as f64;
        self.election_deadline = now + self.config.election_timeout.mul_f64(1.0 + fraction);
    }

    /// Becomes a follower in `term`, which is the current term or a later one.
    pub(super) fn become_follower(&mut self, now: Duration, term: u64) {
        if term > self.current_term {
            self.current_term = term;
            self.voted_for = None;
            self.persist_term();
            self.leader = None;
        }
        if !matches!(self.role, Role::Unjoined | Role::Follower) {
            self.role = Role::Follower;
            self.reset_election_deadline(now);
        }
        self.progress.clear();
        self.votes_received.clear();
    }

    /// Makes a leader a follower in the same term.
    pub(super) fn step_down(&mut self, now: Duration) {
        self.leader = None;
        self.become_follower(now, self.current_term);
    }

    /// Starts a pre-vote, which asks whether this node would win an election. A node that returns
    /// from a partition therefore does not raise the term of the others (dissertation, 9.6).
    pub(super) fn start_pre_vote(&mut self, now: Duration) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes_received = BTreeSet::from([self.id.clone()]);
        self.reset_election_deadline(now);
        let silence = self.config.election_timeout * REJOIN_AFTER_TIMEOUTS;
        if now >= self.last_leader_contact + silence {
            self.request_join();
        }
        self.request_votes(true);
        self.count_votes(now);
    }

    fn start_election(&mut self, now: Duration) {
        self.role = Role::Candidate;
        self.current_term += 1;
        self.voted_for = Some(self.id.clone());
        self.persist_term();
        self.own_vote_batch = self.persistence.required_batch();
        self.votes_received = BTreeSet::from([self.id.clone()]);
        self.reset_election_deadline(now);
        self.request_votes(false);
        self.count_votes(now);
    }

    fn request_votes(&mut self, pre_vote: bool) {
        let last = self.log.last_position();
        for id in self.other_members() {
            self.send(&id, Message::VoteRequest { last, pre_vote });
        }
    }

    /// Starts the election or becomes the leader if this node has the votes of a majority.
    pub(super) fn count_votes(&mut self, now: Duration) {
        let members = self.members();
        if self.votes_received.intersection(members).count() < majority(members) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now),
            Role::Candidate if self.persistence.persisted_batch() >= self.own_vote_batch => {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.leader_since = now;
        self.progress.clear();
        self.append_as_leader(EntryPayload::Noop);
        self.heartbeat(now);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now: Duration,
        from: &NodeId,
        term: u64,
        last: LogPosition,
        pre_vote: bool,
    ) {
        let is_electable =
            term == self.current_term && last.is_up_to_date_with(&self.log.last_position());
        let granted = if pre_vote {
            is_electable && !self.has_live_leader(now)
        } else {
            is_electable && self.grant_vote(now, from)
        };
        self.send(from, Message::VoteResponse { granted, pre_vote });
    }

    /// Returns whether this node leads or has heard from a leader within the election timeout
    /// (dissertation, 4.2.3).
    fn has_live_leader(&self, now: Duration) -> bool {
        let contact_ends = self.last_leader_contact + self.config.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && now < contact_ends)
    }

    /// Votes for the candidate, unless this node has voted for another one in this term or is a
    /// candidate itself.
    fn grant_vote(&mut self, now: Duration, candidate: &NodeId) -> bool {
        let has_free_vote = self
            .voted_for
            .as_ref()
            .is_none_or(|voted| voted == candidate);
        if !has_free_vote || !matches!(self.role, Role::Follower | Role::PreCandidate) {
            return false;
        }
        if self.voted_for.is_none() {
            self.voted_for = Some(candidate.clone());
            self.persist_term();
        }
        self.role = Role::Follower;
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: Duration,
        from: NodeId,
        term: u64,
        granted: bool,
        pre_vote: bool,
    ) {
        let expected_role = if pre_vote {
            Role::PreCandidate
        } else {
            Role::Candidate
        };
        if granted && term == self.current_term && self.role == expected_role {
            self.votes_received.insert(from);
            self.count_votes(now);
        }
    }
}
