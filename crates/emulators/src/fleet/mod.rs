//! A fleet of sidecars under a script of faults: as members in simulated time (`Member`), and as processes with a relay
//! between them (`rig`). Both go by the same script.

mod crowd;
mod pages;
mod played;
mod relay;
mod rig;

pub use crowd::{crowd, Crowd, CrowdPlan};
pub use pages::{ask, call, listens};
pub use played::{Lifetime, ObservedMember, Played, Sample, WrongView};
pub use relay::{Relay, RelayTraffic};
pub use rig::{key_file, play, write_keys, Plan, RigError, CLOCK, FIRST_KEYS};

use limewing_fault_injection::{SimulatedMember, Simulation};
use limewing_membership::{Config, Key, MemberName, MemberStatus, Membership, MembershipEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const FIRST_PORT: u16 = 10_000;
/// The simulated time of day at the start, in milliseconds.
const TODAY: u64 = 1_800_000_000_000;
pub const PERIOD: Duration = Duration::from_secs(1);

fn at(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16))
}

fn keys(ids: &[u8]) -> Vec<Key> {
    ids.iter()
        .map(|id| Key {
            id: *id,
            secret: vec![6 + id; 32],
        })
        .collect()
}

/// A member in simulated time, with what it was told.
pub struct Member {
    pub peers: Membership,
    pub news: Vec<(Duration, MembershipEvent)>,
}

impl Member {
    fn gather(&mut self, now: Duration) {
        while let Some(news) = self.peers.take_event() {
            self.news.push((now, news));
        }
    }

    /// Whom it holds to be here, by number.
    pub fn here(&self) -> Vec<usize> {
        let alive = self
            .peers
            .active_members()
            .filter(|member| member.update.status <= MemberStatus::Suspect);
        let mut numbers: Vec<usize> = alive
            .map(|m| usize::from(m.update.address.port() - FIRST_PORT))
            .collect();
        numbers.sort_unstable();
        numbers
    }
}

impl SimulatedMember for Member {
    fn start(number: usize, start: u32, now: Duration, ahead: f64) -> Self {
        // Clocks differ by up to a second and a half, beside what the script says.
        let skew = ((number as u64 * 7919) % 1500)
            .saturating_add_signed((ahead * 1e3) as i64 + 90_000_000);
        let terms = Config {
            name: MemberName::try_from(format!("s{number}")).expect("a short name"),
            started_at_ms: TODAY - 90_000_000 + now.as_millis() as u64 + skew + u64::from(start),
            started_at: now,
            address: at(number),
            seed_addresses: (0..3).map(at).collect(),
            keys: keys(&[1]),
            probe_interval: PERIOD,
            bytes_per_second: 16_384,
            seed: (number as u64) << 32 | u64::from(start),
        };
        let peers = Membership::new(now, terms).expect("terms that can be used");
        Self {
            peers,
            news: Vec::new(),
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        // What is refused is counted there.
        let _ = self.peers.receive(now, datagram);
        self.gather(now);
    }

    fn tick(&mut self, now: Duration) {
        self.peers.tick(now);
        self.gather(now);
    }

    fn next_deadline(&self) -> Duration {
        self.peers.next_deadline()
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, bytes) = self.peers.take_datagram()?;
        Some((usize::from(to.port().wrapping_sub(FIRST_PORT)), bytes))
    }

    fn leave(&mut self, now: Duration) {
        self.peers.leave(now);
    }

    fn replace_keys(&mut self, ids: &[u8]) {
        self.peers
            .replace_keys(keys(ids))
            .expect("keys that can be used");
    }
}

/// How far the views of those that run are from the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Views {
    /// Pairs of one that runs and another that it does not hold to be here.
    pub missing: usize,
    /// Pairs of one that runs and another that it holds to be here and that does not run.
    pub ghosts: usize,
}

pub fn views(world: &Simulation<Member>) -> Views {
    let mut found = Views::default();
    let runs: Vec<usize> = (0..world.member_count())
        .filter(|n| world.member(*n).is_some())
        .collect();
    for number in &runs {
        let Some(member) = world.member(*number) else {
            continue;
        };
        let here = member.here();
        found.missing += runs
            .iter()
            .filter(|other| *other != number && here.binary_search(other).is_err())
            .count();
        found.ghosts += here
            .iter()
            .filter(|other| runs.binary_search(other).is_err())
            .count();
    }
    found
}

/// Times at which members were held to be dead, by number.
pub fn deaths(world: &Simulation<Member>) -> BTreeMap<String, Vec<(usize, Duration)>> {
    let mut found: BTreeMap<String, Vec<(usize, Duration)>> = BTreeMap::new();
    for number in 0..world.member_count() {
        for (when, news) in world
            .member(number)
            .into_iter()
            .flat_map(|member| &member.news)
        {
            if let MembershipEvent::Down(name) = news {
                found
                    .entry(name.to_string())
                    .or_default()
                    .push((number, *when));
            }
        }
    }
    found
}
