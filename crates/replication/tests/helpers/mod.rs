//! Replicas as members of a simulated fleet; what they put up, and what must hold.

#![allow(dead_code)]

use limewing_fault_injection::{Core, Fault, Line, Script, Step, Who};
use limewing_replication::*;
use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const BEAT: Duration = Duration::from_millis(50);
pub const LIFE: Duration = Duration::from_secs(25);

pub fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn terms(name: &str, start: u64) -> ReplicaConfig {
    let me = Origin {
        name: name.into(),
        incarnation: start,
    };
    ReplicaConfig {
        origin: me,
        gossip_interval: BEAT,
        gossip_fanout: 4,
        bytes_per_second: 32_768,
        seed: start ^ 77,
    }
}

/// One that puts up a fact now and then, and holds what it learned.
pub struct Node {
    pub replica: Replica,
    pub facts: MergedState,
    /// All that it was handed, by origin: each once.
    pub had: BTreeMap<Origin, BTreeSet<u64>>,
    pub twice: bool,
    pub caught_up: Option<Duration>,
    number: usize,
    pub started: Duration,
    next_put: Duration,
    chance: WyRand,
}

thread_local! {
    /// How many members there are, until when they put up facts, and how often each does; and when each entry was put up.
    pub static FLEET: RefCell<(usize, Duration, Duration)> = const { RefCell::new((0, Duration::ZERO, Duration::ZERO)) };
    pub static PUT: RefCell<BTreeMap<(Origin, u64), Duration>> = const { RefCell::new(BTreeMap::new()) };
}

impl Node {
    fn look(&mut self, now: Duration) {
        while let Some((origin, entry)) = self.replica.take_applied() {
            self.twice |= !self
                .had
                .entry(origin.clone())
                .or_default()
                .insert(entry.sequence);
            if let Some(fact) = Record::decode(entry.kind, &entry.body) {
                let until = now + Duration::from_millis(entry.time_to_live_ms.into());
                self.facts.apply(&origin, entry.sequence, until, &fact);
            }
        }
        if self.replica.caught_up() && self.caught_up.is_none() {
            self.caught_up = Some(now - self.started);
        }
    }
}

impl Core for Node {
    fn start(number: usize, start: u32, now: Duration, _ahead: f64) -> Self {
        let (members, _, every) = FLEET.with(|fleet| *fleet.borrow());
        let mut replica = Replica::new(now, terms(&format!("m{number}"), u64::from(start) + 1));
        replica.set_peers((0..members).map(|n| format!("m{n}")));
        let mut chance = WyRand::new_seed(number as u64 * 1009 + u64::from(start));
        let next_put = now + every.mul_f64(chance.generate_range(0..1000u32) as f64 / 1e3);
        let (facts, had) = (MergedState::default(), BTreeMap::new());
        Self {
            replica,
            facts,
            had,
            twice: false,
            caught_up: None,
            number,
            started: now,
            next_put,
            chance,
        }
    }

    fn hear(&mut self, now: Duration, datagram: &[u8]) {
        let Some((from, rest)) = datagram.split_at_checked(2) else {
            return;
        };
        let from = u16::from_le_bytes([from[0], from[1]]);
        if let Ok(packet) = Packet::decode(rest) {
            self.replica.receive(now, &format!("m{from}"), packet);
        }
        self.look(now);
    }

    fn tick(&mut self, now: Duration) {
        let (_, until, every) = FLEET.with(|fleet| *fleet.borrow());
        while now >= self.next_put && self.next_put < until {
            self.next_put += every;
            let fact = Record::KeyServed {
                key: self.chance.generate_range(0..5000u64),
                build: 2,
            };
            let no = self.replica.publish(now, &fact, LIFE);
            PUT.with(|put| {
                put.borrow_mut()
                    .insert((self.replica.origin().clone(), no), now)
            });
        }
        self.replica.tick(now);
        self.look(now);
    }

    fn next(&self) -> Duration {
        let until = FLEET.with(|fleet| fleet.borrow().1);
        let put = if self.next_put < until {
            self.next_put
        } else {
            Duration::MAX
        };
        self.replica.next_tick().min(put)
    }

    fn take(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, packet) = self.replica.take_packet()?;
        let to = to.strip_prefix('m')?.parse().ok()?;
        let bytes = packet.encode();
        assert!(bytes.len() <= MAX_PACKET_BYTES, "{} bytes", bytes.len());
        Some((
            to,
            [&(self.number as u16).to_le_bytes()[..], &bytes].concat(),
        ))
    }

    fn leave(&mut self, _now: Duration) {}
}

pub fn step(at: f64, does: Fault) -> Step {
    Step { at, does }
}

pub fn script(seconds: f64, loss: f64, steps: Vec<Step>) -> Script {
    let line = Line {
        loss,
        delay_ms: 1.0,
        jitter_ms: 5.0,
        duplicate: 0.02,
        ..Line::default()
    };
    Script {
        name: "drawn".into(),
        seed: 11,
        seconds,
        line,
        steps,
        clocks: Vec::new(),
    }
}

/// Faults drawn by a seed; from the last but five seconds on there are none, and all run.
pub fn drawn(seed: u64, seconds: f64) -> Script {
    let mut chance = WyRand::new_seed(seed);
    let mut share = move || (chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64;
    let (mut steps, mut at) = (Vec::new(), 1.0);
    while at < seconds - 6.0 {
        let from = share();
        let some = Who::Part(from * 0.7, (from * 0.7 + 0.05 + 0.3 * share()).min(1.0));
        match (share() * 6.0) as usize {
            0 | 1 => {
                steps.push(step(at, Fault::Kill(some.clone())));
                steps.push(step(at + 0.1 + share() * 2.0, Fault::Start(some)));
            }
            2 => steps.push(step(
                at,
                Fault::Cut {
                    from: some,
                    to: Who::All,
                    one_way: share() < 0.4,
                },
            )),
            3 => steps.push(step(at, Fault::Mend)),
            4 => {
                steps.push(step(at, Fault::Stop(some.clone())));
                steps.push(step(at + share() * 3.0, Fault::GoOn(some)));
            }
            _ => {
                let line = Line {
                    loss: 0.4,
                    delay_ms: 5.0,
                    jitter_ms: 300.0 * share(),
                    ..Line::default()
                };
                steps.push(step(
                    at,
                    Fault::Change {
                        from: some,
                        to: Who::All,
                        line,
                    },
                ));
            }
        }
        at += 0.3 + share() * 1.5;
    }
    let (end, sound) = (
        seconds - 5.0,
        Line {
            delay_ms: 1.0,
            jitter_ms: 5.0,
            ..Line::default()
        },
    );
    for does in [
        Fault::Mend,
        Fault::Change {
            from: Who::All,
            to: Who::All,
            line: sound,
        },
        Fault::GoOn(Who::All),
    ] {
        steps.push(step(end, does));
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    script(seconds, 0.02, steps)
}
