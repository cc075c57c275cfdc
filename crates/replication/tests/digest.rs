//! Digest of all output of replication over twenty simulated fleets with faults: packets, applied
//! records, the state of each member, and the logs. A refactoring that preserves the behaviour
//! preserves the digest.

mod helpers;

use helpers::{random_script, replica_config, secs, TIME_TO_LIVE};
use limewing_fault_injection::{SimulatedMember, Simulation, Traffic};
use limewing_replication::{
    ExecutionMark, LocalState, MergedState, Origin, Packet, PacketError, Phase, Record, Refusal,
    Replica, Stage,
};
use limewing_test_support::digest::Digest;
use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::time::Duration;

const SEEDS: u64 = 20;
const MEMBERS: usize = 12;
const FAULT_SECONDS: f64 = 40.0;
/// Long enough for all published records to expire.
const SECONDS: u64 = 75;
const ACTION_INTERVAL: Duration = Duration::from_millis(90);
const KEYS: u64 = 200;
const IDEMPOTENCY_KEYS: u64 = 60;
const FIRST_CAP: f64 = 0.14;

thread_local! {
    static DIGEST: RefCell<Digest> = const { RefCell::new(Digest::new()) };
    static SEED: RefCell<u64> = const { RefCell::new(0) };
}

fn observe(write: impl FnOnce(&mut Digest)) {
    DIGEST.with(|digest| write(&mut digest.borrow_mut()));
}

fn phase_code(phase: Phase) -> u64 {
    match phase {
        Phase::OnTrial => 1,
        Phase::Released => 2,
        Phase::RollingBack => 3,
        Phase::RolledBack => 4,
    }
}

fn observe_stage(digest: &mut Digest, stage: Option<&Stage>) {
    let Some(stage) = stage else {
        return digest.number(0);
    };
    digest.number(stage.number);
    digest.number(u64::from(stage.build));
    digest.number(u64::from(stage.stage));
    digest.number(phase_code(stage.phase));
    digest.number(stage.cap.to_bits());
}

fn observe_record(digest: &mut Digest, record: Option<&Record>) {
    match record {
        None => digest.number(0),
        Some(Record::KeyServed { key, build }) => {
            digest.number(1);
            digest.number(*key);
            digest.number(u64::from(*build));
        }
        Some(Record::Execution {
            idempotency_key,
            mark,
        }) => {
            digest.number(2);
            digest.number(*idempotency_key);
            digest.number(u64::from(*mark == ExecutionMark::NeverRan));
        }
        Some(Record::Stage(stage)) => {
            digest.number(3);
            observe_stage(digest, Some(stage));
        }
    }
}

fn refusal_code(refusal: Option<Refusal>) -> u64 {
    match refusal {
        None => 0,
        Some(Refusal::NotCaughtUp) => 1,
        Some(Refusal::MayHaveRun) => 2,
    }
}

fn error_code(error: PacketError) -> u64 {
    match error {
        PacketError::Version => 1,
        PacketError::Malformed => 2,
        PacketError::OutOfBounds => 3,
    }
}

fn observe_origin(digest: &mut Digest, origin: &Origin) {
    digest.bytes(origin.name.as_bytes());
    digest.number(origin.incarnation);
}

/// A request that must not run twice, with its number of attempts in flight.
struct Request {
    number: u64,
    attempts: u32,
}

/// A sidecar that publishes records of its actions and applies those of the other sidecars.
struct Node {
    number: usize,
    replica: Replica,
    state: MergedState,
    local: LocalState,
    requests: Vec<Request>,
    next_request: u64,
    next_action: Duration,
    rng: WyRand,
}

impl Node {
    fn draw(&mut self, below: u64) -> u64 {
        self.rng.generate_range(0..below)
    }

    fn publish(&mut self, now: Duration, record: Option<Record>) {
        observe(|digest| observe_record(digest, record.as_ref()));
        let Some(record) = record else { return };
        // Some records expire in transit.
        let time_to_live = if self.draw(10) == 0 {
            Duration::from_millis(120)
        } else {
            TIME_TO_LIVE
        };
        let number = self.replica.publish(now, &record, time_to_live);
        observe(|digest| digest.number(number));
    }

