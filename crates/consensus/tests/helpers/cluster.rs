//! Discrete-event simulation of a cluster.

use super::checker::Checker;
use super::digest::{nanoseconds, OutputDigest};
use super::node::{name, Core, DiskWrite, InjectedBug, SimulatedNode};
use super::seconds;
use limewing_consensus::{
    Members, Packet, ProposeError, RaftNode, Record, Role, WriteBatch, MAX_PACKET_BYTES,
};
use limewing_fault_injection::{FaultAction, FaultyNetwork, Script};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of entries since the last snapshot above which a host compacts its log.
const COMPACTION_THRESHOLD_ENTRIES: u64 = 40;
/// Interval between proposed commands.
const COMMAND_INTERVAL: Duration = Duration::from_millis(40);
/// Delay after which a crashed node restarts, in seconds.
const RESTART_DELAY_SECONDS: f64 = 0.4;
/// Minimum delay until the next tick of a node.
const MIN_TICK_DELAY: Duration = Duration::from_micros(10);

enum Event {
    Tick,
    PacketArrives(Packet),
    WriteDone(u64),
    Propose,
}

/// A crash during a write.
#[derive(Clone, Copy)]
pub(crate) struct CrashAt {
    pub(crate) node: usize,
    /// Sequence number of the write over all nodes, starting at 1.
    pub(crate) write: u64,
    /// Whether the write is durable when the node crashes.
    pub(crate) durable: bool,
}

pub(crate) struct Cluster {
    pub(crate) now: Duration,
    /// Number of hosts with a disk; the hosts after them are learners.
    voters: usize,
    /// Number of voters named in the settings, which are the first ones.
    configured_voters: usize,
    network: FaultyNetwork,
    nodes: Vec<SimulatedNode>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    scheduled_events: u64,
    rng: WyRand,
    injected_bug: InjectedBug,
    last_command: u64,
    writes: u64,
    pub(crate) handled_events: u64,
    pub(crate) checker: Checker,
    pub(crate) crash_at: Option<CrashAt>,
    pub(crate) digest: OutputDigest,
}

impl Cluster {
    pub(crate) fn new(
        script: &Script,
        voters: usize,
        learners: usize,
        seed: u64,
        bug: InjectedBug,
    ) -> Self {
        Self::growing(script, (voters, voters), learners, seed, bug)
    }

    /// Creates a cluster whose group consists of the first `configured_voters`. The other voters
    /// have a disk but no vote yet.
    pub(crate) fn growing(
        script: &Script,
        (configured_voters, voters): (usize, usize),
        learners: usize,
        seed: u64,
        bug: InjectedBug,
    ) -> Self {
        assert_eq!(script.config_errors(), []);
        let hosts = voters + learners;
        let mut cluster = Self {
            now: Duration::ZERO,
            voters,
            configured_voters,
            network: FaultyNetwork::new(script, hosts),
            nodes: (0..hosts).map(|_| SimulatedNode::default()).collect(),
            events: BTreeMap::new(),
            scheduled_events: 0,
            rng: WyRand::new_seed(seed),
            injected_bug: bug,
            last_command: 0,
            writes: 0,
            handled_events: 0,
            checker: Checker::default(),
            crash_at: None,
            digest: OutputDigest::default(),
        };
        for number in 0..hosts {
            cluster.start(number);
        }
        cluster.schedule(COMMAND_INTERVAL, 0, Event::Propose);
        cluster
    }

    fn schedule(&mut self, at: Duration, node: usize, event: Event) {
        self.scheduled_events += 1;
        self.events
            .insert((at, self.scheduled_events), (node, event));
    }

    fn start(&mut self, number: usize) {
        let seed = self.rng.generate::<u64>();
        let voters = (0..self.configured_voters).map(name).collect();
        let node = &mut self.nodes[number];
        if number < self.voters {
            node.start_voter(self.now, number, voters, seed, self.injected_bug);
        } else {
            node.start_learner(self.now, number, voters);
        }
        self.process_outputs(number);
    }

    pub(crate) fn kill(&mut self, number: usize) {
        let tear = self.rng.generate::<u64>();
        self.nodes[number].kill(tear);
    }

    fn apply_fault(&mut self, action: FaultAction) {
        match action {
            FaultAction::Kill(number) | FaultAction::Leave(number) => self.kill(number),
            FaultAction::Start(number) => {
                self.kill(number);
                self.start(number);
            }
            FaultAction::LoseDisk(number) => {
                if self.nodes[number].voter().is_none() {
                    self.nodes[number].disk.clear();
                }
            }
            FaultAction::Suspend(number) => self.nodes[number].is_suspended = true,
            FaultAction::Resume(number) => self.resume(number),
            FaultAction::FillDisk(number) => {
                self.nodes[number].disk_full = self.nodes[number].voter().is_some();
            }
            FaultAction::FreeDisk(number) => {
                self.nodes[number].disk_full = false;
                self.complete_all_writes(number);
            }
            FaultAction::ReplaceKeys { .. } | FaultAction::SendNoise { .. } => {}
        }
    }

