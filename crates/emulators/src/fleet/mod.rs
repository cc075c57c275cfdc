//! A fleet of sidecars under a script of faults: as members in simulated time ([`Member`]), and as processes with a relay between them
//! ([`run_script`]). Both use the same script. Also trials of coordination among decision engines ([`run_trial`]).

mod pages;
mod played;
mod relay;
mod rig;
mod trial;

pub use pages::{call_sidecar, fetch_datagram_address, fetch_fleet_page};
pub use played::{Lifetime, ObservedMember, RunResult, Sample, WrongView};
pub use relay::{Relay, RelayTraffic};
pub use rig::{
    key_file, run_script, write_keys, FleetRunError, RunPlan, CLOCK_OFFSET_VARIABLE,
    INITIAL_KEY_IDS,
};
pub use trial::{run_trial, PodOutage, PodRestart, TrialPartition, TrialPlan, TrialResult};

use limewing_fault_injection::{SimulatedMember, Simulation};
use limewing_membership::{Config, Key, MemberName, MemberStatus, Membership, MembershipEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The port of member 0; the other members use the ports that follow.
const FIRST_PORT: u16 = 10_000;
/// The simulated Unix time at the start.
const START_TIME_MS: u64 = 1_800_000_000_000;
/// Subtracted from the start time and added to each skew, so that a scripted offset below 0 never makes the unsigned skew negative.
const CLOCK_BASE_MS: u64 = 90_000_000;
/// Clocks differ by less than this, in addition to the offsets of the script.
const MAX_SKEW_MS: u64 = 1500;
/// Spreads the clock skews of the members.
const SKEW_FACTOR: u64 = 7919;
/// The interval between two probes of a member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16))
}

fn keys(ids: &[u8]) -> Vec<Key> {
    let key = |id: &u8| Key {
        id: *id,
        secret: vec![6 + id; 32],
    };
    ids.iter().map(key).collect()
}

/// A member in simulated time.
pub struct Member {
    /// The membership protocol of the member.
    pub membership: Membership,
    /// The events that it reported, with their times.
    pub events: Vec<(Duration, MembershipEvent)>,
}

impl Member {
    fn collect_events(&mut self, now: Duration) {
        while let Some(event) = self.membership.take_event() {
            self.events.push((now, event));
        }
    }

    /// The numbers of the members that it considers running.
    #[must_use]
    pub fn active_members(&self) -> Vec<usize> {
        let active = self
            .membership
            .active_members()
            .filter(|member| member.update.status <= MemberStatus::Suspect);
        let mut numbers: Vec<usize> = active
            .map(|member| usize::from(member.update.address.port() - FIRST_PORT))
            .collect();
        numbers.sort_unstable();
        numbers
    }
}

impl SimulatedMember for Member {
    fn start(number: usize, start: u32, now: Duration, ahead: f64) -> Self {
        let drawn_skew = (number as u64 * SKEW_FACTOR) % MAX_SKEW_MS;
        let scripted_skew = (ahead * 1e3) as i64 + CLOCK_BASE_MS as i64;
        let skew = drawn_skew.saturating_add_signed(scripted_skew);
        let config = Config {
            name: MemberName::try_from(format!("s{number}")).expect("the name is short enough"),
            started_at_ms: START_TIME_MS - CLOCK_BASE_MS
                + now.as_millis() as u64
                + skew
                + u64::from(start),
            started_at: now,
            address: address(number),
            seed_addresses: (0..3).map(address).collect(),
            keys: keys(&[1]),
            probe_interval: PROBE_INTERVAL,
            bytes_per_second: 16_384,
            seed: (number as u64) << 32 | u64::from(start),
        };
        let membership = Membership::new(now, config).expect("the configuration is valid");
        Self {
            membership,
            events: Vec::new(),
        }
    }

    fn receive(&mut self, now: Duration, datagram: &[u8]) {
        // The membership counts the datagrams that it rejects.
        let _ = self.membership.receive(now, datagram);
        self.collect_events(now);
    }

    fn tick(&mut self, now: Duration) {
        self.membership.tick(now);
        self.collect_events(now);
    }

    fn next_deadline(&self) -> Duration {
        self.membership.next_deadline()
    }

    fn take_datagram(&mut self) -> Option<(usize, Vec<u8>)> {
        let (to, bytes) = self.membership.take_datagram()?;
        Some((usize::from(to.port().wrapping_sub(FIRST_PORT)), bytes))
    }

    fn leave(&mut self, now: Duration) {
        self.membership.leave(now);
    }

    fn replace_keys(&mut self, ids: &[u8]) {
        self.membership
            .replace_keys(keys(ids))
            .expect("the keys are valid");
    }
}

/// How far the views of the running members differ from the actual state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Views {
    /// Pairs of running members of which the first does not consider the second to run.
    pub missing: usize,
    /// Pairs of a running member and one that it considers to run although that one does not.
    pub stale: usize,
}

/// Compares the views of all running members with the actual state.
#[must_use]
pub fn views(simulation: &Simulation<Member>) -> Views {
    let running: Vec<usize> = (0..simulation.member_count())
        .filter(|number| simulation.member(*number).is_some())
        .collect();
    let mut found = Views::default();
    for number in &running {
        let Some(member) = simulation.member(*number) else {
            continue;
        };
        let active = member.active_members();
        let missing = running
            .iter()
            .filter(|other| *other != number && active.binary_search(other).is_err());
        found.missing += missing.count();
        let stale = active
            .iter()
            .filter(|other| running.binary_search(other).is_err());
        found.stale += stale.count();
    }
    found
}

/// For the name of each member that was declared dead: the numbers of those that declared it, with the times.
#[must_use]
pub fn deaths(simulation: &Simulation<Member>) -> BTreeMap<String, Vec<(usize, Duration)>> {
    let mut found: BTreeMap<String, Vec<(usize, Duration)>> = BTreeMap::new();
    for number in 0..simulation.member_count() {
        let Some(member) = simulation.member(number) else {
            continue;
        };
        for (at, event) in &member.events {
            if let MembershipEvent::Down(name) = event {
                let deaths = found.entry(name.to_string()).or_default();
                deaths.push((number, *at));
            }
        }
    }
    found
}
