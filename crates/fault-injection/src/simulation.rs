//! Runs members without I/O in simulated time, subject to a script of faults. Runs with the same script, seed and members are
//! identical.

use crate::action::FaultAction;
use crate::network::FaultyNetwork;
use crate::script::Script;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Upper bound of the datagrams that wait for a suspended member, as in an operating system's receive buffer; more are lost.
const MAX_BUFFERED_DATAGRAMS: usize = 256;
/// Number of last received datagrams that are kept for each member, to replay them.
const MAX_RECENT_DATAGRAMS: usize = 16;
/// Shortest time between two ticks of a member: simulated time would stand still if a member were always due.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(1);
/// Length of the shortest datagram of noise.
const MIN_NOISE_BYTES: usize = 20;
/// Number of different lengths of noise, used in turn; each is one byte longer than the one before.
const NOISE_LENGTHS: usize = 1000;

/// A member without I/O and without a clock of its own. Members are identified by number.
pub trait SimulatedMember {
    /// Starts the member with this number, which has been started `earlier_starts` times before. Its clock is ahead by
    /// `clock_offset` seconds.
    fn start(number: usize, earlier_starts: u32, now: Duration, clock_offset: f64) -> Self;
    /// Handles a received datagram.
    fn receive(&mut self, now: Duration, datagram: &[u8]);
    /// Performs the work that is due.
    fn tick(&mut self, now: Duration);
    /// Returns when [`Self::tick`] is due.
    fn next_deadline(&self) -> Duration;
    /// Takes the next datagram to send, with the receiver's number; the datagram is lost if no member has that number.
    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)>;
    /// Leaves the fleet; the member is stopped once its remaining datagrams are taken.
    fn leave(&mut self, now: Duration);
    /// Replaces its keys by the keys with these numbers.
    fn replace_keys(&mut self, _ids: &[u8]) {}
}

/// Traffic that all members have sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of bytes in these datagrams.
    pub bytes: u64,
}

enum EventKind {
    Tick,
    Arrival(Vec<u8>),
}

struct Event {
    member: usize,
    kind: EventKind,
}

/// Orders events by time, then by the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Duration,
    sequence: u64,
}

/// One member, running or not.
struct Slot<M> {
    member: Option<M>,
    clock_offset: f64,
    starts: u32,
    is_suspended: bool,
    /// Datagrams that arrived while it was suspended.
    buffered: VecDeque<Vec<u8>>,
    /// When its tick is due; ticks that were scheduled for earlier times are ignored.
    next_tick: Duration,
    /// Datagrams that it received last.
    recent: VecDeque<Vec<u8>>,
}

/// Members, their network, and the simulated time.
pub struct Simulation<M> {
    now: Duration,
    network: FaultyNetwork,
    slots: Vec<Slot<M>>,
    events: BTreeMap<EventKey, Event>,
    last_sequence: u64,
    traffic: Traffic,
}

