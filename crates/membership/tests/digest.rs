//! A digest of all that membership puts out over twenty simulated fleets with faults: datagrams,
//! events, direct messages, refusals and the member tables. A refactoring that keeps the behaviour
//! keeps the digest.

use limewing_fault_injection::{Ahead, Core, Fault, Line, Script, Step, Who, World};
use limewing_membership::{
    Config, DatagramError, Key, MemberName, MemberStatus, Membership, MembershipEvent,
};
use nanorand::{Rng, WyRand};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

const SEEDS: u64 = 20;
const MEMBERS: usize = 12;
const SECONDS: f64 = 60.0;
/// The last fault comes so long before the end.
const QUIET_SECONDS: f64 = 10.0;
const START_MS: u64 = 1_800_000_000_000;
const FIRST_PORT: u16 = 10_000;
/// A member publishes or sends something so often.
const ACTION_INTERVAL: Duration = Duration::from_millis(700);

/// 64-bit FNV-1a.
struct Digest(u64);

impl Digest {
    const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    fn time(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }

    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

thread_local! {
    static DIGEST: RefCell<Digest> = const { RefCell::new(Digest::new()) };
    static SEED: RefCell<u64> = const { RefCell::new(0) };
}

fn observe(write: impl FnOnce(&mut Digest)) {
    DIGEST.with(|digest| write(&mut digest.borrow_mut()));
}

fn refused_code(refused: DatagramError) -> u64 {
    match refused {
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

fn standing_code(standing: MemberStatus) -> u64 {
    match standing {
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

/// A member that now and then publishes state and sends a direct message.
struct Node {
    number: usize,
    peers: Membership,
    rng: WyRand,
    next_action: Duration,
}

impl Node {
    fn act(&mut self, now: Duration) {
        let size = self.rng.generate_range(0..300usize);
        let bytes = vec![size as u8; size];
        let published = self.peers.publish(now, bytes.clone());
        let all: Vec<MemberName> = self
            .peers
            .known_members()
            .map(|member| member.update.name.clone())
            .collect();
        let mut sent = false;
        if !all.is_empty() {
            let to = self.rng.generate_range(0..all.len());
            sent = self.peers.send_direct(now, &all[to], bytes);
        }
        observe(|digest| {
            digest.number(u64::from(published));
            digest.number(u64::from(sent));
        });
    }

    fn observe_news(&mut self) {
        observe(|digest| {
            digest.number(self.number as u64);
            while let Some(event) = self.peers.take_event() {
                observe_event(digest, &event);
            }
            while let Some((from, bytes)) = self.peers.take_direct_message() {
                digest.bytes(from.to_string().as_bytes());
                digest.bytes(&bytes);
            }
            digest.time(self.peers.next_deadline());
        });
    }

    fn observe_table(&self, digest: &mut Digest) {
        digest.number(self.number as u64);
        for member in self.peers.known_members() {
            let claim = &member.update;
            digest.bytes(claim.name.to_string().as_bytes());
            digest.number(claim.started_at_ms);
            digest.number(u64::from(claim.incarnation));
            digest.number(standing_code(claim.status));
            digest.bytes(claim.address.to_string().as_bytes());
            digest.time(member.status_since);
            if let Some((bytes, at)) = self.peers.published_by(&claim.name) {
                digest.bytes(bytes);
                digest.time(at);
            }
        }
        digest.number(self.peers.active_members().count() as u64);
        digest.number(u64::from(self.peers.local_health()));
        digest.number(self.peers.bytes_sent());
        for (refused, count) in self.peers.rejected_datagrams() {
            digest.number(refused_code(*refused));
            digest.number(*count);
        }
    }
}

impl Core for Node {
    fn start(number: usize, start: u32, now: Duration, ahead: f64) -> Self {
        let seed =
            SEED.with(|seed| *seed.borrow()) << 32 | (number as u64) << 16 | u64::from(start);
        let ahead_ms = (ahead * 1e3) as i64;
        let terms = Config {
            name: MemberName::try_from(format!("s{number}")).unwrap(),
            started_at_ms: (START_MS + now.as_millis() as u64).saturating_add_signed(ahead_ms),
            started_at: now,
            address: address(number),
            seed_addresses: vec![address(0), address(1)],
            keys: vec![key(1), key(2)],
            probe_interval: Duration::from_millis(500),
            // Some have hardly enough for what they have to say.
            bytes_per_second: if number % 4 == 3 { 2_500 } else { 16_384 },
            seed,
        };
        let peers = Membership::new(now, terms).unwrap();
        let rng = WyRand::new_seed(seed ^ 0x5eed);
        Self {
            number,
            peers,
            rng,
            next_action: now + ACTION_INTERVAL,
        }
    }

    fn hear(&mut self, now: Duration, datagram: &[u8]) {
        let code = self
            .peers
            .receive(now, datagram)
            .map_or_else(refused_code, |()| 0);
        observe(|digest| digest.number(code));
        self.observe_news();
    }

    fn tick(&mut self, now: Duration) {
        self.peers.tick(now);
        if now >= self.next_action {
            self.next_action = now + ACTION_INTERVAL;
            self.act(now);
        }
        self.observe_news();
    }

    fn next(&self) -> Duration {
        self.peers.next_deadline().min(self.next_action)
    }

    fn take(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, bytes) = self.peers.take_datagram()?;
        observe(|digest| {
            digest.number(self.number as u64);
            digest.number(u64::from(to.port()));
            digest.bytes(&bytes);
        });
        Some((usize::from(to.port() - FIRST_PORT), bytes))
    }

    fn leave(&mut self, now: Duration) {
        self.peers.leave(now);
        self.observe_news();
    }

    fn keys(&mut self, ids: &[u8]) {
        self.peers
            .replace_keys(ids.iter().copied().map(key).collect())
            .unwrap();
    }
}

fn share(rng: &mut WyRand) -> f64 {
    (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

fn some_members(rng: &mut WyRand) -> Who {
    let from = share(rng) * 0.7;
    Who::Part(from, (from + 0.1 + 0.3 * share(rng)).min(1.0))
}

/// A fault and, for those that do not last, the step that ends it.
fn draw_fault(rng: &mut WyRand, at: f64) -> Vec<Step> {
    let who = some_members(rng);
    let end = at + 0.2 + share(rng) * 8.0;
    let step = |at: f64, does: Fault| Step { at, does };
    match rng.generate_range(0..9u32) {
        0 => vec![
            step(at, Fault::Kill(who.clone())),
            step(end, Fault::Start(who)),
        ],
        1 => vec![
            step(at, Fault::Leave(who.clone())),
            step(end, Fault::Start(who)),
        ],
        2 => vec![
            step(at, Fault::Stop(who.clone())),
            step(end, Fault::GoOn(who)),
        ],
        3 => {
            let one_way = share(rng) < 0.4;
            vec![
                step(
                    at,
                    Fault::Cut {
                        from: who,
                        to: Who::All,
                        one_way,
                    },
                ),
                step(end, Fault::Mend),
            ]
        }
        4 => {
            let halves = (Who::Part(0.0, 0.5), Who::Part(0.5, 1.0));
            let cut = Fault::Cut {
                from: halves.0,
                to: halves.1,
                one_way: false,
            };
            vec![step(at, cut), step(at + 9.0, Fault::Mend)]
        }
        5 => {
            let jitter_ms = 900.0 * share(rng);
            let line = Line {
                loss: 0.4,
                delay_ms: 5.0,
                jitter_ms,
                ..Line::default()
            };
            vec![step(
                at,
                Fault::Change {
                    from: who,
                    to: Who::All,
                    line,
                },
            )]
        }
        6 => {
            let line = Line {
                bytes_per_s: 2_000.0,
                corrupt: 0.1,
                ..Line::default()
            };
            vec![step(
                at,
                Fault::Change {
                    from: Who::All,
                    to: who,
                    line,
                },
            )]
        }
        7 => {
            let ids = [vec![2, 1], vec![1, 2], vec![2]][rng.generate_range(0..3usize)].clone();
            vec![step(at, Fault::Keys { who, ids })]
        }
        _ => vec![step(
            at,
            Fault::Noise {
                to: who,
                datagrams: 40,
            },
        )],
    }
}

fn drawn_script(seed: u64) -> Script {
    let mut rng = WyRand::new_seed(seed);
    let mut steps = Vec::new();
    let mut at = 4.0;
    while at < SECONDS - QUIET_SECONDS - 9.0 {
        steps.extend(draw_fault(&mut rng, at));
        at += 0.5 + share(&mut rng) * 3.0;
    }
    let sound = Line {
        delay_ms: 1.0,
        jitter_ms: 5.0,
        ..Line::default()
    };
    let last = [
        Fault::Mend,
        Fault::Change {
            from: Who::All,
            to: Who::All,
            line: sound,
        },
        Fault::GoOn(Who::All),
    ];
    steps.extend(last.map(|does| Step {
        at: SECONDS - QUIET_SECONDS,
        does,
    }));
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    let line = Line {
        loss: 0.05,
        delay_ms: 1.0,
        jitter_ms: 40.0,
        duplicate: 0.03,
        corrupt: 0.01,
        ..Line::default()
    };
    let clocks = vec![
        Ahead {
            who: Who::Numbers(vec![5]),
            seconds: 20.0,
        },
        Ahead {
            who: Who::Numbers(vec![6]),
            seconds: -45.0,
        },
    ];
    Script {
        name: "drawn".into(),
        seed,
        seconds: SECONDS,
        line,
        steps,
        clocks,
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn membership() {
    for seed in 1..=SEEDS {
        SEED.with(|current| *current.borrow_mut() = seed);
        let script = drawn_script(seed);
        assert_eq!(script.misfits(), []);
        let mut world: World<Node> = World::new(&script, MEMBERS);
        for second in (5..=SECONDS as u64).step_by(5) {
            world.run_to(Duration::from_secs(second));
            let running = (0..MEMBERS).filter_map(|number| world.core(number));
            running.for_each(|node| observe(|digest| node.observe_table(digest)));
        }
        let (datagrams, bytes) = world.sent;
        observe(|digest| digest.number(datagrams));
        observe(|digest| digest.number(bytes));
    }
    DIGEST.with(|digest| println!("digest membership {:016x}", digest.borrow().0));
}
