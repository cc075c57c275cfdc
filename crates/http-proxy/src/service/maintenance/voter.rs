//! A voter of the consensus: drives `limewing_consensus::RaftNode` and stores its log on disk.

use super::applied_log::AppliedLog;
use super::outbox::Outbox;
use crate::vote_log::VoteLog;
use limewing_consensus::{Committed, Packet, ProposeError, RaftConfig, RaftNode, Role};
use limewing_maintenance::Command;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Number of entries above which the log is compacted.
const MAX_UNCOMPACTED_ENTRIES: u64 = 400;
/// Heartbeats per election timeout, so that lost heartbeats do not trigger an election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 6;

/// Configuration of a voter.
pub(super) struct VoterConfig<'a> {
    /// Names of the initial voters.
    pub(super) voters: &'a [String],
    /// Minimum time without a leader before a voter starts an election; the actual time is randomized up to twice this.
    pub(super) election_timeout: Duration,
    /// Seed of the node's random number generator.
    pub(super) seed: u64,
}

/// A consensus node and its log on disk.
pub(super) struct Voter {
    node: Box<RaftNode>,
    log: VoteLog,
}

impl Voter {
    /// Opens the log that earlier processes stored in `folder`, or creates one.
    ///
    /// # Errors
    /// The directory cannot be used, or another process uses it.
    pub(super) fn open(
        now: Duration,
        name: &str,
        folder: &Path,
        config: &VoterConfig,
    ) -> io::Result<Self> {
        let (log, records) = VoteLog::open(folder)?;
        let config = RaftConfig {
            voters: config.voters.to_vec(),
            heartbeat_interval: config.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT,
            election_timeout: config.election_timeout,
            seed: config.seed,
        };
        let node = RaftNode::new(now, name, rand::random(), &records, config);
        Ok(Self {
            node: Box::new(node),
            log,
        })
    }

    /// Returns the consensus node.
    pub(super) fn node(&self) -> &RaftNode {
        &self.node
    }

    /// Whether this voter considers itself the leader.
    pub(super) fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Self::run`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        if self.log.is_idle() {
            self.node.next_deadline()
        } else {
            // A write is in flight: each turn checks whether it is durable.
            Duration::ZERO
        }
    }

    /// Ticks the node if its deadline has passed.
    pub(super) fn tick(&mut self, now: Duration) {
        if now >= self.node.next_deadline() {
            self.node.tick(now);
        }
    }

    /// Processes a packet. Timers run first, so that a leader that was suspended steps down before it handles the
    /// packet.
    pub(super) fn receive(&mut self, now: Duration, packet: Packet) {
        self.tick(now);
        self.node.receive(now, packet);
    }

    /// Handles completed writes and timers, compacts and writes the log, and moves outgoing packets to the outbox.
    pub(super) fn run(&mut self, now: Duration, applied: &AppliedLog, outbox: &mut Outbox) {
        if let Some(number) = self.log.take_durable() {
            self.node.persisted(now, number);
        }
        self.tick(now);
        self.compact(applied);
        while let Some(write) = self.node.next_write_batch() {
            self.log.append(write.number, &write.records);
        }
        while let Some((to, packet)) = self.node.take_packet() {
            outbox.push_packet(to, &packet);
        }
    }

    /// Replaces a long log with a snapshot of the schedule, if all committed commands are applied to it.
    fn compact(&mut self, applied: &AppliedLog) {
        let is_long = self.node.uncompacted_entries() > MAX_UNCOMPACTED_ENTRIES;
        let is_applied = self.node.commit_index() == applied.index;
        if !is_long || !self.log.is_idle() || !is_applied {
            return;
        }
        self.node.compact(applied.index, applied.schedule.encode());
        if let Some(write) = self.node.next_write_batch() {
            self.log
                .replace(write.number, &self.node.compacted_records());
        }
    }

    /// Takes the next committed command or snapshot.
    pub(super) fn take_committed(&mut self) -> Option<Committed> {
        self.node.take_committed()
    }

    /// Proposes a command as leader. Returns its index in the log.
    ///
    /// # Errors
    /// This voter does not lead, or the command is too long.
    pub(super) fn propose(
        &mut self,
        now: Duration,
        command: &Command,
    ) -> Result<u64, ProposeError> {
        let position = self.node.propose(now, command.encode())?;
        Ok(position.index)
    }

    /// Proposes an encoded command, or sends it to the leader. Only the log shows whether it is committed.
    pub(super) fn submit(&mut self, now: Duration, command: Vec<u8>) {
        if self.is_leader() {
            // A command that is too long is never committed; its sender notices that and drops it after its expiry.
            let _ = self.node.propose(now, command);
        } else {
            self.node.forward_proposal(command);
        }
    }

    /// Adds or removes a voter as leader.
    ///
    /// # Errors
    /// The change is not possible now.
    pub(super) fn change_voter(
        &mut self,
        now: Duration,
        name: &str,
        is_voter: bool,
    ) -> Result<(), ProposeError> {
        if is_voter {
            self.node.add_voter(now, name)?;
        } else {
            self.node.remove_voter(now, name)?;
        }
        Ok(())
    }

    /// Whether a voter change is in effect or under way: for `is_voter`, the sidecar is a voter or pending voter;
    /// otherwise it is neither.
    pub(super) fn has_voter_change(&self, name: &str, is_voter: bool) -> bool {
        let is_member = self.node.members().iter().any(|id| id.name == name);
        let is_pending = self.node.pending_voter() == Some(name);
        is_voter == (is_member || is_pending)
    }
}
