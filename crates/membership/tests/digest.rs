//! Digest of all output of membership over twenty simulated fleets with faults: datagrams, events,
//! direct messages, rejections and the member tables. A refactoring that preserves the behaviour
//! preserves the digest.

use limewing_fault_injection::{
    ClockOffset, Fault, LinkConditions, Script, ScriptStep, Selector, SimulatedMember, Simulation,
    Traffic,
};
use limewing_membership::{
    Config, DatagramError, Key, MemberName, MemberStatus, Membership, MembershipEvent,
};
use limewing_test_support::digest::Digest;
use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: u64 = 20;
const MEMBERS: usize = 12;
const SECONDS: f64 = 60.0;
/// Time without faults at the end of a run.
const QUIET_SECONDS: f64 = 10.0;
const START_MS: u64 = 1_800_000_000_000;
const FIRST_PORT: u16 = 10_000;
/// Interval at which a member publishes state and sends a direct message.
const ACTION_INTERVAL: Duration = Duration::from_millis(700);

thread_local! {
    static DIGEST: RefCell<Digest> = const { RefCell::new(Digest::new()) };
    static SEED: RefCell<u64> = const { RefCell::new(0) };
}

fn observe(write: impl FnOnce(&mut Digest)) {
    DIGEST.with(|digest| write(&mut digest.borrow_mut()));
}

fn error_code(error: DatagramError) -> u64 {
    match error {
        DatagramError::Length => 1,
        DatagramError::Version => 2,
        DatagramError::UnknownKey => 3,
        DatagramError::WrongTag => 4,
        DatagramError::Stale => 5,
        DatagramError::Replayed => 6,
        DatagramError::Malformed => 7,
        DatagramError::EarlierProcess => 8,
        DatagramError::OwnName => 9,
    }
}

fn status_code(status: MemberStatus) -> u64 {
    match status {
        MemberStatus::Alive => 1,
        MemberStatus::Suspect => 2,
        MemberStatus::Dead => 3,
        MemberStatus::Left => 4,
    }
}

fn observe_event(digest: &mut Digest, event: &MembershipEvent) {
    let (code, name) = match event {
        MembershipEvent::Up(name) => (1, Some(name)),
        MembershipEvent::Suspected(name) => (2, Some(name)),
        MembershipEvent::Down(name) => (3, Some(name)),
        MembershipEvent::Left(name) => (4, Some(name)),
        MembershipEvent::Superseded => (5, None),
    };
    digest.number(code);
    digest.bytes(
        name.map(MemberName::to_string)
            .unwrap_or_default()
            .as_bytes(),
    );
}

fn key(id: u8) -> Key {
    Key {
        id,
        secret: vec![id; 32],
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16))
}

/// A member that periodically publishes state and sends a direct message.
struct Node {
    number: usize,
    membership: Membership,
    rng: WyRand,
    next_action: Duration,
}

impl Node {
    fn perform_action(&mut self, now: Duration) {
        let size = self.rng.generate_range(0..300usize);
        let bytes = vec![size as u8; size];
        let was_published = self.membership.publish(now, bytes.clone());
        let known: Vec<MemberName> = self
            .membership
            .known_members()
            .map(|member| member.update.name.clone())
            .collect();
        let mut was_sent = false;
        if !known.is_empty() {
            let to = self.rng.generate_range(0..known.len());
            was_sent = self.membership.send_direct(now, &known[to], bytes);
        }
        observe(|digest| {
            digest.number(u64::from(was_published));
            digest.number(u64::from(was_sent));
        });
    }

    fn observe_events(&mut self) {
        observe(|digest| {
            digest.number(self.number as u64);
            while let Some(event) = self.membership.take_event() {
                observe_event(digest, &event);
            }
            while let Some((from, bytes)) = self.membership.take_direct_message() {
                digest.bytes(from.to_string().as_bytes());
                digest.bytes(&bytes);
            }
            digest.time(self.membership.next_deadline());
        });
    }

