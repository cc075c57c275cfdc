//! Random interleavings of events among three replicas that catch up with each other. The checks
//! must find deliberately injected faults.

mod helpers;

use helpers::{replica_config, secs};
use limewing_replication::{Message, Origin, Packet, Record, Replica};
use nanorand::{Rng, WyRand};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Ranges claim to be complete from the beginning regardless of earlier losses.
    ClaimsCompleteness,
    /// An entry counts as applied a second time.
    AppliesTwice,
    /// A restarted replica reuses its incarnation.
    ReusesIncarnation,
}

#[derive(Clone)]
struct Simulation {
    now: Duration,
    nodes: Vec<(Replica, BTreeSet<(Origin, u64)>)>,
    /// Sender, receiver and packet.
    in_transit: Vec<(usize, usize, Packet)>,
    published: BTreeMap<(Origin, u64), (Duration, u64)>,
    incarnations: u64,
    injected: InjectedFault,
}

const NAMES: [&str; 3] = ["a", "b", "c"];
const TIME_TO_LIVE: Duration = Duration::from_secs(3);

impl Simulation {
    fn new(injected: InjectedFault) -> Self {
        let node = |name: &&str| (Self::replica(name, 1, secs(0.0)), BTreeSet::new());
        let nodes = NAMES.iter().map(node).collect();
        Self {
            now: secs(0.0),
            nodes,
            in_transit: Vec::new(),
            published: BTreeMap::new(),
            incarnations: 1,
            injected,
        }
    }

    fn replica(name: &str, incarnation: u64, now: Duration) -> Replica {
        let mut replica = Replica::new(now, replica_config(name, incarnation));
        replica.set_peers(NAMES.iter().map(|name| (*name).to_owned()));
        replica
    }

    /// Performs one random event and returns the violated property, if any.
    fn step(&mut self, rng: &mut WyRand) -> Option<String> {
        let node = rng.generate_range(0..3usize);
        match rng.generate_range(0..100u32) {
            0..30 => {
                self.now += secs(0.05);
                self.nodes[node].0.tick(self.now);
            }
            30..40 if self.published.len() < 12 => {
                if let Some(violation) = self.publish(node) {
                    return Some(violation);
                }
            }
            40..50 if !self.in_transit.is_empty() => {
                let index = rng.generate_range(0..self.in_transit.len());
                drop(self.in_transit.swap_remove(index));
            }
            50..52 => self.now += secs(1.0),
            52..54 => self.restart(node),
            _ if !self.in_transit.is_empty() => self.deliver(rng),
            _ => {}
        }
        if let Some(violation) = self.collect() {
            return Some(violation);
        }
        self.in_transit.truncate(30);
        self.find_violation()
    }

    fn publish(&mut self, node: usize) -> Option<String> {
        let count = self.published.len() as u64;
        let record = Record::KeyServed {
            key: count,
            build: 2,
        };
        let replica = &mut self.nodes[node].0;
        let sequence = replica.publish(self.now, &record, TIME_TO_LIVE);
        let entry_id = (replica.origin().clone(), sequence);
        let earlier = self.published.insert(entry_id, (self.now, count))?;
        Some(format!(
            "{sequence} of {:?} was published twice: {earlier:?}",
            replica.origin()
        ))
    }

    fn restart(&mut self, node: usize) {
        self.incarnations += u64::from(self.injected != InjectedFault::ReusesIncarnation);
        let replica = Self::replica(NAMES[node], self.incarnations, self.now);
        self.nodes[node] = (replica, BTreeSet::new());
    }

    /// Delivers a random packet. One in four stays in transit and is delivered again.
    fn deliver(&mut self, rng: &mut WyRand) {
        let index = rng.generate_range(0..self.in_transit.len());
        let (from, to, mut packet) = self.in_transit.swap_remove(index);
        if rng.generate_range(0..4u32) == 0 {
            self.in_transit.push((from, to, packet.clone()));
        }
        if self.injected == InjectedFault::ClaimsCompleteness {
            if let Message::Entries {
                range: Some(range), ..
            } = &mut packet.message
            {
                range.after = 0;
            }
        }
        self.nodes[to].0.receive(self.now, NAMES[from], packet);
    }

    /// Takes the packets that the replicas send and the entries that they have applied.
    fn collect(&mut self) -> Option<String> {
        for (from, (replica, received)) in self.nodes.iter_mut().enumerate() {
            while let Some((to, packet)) = replica.take_packet() {
                let to = NAMES.iter().position(|name| **name == to);
                let to = to.expect("a packet addressed to one of the three replicas");
                self.in_transit.push((from, to, packet));
            }
            while let Some((origin, entry)) = replica.take_applied() {
                let is_new = received.insert((origin.clone(), entry.sequence));
                let is_injected =
                    self.injected == InjectedFault::AppliesTwice && entry.sequence == 2;
                if !is_new || is_injected {
                    return Some(format!(
                        "{} of {origin:?} was applied twice",
                        entry.sequence
                    ));
                }
            }
        }
        None
    }

    /// Checks that a log that is contiguous through a number has received all entries through it,
    /// except expired ones.
    fn find_violation(&self) -> Option<String> {
        for (number, (replica, received)) in self.nodes.iter().enumerate() {
            for (origin, log) in replica
                .logs()
                .filter(|(origin, _)| *origin != replica.origin())
            {
                for sequence in 1..=log.contiguous_through() {
                    let published_at = self
                        .published
                        .get(&(origin.clone(), sequence))
                        .map(|(at, _)| *at);
                    let is_expired = published_at.is_none_or(|at| self.now >= at + TIME_TO_LIVE);
                    if !is_expired && !received.contains(&(origin.clone(), sequence)) {
                        return Some(format!(
                            "{} is contiguous through {} of {origin:?} but lacks {sequence}",
                            NAMES[number],
                            log.contiguous_through()
                        ));
                    }
                }
            }
        }
        None
    }
}

/// Explores random interleavings of ticks, publications, losses, duplicates, restarts and passing
/// time. Returns the first violation with its seed and step.
fn explore(injected: InjectedFault, runs: u64) -> Option<(String, u64, usize)> {
    (0..runs).find_map(|seed| {
        let (mut simulation, mut rng) = (Simulation::new(injected), WyRand::new_seed(seed));
        (0..300).find_map(|step_number| {
            simulation
                .step(&mut rng)
                .map(|violation| (violation, seed, step_number))
        })
    })
}

#[test]
fn three_replicas_catch_up_under_any_interleaving() {
    let violation = explore(InjectedFault::None, 1500);
    assert!(violation.is_none(), "{violation:?}");
}

#[rstest]
#[case::claims_completeness(InjectedFault::ClaimsCompleteness)]
#[case::applies_twice(InjectedFault::AppliesTwice)]
#[case::reuses_incarnation(InjectedFault::ReusesIncarnation)]
fn exploration_finds_injected_faults(#[case] injected: InjectedFault) {
    let found = explore(injected, 1500).expect("no run out of 1500 found the injected fault");
    println!("{injected:?}: {found:?}");
}
