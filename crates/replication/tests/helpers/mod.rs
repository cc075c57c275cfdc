//! Replicas as members of a simulated fleet, and the fault scripts that they run under.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use limewing_fault_injection::{
    Fault, LinkConditions, Script, ScriptStep, Selector, SimulatedMember,
};
use limewing_replication::{
    MergedState, Origin, Packet, Record, Replica, ReplicaConfig, MAX_PACKET_BYTES,
};
use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
pub(crate) const TIME_TO_LIVE: Duration = Duration::from_secs(25);

pub(crate) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub(crate) fn replica_config(name: &str, incarnation: u64) -> ReplicaConfig {
    let origin = Origin {
        name: name.into(),
        incarnation,
    };
    ReplicaConfig {
        origin,
        gossip_interval: GOSSIP_INTERVAL,
        gossip_fanout: 4,
        bytes_per_second: 32_768,
        seed: incarnation ^ 77,
    }
}

/// A sidecar that periodically publishes a record and merges the records that it receives.
pub(crate) struct Node {
    pub(crate) replica: Replica,
    pub(crate) state: MergedState,
    /// Sequence numbers of all applied entries, by origin.
    pub(crate) received: BTreeMap<Origin, BTreeSet<u64>>,
    pub(crate) applied_twice: bool,
    pub(crate) caught_up: Option<Duration>,
    number: usize,
    pub(crate) started_at: Duration,
    next_publish: Duration,
    rng: WyRand,
}

thread_local! {
    /// Number of members, time at which they stop publishing, and interval at which each publishes.
    pub(crate) static FLEET_SETTINGS: RefCell<(usize, Duration, Duration)> = const { RefCell::new((0, Duration::ZERO, Duration::ZERO)) };
    /// Time at which each entry was published.
    pub(crate) static PUBLISHED: RefCell<BTreeMap<(Origin, u64), Duration>> = const { RefCell::new(BTreeMap::new()) };
}

impl Node {
    fn take_applied(&mut self, now: Duration) {
        while let Some((origin, entry)) = self.replica.take_applied() {
            self.applied_twice |= !self
                .received
                .entry(origin.clone())
                .or_default()
                .insert(entry.sequence);
            if let Some(record) = Record::decode(entry.kind, &entry.body) {
                let expires_at = now + Duration::from_millis(entry.time_to_live_ms.into());
                self.state
                    .apply(&origin, entry.sequence, expires_at, &record);
            }
        }
        if self.replica.caught_up() && self.caught_up.is_none() {
            self.caught_up = Some(now - self.started_at);
        }
    }
}

impl SimulatedMember for Node {
    fn start(number: usize, start: u32, now: Duration, _ahead: f64) -> Self {
        let (members, _, publish_interval) = FLEET_SETTINGS.with(|fleet| *fleet.borrow());
        let mut replica = Replica::new(
            now,
            replica_config(&format!("m{number}"), u64::from(start) + 1),
        );
        replica.set_peers((0..members).map(|n| format!("m{n}")));
        let mut rng = WyRand::new_seed(number as u64 * 1009 + u64::from(start));
        let next_publish =
            now + publish_interval.mul_f64(rng.generate_range(0..1000u32) as f64 / 1e3);
        let (state, received) = (MergedState::default(), BTreeMap::new());
        Self {
            replica,
            state,
            received,
            applied_twice: false,
            caught_up: None,
            number,
            started_at: now,
            next_publish,
            rng,
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        let Some((from, rest)) = datagram.split_at_checked(2) else {
            return;
        };
        let from = u16::from_le_bytes([from[0], from[1]]);
        if let Ok(packet) = Packet::decode(rest) {
            self.replica.receive(now, &format!("m{from}"), packet);
        }
        self.take_applied(now);
    }

    fn tick(&mut self, now: Duration) {
        let (_, publish_until, publish_interval) = FLEET_SETTINGS.with(|fleet| *fleet.borrow());
        while now >= self.next_publish && self.next_publish < publish_until {
            self.next_publish += publish_interval;
            let record = Record::KeyServed {
                key: self.rng.generate_range(0..5000u64),
                build: 2,
            };
            let sequence = self.replica.publish(now, &record, TIME_TO_LIVE);
            PUBLISHED.with(|published| {
                published
                    .borrow_mut()
                    .insert((self.replica.origin().clone(), sequence), now)
            });
        }
        self.replica.tick(now);
        self.take_applied(now);
    }

    fn next_deadline(&self) -> Duration {
        let publish_until = FLEET_SETTINGS.with(|fleet| fleet.borrow().1);
        let next_publish = if self.next_publish < publish_until {
            self.next_publish
        } else {
            Duration::MAX
        };
        self.replica.next_tick().min(next_publish)
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
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

pub(crate) fn step(at: f64, fault: Fault) -> ScriptStep {
    ScriptStep { at, fault }
}

pub(crate) fn script(seconds: f64, loss: f64, steps: Vec<ScriptStep>) -> Script {
    let conditions = LinkConditions {
        loss,
        delay_ms: 1.0,
        jitter_ms: 5.0,
        duplicate: 0.02,
        ..LinkConditions::default()
    };
    Script {
        name: "drawn".into(),
        seed: 11,
        seconds,
        conditions,
        steps,
        clock_offsets: Vec::new(),
    }
}

/// Draws random faults from a seed. In the last five seconds there are none and all members run.
pub(crate) fn random_script(seed: u64, seconds: f64) -> Script {
    let mut rng = WyRand::new_seed(seed);
    let mut fraction = move || (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64;
    let (mut steps, mut at) = (Vec::new(), 1.0);
    while at < seconds - 6.0 {
        let from = fraction();
        let selected =
            Selector::Fraction(from * 0.7, (from * 0.7 + 0.05 + 0.3 * fraction()).min(1.0));
        match (fraction() * 6.0) as usize {
            0 | 1 => {
                steps.push(step(at, Fault::Kill(selected.clone())));
                steps.push(step(at + 0.1 + fraction() * 2.0, Fault::Start(selected)));
            }
            2 => steps.push(step(
                at,
                Fault::Partition {
                    from: selected,
                    to: Selector::All,
                    one_way: fraction() < 0.4,
                },
            )),
            3 => steps.push(step(at, Fault::HealPartitions)),
            4 => {
                steps.push(step(at, Fault::Suspend(selected.clone())));
                steps.push(step(at + fraction() * 3.0, Fault::Resume(selected)));
            }
            _ => {
                let conditions = LinkConditions {
                    loss: 0.4,
                    delay_ms: 5.0,
                    jitter_ms: 300.0 * fraction(),
                    ..LinkConditions::default()
                };
                steps.push(step(
                    at,
                    Fault::ChangeLinks {
                        from: selected,
                        to: Selector::All,
                        conditions,
                    },
                ));
            }
        }
        at += 0.3 + fraction() * 1.5;
    }
    steps.extend(recovery(seconds - 5.0));
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    script(seconds, 0.02, steps)
}

/// Returns the steps that end all faults.
fn recovery(at: f64) -> Vec<ScriptStep> {
    let conditions = LinkConditions {
        delay_ms: 1.0,
        jitter_ms: 5.0,
        ..LinkConditions::default()
    };
    let restore_links = Fault::ChangeLinks {
        from: Selector::All,
        to: Selector::All,
        conditions,
    };
    vec![
        step(at, Fault::HealPartitions),
        step(at, restore_links),
        step(at, Fault::Resume(Selector::All)),
    ]
}
