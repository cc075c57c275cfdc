//! A voter: the state of a Raft node, and the dispatch of ticks and messages.

mod discovery;
mod election;
mod follower;
mod leader;
mod learners;
mod membership;
mod outbox;
mod persistence;
mod proposal;
mod replication;
mod snapshot;
mod state_machine;

pub use persistence::WriteBatch;
pub use proposal::ProposeError;
pub use state_machine::Committed;

use crate::bootstrap::Bootstrap;
use crate::log::Log;
use crate::message::{Message, Packet};
use crate::persistent_state::PersistentState;
use crate::storage::Record;
use crate::types::{Members, NodeId};
use nanorand::{Rng, WyRand};
use outbox::Outbox;
use persistence::Persistence;
use replication::Progress;
use snapshot::{IncomingSnapshot, SnapshotChunk};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The settings of a [`RaftNode`].
#[derive(Clone)]
pub struct RaftConfig {
    /// The names of all initial voters, including this node.
    pub voters: Vec<String>,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader after which a voter starts an election; the maximum is twice
    /// as long.
    pub election_timeout: Duration,
    /// Seed of the random election deadlines, combined with the node's incarnation.
    pub seed: u64,
}

/// The role of a node (the paper, 5.1; dissertation, 9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The node has not joined a group.
    Unjoined,
    /// The node follows a leader or waits for one.
    Follower,
    /// The node asks whether it would win an election.
    PreCandidate,
    /// The node is a candidate in an election.
    Candidate,
    /// The node has won the election of its term.
    Leader,
}

/// A Raft node without I/O that is a voter or may become one. The crate documentation describes how
/// to drive it.
pub struct RaftNode {
    id: NodeId,
    config: RaftConfig,
    rng: WyRand,
    group: u64,
    role: Role,
    current_term: u64,
    voted_for: Option<NodeId>,
    log: Log,
    leader: Option<NodeId>,
    /// Time of the last message from the leader.
    last_leader_contact: Duration,
    election_deadline: Duration,
    /// Time of the next heartbeat, discovery request or join request, depending on the role.
    periodic_deadline: Duration,
    votes_received: BTreeSet<NodeId>,
    /// The write batch that has to be durable before this node's vote for itself counts.
    own_vote_batch: u64,
    /// Replication state of each node that this node replicates to; used only by a leader.
    progress: BTreeMap<NodeId, Progress>,
    /// The last message round that this node sent as leader.
    round: u64,
    leader_since: Duration,
    commit_index: u64,
    /// Index of the last committed entry that was handed to the host.
    applied_index: u64,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// A snapshot that the host has to receive before any further command.
    snapshot_to_apply: Option<Committed>,
    bootstrap: Bootstrap,
    persistence: Persistence,
    outbox: Outbox,
}

/// Returns the number of members that form a majority.
fn majority(members: &Members) -> usize {
    members.len() / 2 + 1
}

impl RaftNode {
    /// Creates a node from the records of its log file, as read by [`crate::read_log`]. Without
    /// records it is a new node with this name, and `incarnation` must be a number that no node has
    /// had.
    pub fn new(
        now: Duration,
        name: &str,
        incarnation: u64,
        records: &[Record],
        config: RaftConfig,
    ) -> Self {
        let mut state = PersistentState::default();
        for record in records {
            if !state.apply(record) {
                break;
            }
        }
        match state.id.clone() {
            Some(id) => Self::with_state(now, id, state, Vec::new(), config),
            None => {
                let id = NodeId {
                    name: name.to_owned(),
                    incarnation,
                };
                let first_records = vec![Record::Identity(id.clone())];
                Self::with_state(now, id, state, first_records, config)
            }
        }
    }