impl<M: SimulatedMember> Simulation<M> {
    /// Starts all `member_count` members, also those that the script's first steps kill.
    pub fn new(script: &Script, member_count: usize) -> Self {
        let slot = |number| Slot {
            member: None,
            clock_offset: script.clock_offset(number, member_count),
            starts: 0,
            is_suspended: false,
            buffered: VecDeque::new(),
            next_tick: Duration::ZERO,
            recent: VecDeque::new(),
        };
        let mut simulation = Self {
            now: Duration::ZERO,
            network: FaultyNetwork::new(script, member_count),
            slots: (0..member_count).map(slot).collect(),
            events: BTreeMap::new(),
            last_sequence: 0,
            traffic: Traffic::default(),
        };
        for number in 0..member_count {
            simulation.start(number);
        }
        simulation
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns a member if it runs, suspended or not.
    pub fn member(&self, number: usize) -> Option<&M> {
        self.slots[number].member.as_ref()
    }

    /// Returns the number of members, running or not.
    pub fn member_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the traffic that all members have sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Runs the simulation until the simulated time is `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(at) = self.next_time().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let fault_at = self.network.next_deadline();
            if fault_at.is_some_and(|at| at <= self.now) {
                for action in self.network.advance(self.now) {
                    self.carry_out(action);
                }
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
        self.now = self.now.max(until);
    }

    /// Returns when the next event or fault is due.
    fn next_time(&self) -> Option<Duration> {
        let event_at = self.events.first_key_value().map(|(key, _)| key.at);
        let fault_at = self.network.next_deadline();
        event_at.into_iter().chain(fault_at).min()
    }

    fn handle(&mut self, event: Event) {
        match event.kind {
            EventKind::Arrival(bytes) => self.receive(event.member, &bytes),
            EventKind::Tick => {
                let slot = &self.slots[event.member];
                if slot.next_tick <= self.now && !slot.is_suspended {
                    self.tick(event.member);
                }
            }
        }
    }

    fn carry_out(&mut self, action: FaultAction) {
        match action {
            FaultAction::Kill(number) => self.slots[number].member = None,
            FaultAction::Start(number) => self.start(number),
            FaultAction::Suspend(number) => self.slots[number].is_suspended = true,
            FaultAction::Resume(number) => self.resume(number),
            FaultAction::Leave(number) => self.leave(number),
            // Simulated members have no disk.
            FaultAction::LoseDisk(_) | FaultAction::FillDisk(_) | FaultAction::FreeDisk(_) => {}
            FaultAction::ReplaceKeys { member, ids } => {
                if let Some(member) = &mut self.slots[member].member {
                    member.replace_keys(&ids);
                }
            }
            FaultAction::SendNoise { member, datagrams } => self.send_noise(member, datagrams),
        }
    }

    fn start(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        slot.member = Some(M::start(number, slot.starts, self.now, slot.clock_offset));
        slot.starts += 1;
        slot.is_suspended = false;
        slot.buffered.clear();
        self.send_and_schedule(number);
    }

    /// A resumed member first receives the datagrams that arrived meanwhile, and is ticked afterwards.
    fn resume(&mut self, number: usize) {
        self.slots[number].is_suspended = false;
        for bytes in std::mem::take(&mut self.slots[number].buffered) {
            self.receive(number, &bytes);
        }
        self.tick(number);
    }

    fn leave(&mut self, number: usize) {
        if let Some(member) = &mut self.slots[number].member {
            member.leave(self.now);
            self.send_and_schedule(number);
            self.slots[number].member = None;
        }
    }

    fn send_noise(&mut self, number: usize, datagrams: u32) {
        let recent: Vec<Vec<u8>> = self.slots[number].recent.iter().cloned().collect();
        for n in 0..datagrams as usize {
            let noise = vec![n as u8; MIN_NOISE_BYTES + n % NOISE_LENGTHS];
            self.receive(number, &noise);
            if let Some(replay) = recent.get(n % recent.len().max(1)) {
                self.receive(number, replay);
            }
        }
    }

    fn receive(&mut self, number: usize, bytes: &[u8]) {
        let slot = &mut self.slots[number];
        if slot.is_suspended {
            if slot.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                slot.buffered.push_back(bytes.to_vec());
            }
            return;
        }
        let Some(member) = &mut slot.member else {
            return;
        };
        member.receive(self.now, bytes);
        slot.recent.push_back(bytes.to_vec());
        if slot.recent.len() > MAX_RECENT_DATAGRAMS {
            slot.recent.pop_front();
        }
        self.send_and_schedule(number);
    }

    fn tick(&mut self, number: usize) {
        if let Some(member) = &mut self.slots[number].member {
            member.tick(self.now);
            self.send_and_schedule(number);
        }
    }

    /// Sends the datagrams that a member has queued, and schedules its next tick.
    fn send_and_schedule(&mut self, number: usize) {
        let Some(member) = &mut self.slots[number].member else {
            return;
        };
        let mut datagrams = Vec::new();
        while let Some(datagram) = member.take_datagram() {
            datagrams.push(datagram);
        }
        let next_tick = member.next_deadline().max(self.now + MIN_TICK_INTERVAL);
        self.slots[number].next_tick = next_tick;
        self.schedule(next_tick, number, EventKind::Tick);
        for (receiver, bytes) in datagrams {
            self.send(number, receiver, &bytes);
        }
    }

    fn send(&mut self, sender: usize, receiver: usize, bytes: &[u8]) {
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes.len() as u64;
        if receiver >= self.slots.len() {
            return;
        }
        for arrival in self.network.transmit(self.now, sender, receiver, bytes) {
            let at = arrival.at.max(self.now);
            self.schedule(at, receiver, EventKind::Arrival(arrival.bytes));
        }
    }

    fn schedule(&mut self, at: Duration, member: usize, kind: EventKind) {
        self.last_sequence += 1;
        let key = EventKey {
            at,
            sequence: self.last_sequence,
        };
        self.events.insert(key, Event { member, kind });
    }
}
