//! Links between members. Each ordered pair of members has its own link; all links share one random number generator.

use crate::action::FaultAction;
use crate::script::{Fault, LinkConditions, Script};
use crate::selector::Selector;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An arriving copy of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Duration,
    /// Contents of the datagram.
    pub bytes: Vec<u8>,
}

/// One direction of the connection between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// A token bucket that holds at most the bytes of one second.
#[derive(Clone, Copy)]
struct ByteBudget {
    bytes: f64,
    updated_at: Duration,
}

struct DueFault {
    at: Duration,
    fault: Fault,
}

/// Links between members, subject to a script of faults.
pub struct FaultyNetwork {
    member_count: usize,
    default_conditions: LinkConditions,
    /// In ascending order of time.
    faults: Vec<DueFault>,
    next_fault: usize,
    partitioned_links: BTreeSet<Link>,
    overridden_conditions: BTreeMap<Link, LinkConditions>,
    /// Byte budgets of the links that have a rate limit.
    budgets: BTreeMap<Link, ByteBudget>,
    rng: WyRand,
}

impl FaultyNetwork {
    /// Creates the links between `member_count` members as of the script's start.
    pub fn new(script: &Script, member_count: usize) -> Self {
        let due_time = |at: f64| Duration::from_secs_f64(at.max(0.0));
        let mut faults: Vec<DueFault> = script
            .steps
            .iter()
            .map(|step| DueFault {
                at: due_time(step.at),
                fault: step.fault.clone(),
            })
            .collect();
        faults.sort_by_key(|due| due.at);
        Self {
            member_count,
            default_conditions: script.conditions,
            faults,
            next_fault: 0,
            partitioned_links: BTreeSet::new(),
            overridden_conditions: BTreeMap::new(),
            budgets: BTreeMap::new(),
            rng: WyRand::new_seed(script.seed),
        }
    }

    /// Returns when the next fault is due; `None` if none is left.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.faults.get(self.next_fault).map(|due| due.at)
    }

    /// Applies the faults that are due. Returns the actions that the members' host has to carry out.
    pub fn advance(&mut self, now: Duration) -> Vec<FaultAction> {
        let mut actions = Vec::new();
        while self.next_deadline().is_some_and(|at| at <= now) {
            let fault = self.faults[self.next_fault].fault.clone();
            self.next_fault += 1;
            self.apply_to_links(&fault);
            actions.extend(fault.actions(self.member_count));
        }
        actions
    }

    fn apply_to_links(&mut self, fault: &Fault) {
        match fault {
            Fault::Partition { from, to, one_way } => self.partition(from, to, *one_way),
            Fault::HealPartitions => self.partitioned_links.clear(),
            Fault::ChangeLinks {
                from,
                to,
                conditions,
            } => {
                for link in self.links(from, to) {
                    self.overridden_conditions.insert(link, *conditions);
                }
            }
            _ => {}
        }
    }

    fn partition(&mut self, from: &Selector, to: &Selector, one_way: bool) {
        self.partitioned_links.extend(self.links(from, to));
        if !one_way {
            self.partitioned_links.extend(self.links(to, from));
        }
    }

    fn links(&self, from: &Selector, to: &Selector) -> Vec<Link> {
        let receivers = to.resolve(self.member_count);
        let mut links = Vec::new();
        for sender in from.resolve(self.member_count) {
            links.extend(receivers.iter().map(|receiver| Link {
                from: sender,
                to: *receiver,
            }));
        }
        links
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive), uniformly distributed.
    fn random_fraction(&mut self) -> f64 {
        (self.rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Transmits a datagram. Returns the copies that arrive: none, one or two.
    pub fn transmit(
        &mut self,
        now: Duration,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Vec<Arrival> {
        let link = Link { from, to };
        let overridden = self.overridden_conditions.get(&link).copied();
        let conditions = overridden.unwrap_or(self.default_conditions);
        if self.partitioned_links.contains(&link) || self.random_fraction() < conditions.loss {
            return Vec::new();
        }
        if !self.take_budget(now, link, conditions.bytes_per_second, bytes.len()) {
            return Vec::new();
        }
        let duplicated = self.random_fraction() < conditions.duplicate;
        let copies = if duplicated { 2 } else { 1 };
        (0..copies)
            .map(|_| self.arrival(now, &conditions, bytes))
            .collect()
    }

    fn arrival(&mut self, now: Duration, conditions: &LinkConditions, bytes: &[u8]) -> Arrival {
        let delay_ms = conditions.delay_ms + conditions.jitter_ms * self.random_fraction();
        let mut bytes = bytes.to_vec();
        if self.random_fraction() < conditions.corrupt && !bytes.is_empty() {
            let bit = self.rng.generate_range(0..bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
        }
        Arrival {
            at: now + Duration::from_secs_f64(delay_ms / 1e3),
            bytes,
        }
    }

    /// Takes a datagram's bytes from the link's budget, and returns whether they fit. A byte rate of 0 means no limit.
    fn take_budget(
        &mut self,
        now: Duration,
        link: Link,
        bytes_per_second: f64,
        length: usize,
    ) -> bool {
        if bytes_per_second <= 0.0 {
            return true;
        }
        let budget = self.budgets.entry(link).or_insert(ByteBudget {
            bytes: bytes_per_second,
            updated_at: now,
        });
        let elapsed = now.saturating_sub(budget.updated_at).as_secs_f64();
        budget.bytes = (budget.bytes + bytes_per_second * elapsed).min(bytes_per_second);
        budget.updated_at = now;
        let fits = budget.bytes >= length as f64;
        if fits {
            budget.bytes -= length as f64;
        }
        fits
    }
}
