//! A simulated host: its node, its disk, and the packets that are held while it is suspended.

use super::checker::StateMachine;
use super::digest::{nanoseconds, role_number};
use super::{mix, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL};
use limewing_consensus::{
    read_log, Committed, Learner, NodeId, Packet, RaftConfig, RaftNode, Record,
};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of packets held for a suspended host.
const MAX_HELD_PACKETS: usize = 256;

/// Bugs of a host that the checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// The disk reports data as durable before it is written.
    ReportsDurableTooEarly,
    /// A node that lost its disk restarts under the same incarnation.
    ReusesIncarnation,
}

pub(super) fn name(number: usize) -> String {
    format!("s{number}")
}

pub(super) enum Core {
    Voter(Box<RaftNode>),
    Learner(Box<Learner>),
}

impl Core {
    pub(super) fn tick(&mut self, now: Duration) {
        match self {
            Self::Voter(voter) => voter.tick(now),
            Self::Learner(learner) => learner.tick(now),
        }
    }

    fn receive(&mut self, now: Duration, packet: Packet) {
        match self {
            Self::Voter(voter) => voter.receive(now, packet),
            Self::Learner(learner) => learner.receive(now, packet),
        }
    }

    pub(super) fn next_deadline(&self) -> Duration {
        match self {
            Self::Voter(voter) => voter.next_deadline(),
            Self::Learner(learner) => learner.next_deadline(),
        }
    }

    pub(super) fn take_packets(&mut self) -> Vec<(String, Packet)> {
        let next = || match self {
            Self::Voter(voter) => voter.take_packet(),
            Self::Learner(learner) => learner.take_packet(),
        };
        std::iter::from_fn(next).collect()
    }

    pub(super) fn take_committed(&mut self) -> Vec<Committed> {
        let next = || match self {
            Self::Voter(voter) => voter.take_committed(),
            Self::Learner(learner) => learner.take_committed(),
        };
        std::iter::from_fn(next).collect()
    }

    /// Returns the public state of the node for the digest.
    pub(super) fn state_numbers(&self) -> Vec<u64> {
        let next_deadline = nanoseconds(self.next_deadline());
        match self {
            Self::Voter(voter) => vec![
                role_number(voter.role()),
                voter.group(),
                voter.term(),
                voter.commit_index(),
                voter.uncompacted_entries(),
                next_deadline,
            ],
            Self::Learner(learner) => vec![
                learner.applied_index(),
                nanoseconds(learner.last_heard()),
                next_deadline,
            ],
        }
    }
}

/// A write in flight.
pub(super) struct DiskWrite {
    pub(super) batch: u64,
    pub(super) bytes: Vec<u8>,
}

#[derive(Default)]
pub(super) struct SimulatedNode {
    /// None while the process is not running.
    pub(super) core: Option<Core>,
    /// The durable content of the disk.
    pub(super) disk: Vec<u8>,
    pub(super) writes_in_flight: VecDeque<DiskWrite>,
    /// The identity of the last process that ran.
    last_id: Option<NodeId>,
    pub(super) starts: u64,
    /// Whether the host is suspended: it receives nothing and does nothing.
    pub(super) is_suspended: bool,
    pub(super) disk_full: bool,
    pub(super) held_packets: Vec<Packet>,
    /// Time of the next scheduled tick.
    pub(super) next_tick: Duration,
    pub(super) state: StateMachine,
}

impl SimulatedNode {
    pub(super) fn voter(&self) -> Option<&RaftNode> {
        match &self.core {
            Some(Core::Voter(voter)) => Some(voter),
            _ => None,
        }
    }

    pub(super) fn voter_mut(&mut self) -> Option<&mut RaftNode> {
        match &mut self.core {
            Some(Core::Voter(voter)) => Some(voter),
            _ => None,
        }
    }

    /// Prepares the host for a new process and returns the incarnation that a new disk gets.
    fn prepare_start(&mut self, number: usize) -> u64 {
        self.starts += 1;
        self.is_suspended = false;
        self.disk_full = false;
        self.state = StateMachine::default();
        self.held_packets.clear();
        self.writes_in_flight.clear();
        mix(number as u64 + 1, self.starts) | 1
    }

    pub(super) fn start_learner(&mut self, now: Duration, number: usize, voters: Vec<String>) {
        let id = NodeId {
            incarnation: self.prepare_start(number),
            name: name(number),
        };
        let learner = Learner::new(now, id, voters, HEARTBEAT_INTERVAL * 4);
        self.core = Some(Core::Learner(Box::new(learner)));
    }

    pub(super) fn start_voter(
        &mut self,
        now: Duration,
        number: usize,
        voters: Vec<String>,
        seed: u64,
        bug: InjectedBug,
    ) {
        let incarnation = self.prepare_start(number);
        let mut records = self.recover_disk();
        if let Some(id) = &self.last_id {
            if bug == InjectedBug::ReusesIncarnation && records.is_empty() {
                records = vec![Record::Identity(id.clone())];
            }
        }
        let config = RaftConfig {
            voters,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            seed,
        };
        let voter = RaftNode::new(now, &name(number), incarnation, &records, config);
        self.last_id = Some(voter.id().clone());
        self.core = Some(Core::Voter(Box::new(voter)));
    }

    /// Returns the records on the disk and clears a damaged disk.
    fn recover_disk(&mut self) -> Vec<Record> {
        match read_log(&self.disk) {
            Ok(recovered) => {
                self.disk.truncate(recovered.valid_length);
                recovered.records
            }
            Err(_) => {
                self.disk.clear();
                Vec::new()
            }
        }
    }

    /// Ends the process. `tear` determines how much of the first write in flight reaches the disk.
    pub(super) fn kill(&mut self, tear: u64) {
        self.core = None;
        if let Some(DiskWrite { bytes, .. }) = self.writes_in_flight.pop_front() {
            let written = tear as usize % (bytes.len() + 1);
            self.disk.extend_from_slice(&bytes[..written]);
        }
        self.writes_in_flight.clear();
    }

    pub(super) fn receive(&mut self, now: Duration, packet: Packet) {
        if self.is_suspended {
            if self.held_packets.len() < MAX_HELD_PACKETS {
                self.held_packets.push(packet);
            }
        } else if let Some(core) = &mut self.core {
            core.receive(now, packet);
        }
    }

    /// Completes the writes up to this batch. Returns false if the host cannot process the
    /// completion now.
    pub(super) fn complete_writes(&mut self, now: Duration, up_to_batch: u64) -> bool {
        if self.voter().is_none() || self.is_suspended || self.disk_full {
            return false;
        }
        while let Some(write) = self.writes_in_flight.front() {
            if write.batch > up_to_batch {
                break;
            }
            self.disk.extend_from_slice(&write.bytes);
            self.writes_in_flight.pop_front();
        }
        if let Some(voter) = self.voter_mut() {
            voter.persisted(now, up_to_batch);
        }
        true
    }

    /// Returns the batch number of the last write in flight.
    pub(super) fn last_write(&self) -> Option<u64> {
        self.writes_in_flight.back().map(|write| write.batch)
    }
}