    fn perform_action(&mut self, now: Duration) {
        match self.draw(12) {
            0 => self.announce_stage(now),
            1..=4 => self.start_request(now),
            5..=7 => self.end_attempt(now),
            _ => {
                let (key, build) = (self.draw(KEYS), self.draw(4) as u16);
                let record = self.local.key_served(now, key, build);
                self.publish(now, record);
            }
        }
    }

    fn announce_stage(&mut self, now: Duration) {
        let phases = [
            Phase::OnTrial,
            Phase::Released,
            Phase::RollingBack,
            Phase::RolledBack,
        ];
        let phase = phases[self.draw(4) as usize];
        // All members see about the same rollout, some of them late. Some sources do not number
        // their stages.
        let progress = now.as_secs() / 6;
        let number = (progress + self.draw(2)) * u64::from(self.draw(8) > 0);
        let build = (1 + progress / 3) as u16;
        let cap = self.draw(11) as f64 / 10.0;
        let stage = Stage {
            number,
            build,
            stage: self.draw(3) as u8,
            phase,
            cap,
        };
        let record = self.local.stage_announced(stage);
        self.publish(now, record);
    }

    fn start_request(&mut self, now: Duration) {
        let idempotency_key = self.draw(IDEMPOTENCY_KEYS);
        let (has_routing_key, has_idempotency_key) = (self.draw(2) == 0, self.draw(3) > 0);
        let refusal = self.local.refusal(
            now,
            &self.state,
            self.replica.caught_up(),
            has_idempotency_key.then_some(idempotency_key),
            has_routing_key,
        );
        observe(|digest| digest.number(refusal_code(refusal)));
        if refusal.is_some() || !has_idempotency_key {
            return;
        }
        self.next_request += 1;
        let request = Request {
            number: self.next_request,
            attempts: 1 + self.draw(2) as u32,
        };
        for _ in 0..request.attempts {
            let record = self.local.attempt_started(request.number, idempotency_key);
            self.publish(now, record);
        }
        self.requests.push(request);
    }

    fn end_attempt(&mut self, now: Duration) {
        if self.requests.is_empty() {
            return;
        }
        let index = self.draw(self.requests.len() as u64) as usize;
        let (never_ran, request_closed) = (self.draw(3) == 0, self.draw(4) > 0);
        let number = self.requests[index].number;
        let record = self.local.attempt_ended(number, never_ran, request_closed);
        self.requests[index].attempts -= 1;
        if self.requests[index].attempts == 0 {
            self.requests.remove(index);
            self.local.request_finished(number);
        }
        self.publish(now, record);
    }

    /// Applies new entries and merges the stages in them.
    fn apply(&mut self, now: Duration) {
        let mut has_new_entries = false;
        while let Some((origin, entry)) = self.replica.take_applied() {
            has_new_entries = true;
            let record = Record::decode(entry.kind, &entry.body);
            let expires_at = now + Duration::from_millis(entry.time_to_live_ms.into());
            let is_new = record.as_ref().is_some_and(|record| {
                self.state
                    .apply(&origin, entry.sequence, expires_at, record)
            });
            observe(|digest| {
                observe_origin(digest, &origin);
                digest.number(entry.sequence);
                digest.number(u64::from(entry.time_to_live_ms));
                digest.number(u64::from(entry.kind));
                digest.bytes(&entry.body);
                digest.number(u64::from(is_new));
            });
        }
        if has_new_entries {
            let stage = self
                .local
                .merge_stages(&format!("m{}", self.number), &self.state);
            observe(|digest| observe_stage(digest, stage.as_ref()));
        }
        observe(|digest| {
            digest.number(self.number as u64);
            digest.number(u64::from(self.replica.caught_up()));
            digest.time(self.replica.next_tick());
        });
    }