    fn resume(&mut self, number: usize) {
        self.nodes[number].is_suspended = false;
        for packet in std::mem::take(&mut self.nodes[number].held_packets) {
            self.receive(number, packet);
        }
        // Writes that were in flight have completed in the meantime.
        self.complete_all_writes(number);
        self.tick(number);
    }

    fn complete_all_writes(&mut self, number: usize) {
        if let Some(batch) = self.nodes[number].last_write() {
            self.complete_writes(number, batch);
        }
    }

    fn receive(&mut self, number: usize, packet: Packet) {
        self.nodes[number].receive(self.now, packet);
        if !self.nodes[number].is_suspended {
            self.process_outputs(number);
        }
    }

    fn tick(&mut self, number: usize) {
        if let Some(core) = &mut self.nodes[number].core {
            core.tick(self.now);
        }
        self.process_outputs(number);
    }

    fn complete_writes(&mut self, number: usize, up_to_batch: u64) {
        if self.nodes[number].complete_writes(self.now, up_to_batch) {
            self.process_outputs(number);
        }
    }

    /// Performs the writes, packets and committed commands that a node outputs, and checks them.
    fn process_outputs(&mut self, number: usize) {
        if self.nodes[number].core.is_none() {
            return;
        }
        self.handled_events += 1;
        self.digest
            .observe_numbers(&[number as u64, nanoseconds(self.now)]);
        let crashes = self.write_batches(number);
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else { return };
        let packets = core.take_packets();
        let committed = core.take_committed();
        let next_deadline = core.next_deadline();
        self.digest.observe_numbers(&core.state_numbers());
        if let Some(voter) = node.voter().filter(|voter| voter.role() == Role::Leader) {
            let leader = (voter.id().incarnation, voter.id().name.clone());
            self.checker.check_leader(self.now, voter.term(), leader);
        }
        for committed in &committed {
            self.digest.observe_committed(committed);
        }
        for committed in committed {
            self.checker
                .check_committed(number, &mut node.state, committed);
        }
        if crashes {
            self.kill(number);
            self.schedule_tick(number, self.now + seconds(RESTART_DELAY_SECONDS));
            return;
        }
        self.compact(number);
        self.schedule_tick(number, next_deadline.max(self.now + MIN_TICK_DELAY));
        for (to, packet) in packets {
            self.send(number, &to, &packet);
        }
    }

    fn schedule_tick(&mut self, number: usize, at: Duration) {
        self.nodes[number].next_tick = at;
        self.schedule(at, number, Event::Tick);
    }

    /// Starts the pending writes of a voter. Returns true if the host crashes at one of them.
    fn write_batches(&mut self, number: usize) -> bool {
        let mut crashes = false;
        while let Some(batch) = self.next_write_batch(number) {
            self.writes += 1;
            let bytes = encode(&batch.records);
            self.digest.observe_numbers(&[batch.number]);
            self.digest.observe(&bytes);
            let node = &mut self.nodes[number];
            let crash = self.crash_at;
            let crash = crash.filter(|crash| crash.node == number && crash.write == self.writes);
            if crash.is_some_and(|crash| crash.durable) {
                node.disk.extend_from_slice(&bytes);
            } else {
                let batch = batch.number;
                node.writes_in_flight.push_back(DiskWrite { batch, bytes });
            }
            if crash.is_some() {
                crashes = true;
                self.crash_at = None;
            }
            self.schedule_write_done(number, batch.number);
        }
        crashes
    }

    fn next_write_batch(&mut self, number: usize) -> Option<WriteBatch> {
        self.nodes[number].voter_mut()?.next_write_batch()
    }

    fn schedule_write_done(&mut self, number: usize, batch: u64) {
        let reports_durable_too_early = self.injected_bug == InjectedBug::ReportsDurableTooEarly;
        let slowdown_factor = if reports_durable_too_early { 20 } else { 1 };
        let random_part = slowdown_factor * self.rng.generate_range(0..8000u64);
        let done_at = self.now + Duration::from_micros(500 + random_part);
        self.schedule(done_at, number, Event::WriteDone(batch));
        if let Some(voter) = self.nodes[number]
            .voter_mut()
            .filter(|_| reports_durable_too_early)
        {
            voter.persisted(self.now, batch);
        }
    }

    fn send(&mut self, from: usize, to: &str, packet: &Packet) {
        let Some(to) = to.strip_prefix('s').and_then(|number| number.parse().ok()) else {
            return;
        };
        let bytes = packet.encode();
        self.digest.observe_numbers(&[to as u64]);
        self.digest.observe(&bytes);
        let length = bytes.len();
        assert!(length <= MAX_PACKET_BYTES, "{length} bytes: {packet:?}");
        for arrival in self.network.transmit(self.now, from, to, &bytes) {
            if let Ok(packet) = Packet::decode(&arrival.bytes) {
                let at = arrival.at.max(self.now);
                self.schedule(at, to, Event::PacketArrives(packet));
            }
        }
    }