    fn observe_table(&self, digest: &mut Digest) {
        digest.number(self.number as u64);
        for member in self.membership.known_members() {
            let update = &member.update;
            digest.bytes(update.name.to_string().as_bytes());
            digest.number(update.started_at_ms);
            digest.number(u64::from(update.incarnation));
            digest.number(status_code(update.status));
            digest.bytes(update.address.to_string().as_bytes());
            digest.time(member.status_since);
            if let Some((bytes, at)) = self.membership.published_by(&update.name) {
                digest.bytes(bytes);
                digest.time(at);
            }
        }
        digest.number(self.membership.active_members().count() as u64);
        digest.number(u64::from(self.membership.local_health()));
        digest.number(self.membership.bytes_sent());
        for (error, count) in self.membership.rejected_datagrams() {
            digest.number(error_code(*error));
            digest.number(*count);
        }
    }
}

impl SimulatedMember for Node {
    fn start(number: usize, start: u32, now: Duration, clock_ahead_s: f64) -> Self {
        let seed =
            SEED.with(|seed| *seed.borrow()) << 32 | (number as u64) << 16 | u64::from(start);
        let clock_ahead_ms = (clock_ahead_s * 1e3) as i64;
        let config = Config {
            name: MemberName::try_from(format!("s{number}")).expect("a valid name"),
            started_at_ms: (START_MS + now.as_millis() as u64)
                .saturating_add_signed(clock_ahead_ms),
            started_at: now,
            address: address(number),
            seed_addresses: vec![address(0), address(1)],
            keys: vec![key(1), key(2)],
            probe_interval: Duration::from_millis(500),
            // A quarter of the members have hardly enough bandwidth for their gossip.
            bytes_per_second: if number % 4 == 3 { 2_500 } else { 16_384 },
            seed,
        };
        let membership = Membership::new(now, config).expect("a valid configuration");
        let rng = WyRand::new_seed(seed ^ 0x5eed);
        Self {
            number,
            membership,
            rng,
            next_action: now + ACTION_INTERVAL,
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        let code = self
            .membership
            .receive(now, datagram)
            .map_or_else(error_code, |()| 0);
        observe(|digest| digest.number(code));
        self.observe_events();
    }

    fn tick(&mut self, now: Duration) {
        self.membership.tick(now);
        if now >= self.next_action {
            self.next_action = now + ACTION_INTERVAL;
            self.perform_action(now);
        }
        self.observe_events();
    }

    fn next_deadline(&self) -> Duration {
        self.membership.next_deadline().min(self.next_action)
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, bytes) = self.membership.take_datagram()?;
        observe(|digest| {
            digest.number(self.number as u64);
            digest.number(u64::from(to.port()));
            digest.bytes(&bytes);
        });
        Some((usize::from(to.port() - FIRST_PORT), bytes))
    }

    fn leave(&mut self, now: Duration) {
        self.membership.leave(now);
        self.observe_events();
    }

    fn replace_keys(&mut self, ids: &[u8]) {
        self.membership
            .replace_keys(ids.iter().copied().map(key).collect())
            .expect("valid keys");
    }
}