    fn observe_state(&self, now: Duration, digest: &mut Digest) {
        digest.number(self.number as u64);
        for (origin, log) in self.replica.logs() {
            observe_origin(digest, origin);
            digest.number(log.contiguous_through());
            digest.number(log.live_entries() as u64);
            digest.number(log.evicted_entries());
            log.iter(now).for_each(|entry| {
                digest.number(entry.sequence);
                digest.number(u64::from(entry.time_to_live_ms));
            });
        }
        digest.number(self.replica.bytes_sent());
        (1..8).for_each(|number| digest.number(self.replica.acknowledgement_count(number) as u64));
        for key in 0..KEYS {
            digest.number(
                self.state
                    .newest_build_served(now, key)
                    .map_or(u64::MAX, u64::from),
            );
        }
        for idempotency_key in 0..IDEMPOTENCY_KEYS {
            digest.number(u64::from(self.state.may_have_run(now, idempotency_key)));
        }
        for (name, stage) in self.state.stages() {
            digest.bytes(name.as_bytes());
            observe_stage(digest, Some(stage));
        }
        observe_stage(digest, self.local.stage());
        let (keys, requests) = self.state.key_and_request_counts();
        digest.number(keys as u64);
        digest.number(requests as u64);
        digest.number(self.state.dropped_records());
    }
}

impl SimulatedMember for Node {
    fn start(number: usize, start: u32, now: Duration, _ahead: f64) -> Self {
        let mut replica = Replica::new(
            now,
            replica_config(&format!("m{number}"), u64::from(start) + 1),
        );
        replica.set_peers((0..MEMBERS).map(|n| format!("m{n}")));
        let seed = SEED.with(|seed| *seed.borrow());
        let process_seed = seed << 32 | (number as u64) << 16 | u64::from(start);
        Self {
            number,
            replica,
            state: MergedState::default(),
            local: LocalState::new(now, true, FIRST_CAP),
            requests: Vec::new(),
            next_request: 0,
            next_action: now + ACTION_INTERVAL,
            rng: WyRand::new_seed(process_seed),
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        let Some((from, rest)) = datagram.split_at_checked(2) else {
            return;
        };
        let from = u16::from_le_bytes([from[0], from[1]]);
        match Packet::decode(rest) {
            Ok(packet) => self.replica.receive(now, &format!("m{from}"), packet),
            Err(error) => observe(|digest| digest.number(error_code(error))),
        }
        self.apply(now);
    }

    fn tick(&mut self, now: Duration) {
        while now >= self.next_action && now < secs(FAULT_SECONDS) {
            self.next_action += ACTION_INTERVAL;
            self.perform_action(now);
        }
        self.state.expire(now);
        self.replica.tick(now);
        self.apply(now);
    }

    fn next_deadline(&self) -> Duration {
        let has_actions_left = self.next_action < secs(FAULT_SECONDS);
        let action = if has_actions_left {
            self.next_action
        } else {
            Duration::MAX
        };
        self.replica.next_tick().min(action)
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, packet) = self.replica.take_packet()?;
        let bytes = packet.encode();
        observe(|digest| {
            digest.number(self.number as u64);
            digest.bytes(to.as_bytes());
            digest.bytes(&bytes);
        });
        let to = to.strip_prefix('m')?.parse().ok()?;
        Some((
            to,
            [&(self.number as u16).to_le_bytes()[..], &bytes].concat(),
        ))
    }

    fn leave(&mut self, _now: Duration) {}
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn replication() {
    for seed in 1..=SEEDS {
        SEED.with(|current| *current.borrow_mut() = seed);
        let mut script = random_script(seed, FAULT_SECONDS);
        script.seed = seed;
        script.conditions.corrupt = 0.005;
        assert_eq!(script.config_errors(), []);
        let mut simulation: Simulation<Node> = Simulation::new(&script, MEMBERS);
        for second in (5..=SECONDS).step_by(5) {
            simulation.run_until(Duration::from_secs(second));
            let now = simulation.now();
            let running = (0..MEMBERS).filter_map(|number| simulation.member(number));
            running.for_each(|node| observe(|digest| node.observe_state(now, digest)));
        }
        let Traffic {
            datagrams: packets,
            bytes,
        } = simulation.traffic();
        observe(|digest| digest.number(packets));
        observe(|digest| digest.number(bytes));
    }
    DIGEST.with(|digest| println!("digest replication {:016x}", digest.borrow().value()));
}