    /// Compacts the log of a voter that has many entries since its last snapshot, and rewrites its
    /// log file.
    fn compact(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let can_write = node.writes_in_flight.is_empty() && !node.disk_full;
        let Some(Core::Voter(voter)) = &mut node.core else {
            return;
        };
        if voter.uncompacted_entries() <= COMPACTION_THRESHOLD_ENTRIES || !can_write {
            return;
        }
        voter.compact(node.state.applied_index, node.state.snapshot());
        let bytes = encode(&voter.compacted_records());
        self.digest.observe(&bytes);
        if let Some(batch) = voter.next_write_batch() {
            node.disk = bytes;
            voter.persisted(self.now, batch.number);
        }
    }

    /// Proposes the next command at a random voter, which forwards it if it is not the leader.
    fn propose_next(&mut self) {
        self.schedule(self.now + COMMAND_INTERVAL, 0, Event::Propose);
        let to = self.rng.generate_range(0..self.voters);
        self.last_command += 1;
        let length = 8 + self.rng.generate_range(0..60usize);
        let padding = vec![self.last_command as u8; length];
        let command = [self.last_command.to_le_bytes().as_slice(), &padding].concat();
        let node = &mut self.nodes[to];
        let is_suspended = node.is_suspended;
        let Some(voter) = node.voter_mut().filter(|_| !is_suspended) else {
            return;
        };
        let proposed = voter.propose(self.now, command.clone());
        if proposed.is_err() {
            voter.forward_proposal(command);
        }
        self.digest.observe_proposal(&proposed);
        self.process_outputs(to);
    }

    /// Processes all events up to `until`, or up to the first violation.
    pub(crate) fn run_to(&mut self, until: Duration) {
        loop {
            let next_event = self.events.first_key_value().map(|((at, _), _)| *at);
            let next_fault = self.network.next_deadline();
            let next = [next_event, next_fault].into_iter().flatten().min();
            let Some(at) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if next_fault.is_some_and(|fault_at| fault_at <= self.now) {
                for action in self.network.advance(self.now) {
                    self.apply_fault(action);
                }
                continue;
            }
            if let Some((_, (number, event))) = self.events.pop_first() {
                self.handle(number, event);
            }
            if !self.checker.violations.is_empty() {
                return;
            }
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, number: usize, event: Event) {
        match event {
            Event::PacketArrives(packet) => self.receive(number, packet),
            Event::WriteDone(batch) => self.complete_writes(number, batch),
            Event::Propose => self.propose_next(),
            Event::Tick => {
                let node = &self.nodes[number];
                if node.next_tick > self.now || node.is_suspended {
                    return;
                }
                if self.restarts_now(number) {
                    self.start(number);
                } else {
                    self.tick(number);
                }
            }
        }
    }

    /// Returns whether a node that crashed during a write restarts now. It restarts once without a
    /// scripted fault.
    fn restarts_now(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let is_due = node.core.is_none() && node.next_tick == self.now && self.crash_at.is_none();
        is_due && self.writes > 0 && number < self.voters && node.starts == 1
    }

    pub(crate) fn voter(&self, number: usize) -> Option<&RaftNode> {
        self.nodes[number].voter()
    }

    pub(crate) fn change_members(
        &mut self,
        number: usize,
        members: Members,
    ) -> Result<(), ProposeError> {
        let now = self.now;
        let voter = self.nodes[number]
            .voter_mut()
            .expect("the node should be running");
        let changed = voter.change_members(now, members);
        self.digest.observe_proposal(&changed);
        self.process_outputs(number);
        changed.map(drop)
    }

    /// Makes the leader add or remove the voter with this name.
    pub(crate) fn set_vote(&mut self, name: &str, has_vote: bool) -> Result<(), ProposeError> {
        let leader = self.leader().ok_or(ProposeError::NotLeader(None))?;
        let now = self.now;
        let voter = self.nodes[leader]
            .voter_mut()
            .expect("the node should be running");
        let changed = if has_vote {
            voter.add_voter(now, name)
        } else {
            voter.remove_voter(now, name)
        };
        self.digest.observe_proposal(&changed);
        self.process_outputs(leader);
        changed.map(drop)
    }

    /// Returns the leader; if several nodes lead, the one with the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |number: &usize| {
            let voter = self.voter(*number);
            voter.is_some_and(|voter| voter.role() == Role::Leader)
        };
        let leaders = (0..self.voters).filter(leads);
        leaders.max_by_key(|number| self.voter(*number).map(RaftNode::term))
    }

    pub(crate) fn committed_commands(&self) -> usize {
        self.checker.committed_commands()
    }

    /// Returns the time until all running nodes have applied everything that is committed now and
    /// one more command; none if that takes longer than `limit`.
    pub(crate) fn time_to_converge(&mut self, limit: Duration) -> Option<Duration> {
        let from = self.now;
        let last_index = self.checker.last_index();
        loop {
            let running = self.nodes.iter().filter(|node| node.core.is_some());
            let min_applied_index = running.map(|node| node.state.applied_index).min();
            if min_applied_index.unwrap_or(0) > last_index {
                return Some(self.now - from);
            }
            if self.now >= from + limit || !self.checker.violations.is_empty() {
                return None;
            }
            self.run_to(self.now + seconds(0.02));
        }
    }
}

fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        record.encode_into(&mut bytes);
    }
    bytes
}
