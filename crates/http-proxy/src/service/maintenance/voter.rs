//! A voter of the consensus: drives `limewing_consensus::RaftNode` and keeps its log on disk.

use super::applied_log::AppliedLog;
use super::outbox::Outbox;
use crate::vote_log::VoteLog;
use limewing_consensus::{Committed, Packet, ProposeError, RaftConfig, RaftNode, Role};
use limewing_maintenance::Command;
use std::io;
use std::path::Path;
use std::time::Duration;

/// With more entries than this the log is compacted.
const MAX_UNCOMPACTED_ENTRIES: u64 = 400;
/// Heartbeats in one election timeout, so that a follower outlasts lost ones.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 6;

/// How a voter's node is configured.
pub(super) struct VoterConfig<'a> {
    /// Names of the voters that found the group.
    pub(super) voters: &'a [String],
    /// Without a leader for this long, up to twice that by chance, a voter stands for election.
    pub(super) election_timeout: Duration,
    /// Seed of the node's random number generator.
    pub(super) seed: u64,
}

/// A node and its log.
pub(super) struct Voter {
    node: Box<RaftNode>,
    log: VoteLog,
}

impl Voter {
    /// Starts with the log that earlier processes left in a folder.
    ///
    /// # Errors
    /// The folder cannot be used, or another process uses it.
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

    /// The node, for what it knows.
    pub(super) fn node(&self) -> &RaftNode {
        &self.node
    }

    /// Whether this voter leads, as far as it knows.
    pub(super) fn is_leader(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// When [`Self::run`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        if self.log.is_idle() {
            self.node.next_deadline()
        } else {
            // A write is in flight: whether it is durable is checked at each turn.
            Duration::ZERO
        }
    }

    /// Ticks the node if that is due.
    pub(super) fn tick(&mut self, now: Duration) {
        if now >= self.node.next_deadline() {
            self.node.tick(now);
        }
    }

    /// Takes in a packet. A voter that was suspended learns first that it no longer leads.
    pub(super) fn receive(&mut self, now: Duration, packet: Packet) {
        self.tick(now);
        self.node.receive(now, packet);
    }

    /// Handles finished writes and timers, compacts and writes the log, and takes out packets.
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

    /// Replaces a long log by a snapshot of the schedule, if that has all committed commands.
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

    /// The next committed command or snapshot.
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

    /// Proposes an encoded command, or passes it on to the leader. Whether it is committed shows in the log alone.
    pub(super) fn submit(&mut self, now: Duration, command: Vec<u8>) {
        if self.is_leader() {
            // One that is too long is never committed, which its sender sees.
            let _ = self.node.propose(now, command);
        } else {
            self.node.forward_proposal(command);
        }
    }

    /// Makes a sidecar a voter, or a non-voter, as leader.
    ///
    /// # Errors
    /// Why it cannot be done now.
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

    /// Whether a sidecar is a voter, or is to become one; or neither, for `is_voter` false.
    pub(super) fn has_voter_change(&self, name: &str, is_voter: bool) -> bool {
        let is_member = self.node.members().iter().any(|id| id.name == name);
        let is_pending = self.node.pending_voter() == Some(name);
        is_voter == (is_member || is_pending)
    }
}