    fn with_state(
        now: Duration,
        id: NodeId,
        state: PersistentState,
        records_to_write: Vec<Record>,
        config: RaftConfig,
    ) -> Self {
        let mut rng = WyRand::new_seed(config.seed ^ id.incarnation);
        // The nonce is never 0, which means no nonce.
        let bootstrap = Bootstrap::new(rng.generate::<u64>() | 1);
        let snapshot_index = state.log.snapshot_position().index;
        let last_index = state.log.last_position().index;
        let snapshot_to_apply = (snapshot_index > 0).then(|| Committed::Snapshot {
            last_index: snapshot_index,
            state: state.log.snapshot_data().to_vec(),
        });
        let role = if state.group == 0 {
            Role::Unjoined
        } else {
            Role::Follower
        };
        let mut node = Self {
            id,
            config,
            rng,
            group: state.group,
            role,
            current_term: state.term,
            voted_for: state.voted_for,
            log: state.log,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            periodic_deadline: now,
            votes_received: BTreeSet::new(),
            own_vote_batch: 0,
            progress: BTreeMap::new(),
            round: 0,
            leader_since: now,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            incoming_snapshot: None,
            snapshot_to_apply,
            bootstrap,
            persistence: Persistence::new(last_index, records_to_write),
            outbox: Outbox::default(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Returns this node's identity.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Returns this node's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns this node's current term.
    pub fn term(&self) -> u64 {
        self.current_term
    }

    /// Returns the group that this node has joined; 0 means none.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Returns the leader, if this node knows one.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    /// Returns the voters of the last configuration in the log.
    pub fn members(&self) -> &Members {
        &self.log.configuration().1.voters
    }

    /// Returns the highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the number of entries since the last snapshot. The host should call
    /// [`RaftNode::compact`] when there are many.
    pub fn uncompacted_entries(&self) -> u64 {
        self.log.last_position().index - self.log.snapshot_position().index
    }

    /// Returns the latest time at which [`RaftNode::tick`] has to be called.
    pub fn next_deadline(&self) -> Duration {
        match self.role {
            Role::Unjoined | Role::Leader => self.periodic_deadline,
            _ if self.has_vote() => self.election_deadline,
            _ => self.periodic_deadline,
        }
    }

    fn has_vote(&self) -> bool {
        self.members().contains(&self.id)
    }

    fn other_members(&self) -> Vec<NodeId> {
        let others = self.members().iter().filter(|id| **id != self.id);
        others.cloned().collect()
    }

    /// Runs the timers that are due: a heartbeat, an election, or a discovery or join request.
    pub fn tick(&mut self, now: Duration) {
        if now < self.next_deadline() {
            return;
        }
        match self.role {
            Role::Unjoined => self.discover_group(now),
            Role::Leader => self.heartbeat(now),
            _ if self.has_vote() => self.start_pre_vote(now),
            Role::Follower => self.request_join_without_leader(now),
            Role::PreCandidate | Role::Candidate => {}
        }
    }

    /// Handles a packet from another node. The host has to verify that the packet was sent by the
    /// node that it names.
    pub fn receive(&mut self, now: Duration, packet: Packet) {
        let Packet {
            group,
            from,
            to_incarnation,
            term,
            message,
        } = packet;
        let is_for_this_node = to_incarnation == 0 || to_incarnation == self.id.incarnation;
        if from == self.id || !is_for_this_node {
            return;
        }
        match message {
            Message::DiscoveryRequest {
                nonce,
                voters_checksum,
            } => self.handle_discovery_request(&from, nonce, voters_checksum),
            Message::DiscoveryResponse {
                nonce,
                voters_checksum,
                initial_members,
            } => self.handle_discovery_response(
                now,
                group,
                &from,
                nonce,
                voters_checksum,
                &initial_members,
            ),
            Message::LearnerRequest {
                next_index,
                snapshot_index,
                snapshot_offset,
            } => {
                let received = (snapshot_index, snapshot_offset);
                self.handle_learner_request(group, &from, next_index, received);
            }
            _ if group != self.group || self.group == 0 => {}
            Message::JoinRequest => self.handle_join_request(now, from),
            Message::JoinForwarded { id } => self.replicate_to_non_voter(now, id),
            Message::Propose { command } => {
                // If this node is not the leader, the proposer has to retry.
                let _ = self.propose(now, command);
            }
            message => self.receive_raft_message(now, from, term, message),
        }
    }

    /// Handles the messages that carry a term (the paper, 5.1).
    fn receive_raft_message(&mut self, now: Duration, from: NodeId, term: u64, message: Message) {
        // A pre-vote request carries the current term of its sender, so it never raises a term.
        if term > self.current_term {
            self.become_follower(now, term);
        }
        match message {
            Message::VoteRequest { last, pre_vote } => {
                self.handle_vote_request(now, &from, term, last, pre_vote);
            }
            Message::VoteResponse { granted, pre_vote } => {
                self.handle_vote_response(now, from, term, granted, pre_vote);
            }
            Message::AppendRequest {
                previous,
                entries,
                commit_index,
                round,
            } => {
                if !self.accept_leader(now, &from, term, round) {
                    return;
                }
                self.handle_append_request(&from, previous, entries, commit_index, round);
            }
            Message::SnapshotRequest {
                last,
                configuration,
                offset,
                total_length,
                data,
                round,
            } => {
                if !self.accept_leader(now, &from, term, round) {
                    return;
                }
                let chunk = SnapshotChunk {
                    last,
                    configuration,
                    offset,
                    total_length,
                    data,
                };
                self.handle_snapshot_request(&from, chunk, round);
            }
            Message::AppendResponse { matched, round } if self.leads_term(term) => {
                self.handle_append_response(now, &from, matched, round);
            }
            Message::SnapshotResponse {
                last,
                received,
                round,
            } if self.leads_term(term) => {
                self.handle_snapshot_response(now, &from, last, received, round);
            }
            _ => {}
        }
    }

    fn leads_term(&self, term: u64) -> bool {
        term == self.current_term && self.role == Role::Leader
    }
}