fn random_fraction(rng: &mut WyRand) -> f64 {
    (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

fn random_members(rng: &mut WyRand) -> Selector {
    let from = random_fraction(rng) * 0.7;
    Selector::Fraction(from, (from + 0.1 + 0.3 * random_fraction(rng)).min(1.0))
}

fn step(at: f64, fault: Fault) -> ScriptStep {
    ScriptStep { at, fault }
}

/// Draws a fault and, for a fault that does not last, the step that ends it.
fn draw_fault(rng: &mut WyRand, at: f64) -> Vec<ScriptStep> {
    let selected = random_members(rng);
    let end = at + 0.2 + random_fraction(rng) * 8.0;
    match rng.generate_range(0..9u32) {
        0 => vec![
            step(at, Fault::Kill(selected.clone())),
            step(end, Fault::Start(selected)),
        ],
        1 => vec![
            step(at, Fault::Leave(selected.clone())),
            step(end, Fault::Start(selected)),
        ],
        2 => vec![
            step(at, Fault::Suspend(selected.clone())),
            step(end, Fault::Resume(selected)),
        ],
        3 => {
            let one_way = random_fraction(rng) < 0.4;
            partition(at, end, selected, Selector::All, one_way)
        }
        4 => {
            let (first, second) = (Selector::Fraction(0.0, 0.5), Selector::Fraction(0.5, 1.0));
            partition(at, at + 9.0, first, second, false)
        }
        5 => {
            let jitter_ms = 900.0 * random_fraction(rng);
            vec![step(at, lossy_and_delayed(selected, jitter_ms))]
        }
        6 => vec![step(at, slow_and_corrupting(selected))],
        7 => {
            let ids = [vec![2, 1], vec![1, 2], vec![2]][rng.generate_range(0..3usize)].clone();
            vec![step(
                at,
                Fault::ReplaceKeys {
                    members: selected,
                    ids,
                },
            )]
        }
        _ => vec![step(
            at,
            Fault::SendNoise {
                to: selected,
                datagrams: 40,
            },
        )],
    }
}

fn partition(at: f64, end: f64, from: Selector, to: Selector, one_way: bool) -> Vec<ScriptStep> {
    vec![
        step(at, Fault::Partition { from, to, one_way }),
        step(end, Fault::HealPartitions),
    ]
}

fn lossy_and_delayed(from: Selector, jitter_ms: f64) -> Fault {
    Fault::ChangeLinks {
        from,
        to: Selector::All,
        conditions: LinkConditions {
            loss: 0.4,
            delay_ms: 5.0,
            jitter_ms,
            ..LinkConditions::default()
        },
    }
}

fn slow_and_corrupting(to: Selector) -> Fault {
    Fault::ChangeLinks {
        from: Selector::All,
        to,
        conditions: LinkConditions {
            bytes_per_second: 2_000.0,
            corrupt: 0.1,
            ..LinkConditions::default()
        },
    }
}

fn random_script(seed: u64) -> Script {
    let mut rng = WyRand::new_seed(seed);
    let mut steps = Vec::new();
    let mut at = 4.0;
    while at < SECONDS - QUIET_SECONDS - 9.0 {
        steps.extend(draw_fault(&mut rng, at));
        at += 0.5 + random_fraction(&mut rng) * 3.0;
    }
    let healthy = LinkConditions {
        delay_ms: 1.0,
        jitter_ms: 5.0,
        ..LinkConditions::default()
    };
    let recovery = [
        Fault::HealPartitions,
        Fault::ChangeLinks {
            from: Selector::All,
            to: Selector::All,
            conditions: healthy,
        },
        Fault::Resume(Selector::All),
    ];
    steps.extend(recovery.map(|fault| ScriptStep {
        at: SECONDS - QUIET_SECONDS,
        fault,
    }));
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    let conditions = LinkConditions {
        loss: 0.05,
        delay_ms: 1.0,
        jitter_ms: 40.0,
        duplicate: 0.03,
        corrupt: 0.01,
        ..LinkConditions::default()
    };
    let clock_offsets = vec![
        ClockOffset {
            members: Selector::Numbers(vec![5]),
            seconds: 20.0,
        },
        ClockOffset {
            members: Selector::Numbers(vec![6]),
            seconds: -45.0,
        },
    ];
    Script {
        name: "drawn".into(),
        seed,
        seconds: SECONDS,
        conditions,
        steps,
        clock_offsets,
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn membership() {
    for seed in 1..=SEEDS {
        SEED.with(|current| *current.borrow_mut() = seed);
        let script = random_script(seed);
        assert_eq!(script.config_errors(), []);
        let mut simulation: Simulation<Node> = Simulation::new(&script, MEMBERS);
        for second in (5..=SECONDS as u64).step_by(5) {
            simulation.run_until(Duration::from_secs(second));
            let running = (0..MEMBERS).filter_map(|number| simulation.member(number));
            running.for_each(|node| observe(|digest| node.observe_table(digest)));
        }
        let Traffic { datagrams, bytes } = simulation.traffic();
        observe(|digest| digest.number(datagrams));
        observe(|digest| digest.number(bytes));
    }
    DIGEST.with(|digest| println!("digest membership {:016x}", digest.borrow().value()));
}
