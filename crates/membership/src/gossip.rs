//! Claims, and posters, that still ride on datagrams: each rides so many times, the least told first, of these the newest: what is said of
//! a suspect now must not wait behind all that a fleet tells at its start.

use crate::words::{Claim, Name, Poster};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Claims that wait at most; beyond, the one that was told most often goes.
const MOST_WAITING: usize = 1024;

/// What rides: one of each name.
pub trait Rides: Clone {
    fn name(&self) -> &Name;
    /// Bytes in a frame, at most.
    fn size(&self) -> usize;
}

impl Rides for Claim {
    fn name(&self) -> &Name {
        &self.name
    }

    fn size(&self) -> usize {
        size(self)
    }
}

impl Rides for Poster {
    fn name(&self) -> &Name {
        &self.name
    }

    fn size(&self) -> usize {
        self.name.len() + 1 + 10 + 5 + 2 + self.bytes.len()
    }
}

pub struct Gossip<T> {
    /// By how often it was told and by age.
    order: BTreeSet<(u32, Reverse<u64>, Name)>,
    claims: BTreeMap<Name, (u32, u64, T)>,
    next: u64,
}

impl<T> Default for Gossip<T> {
    fn default() -> Self {
        Self {
            order: BTreeSet::new(),
            claims: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T: Rides> Gossip<T> {
    /// A newer one of one name takes the place of the older.
    pub fn put(&mut self, claim: T) {
        let name = claim.name().clone();
        self.drop(&name);
        if self.claims.len() >= MOST_WAITING {
            let most = self.order.last().map(|(.., name)| name.clone());
            most.into_iter().for_each(|name| self.drop(&name));
        }
        self.next += 1;
        self.order.insert((0, Reverse(self.next), name.clone()));
        self.claims.insert(name, (0, self.next, claim));
    }

    fn drop(&mut self, name: &Name) {
        if let Some((told, age, _)) = self.claims.remove(name) {
            self.order.remove(&(told, Reverse(age), name.clone()));
        }
    }

    /// Claims that fit into so many bytes; one that has ridden `times` is dropped. `first` goes before all others, if
    /// there is a claim of it.
    pub fn take(&mut self, room: usize, times: u32, first: Option<&Name>) -> Vec<T> {
        let mut left = room;
        let mut chosen: Vec<Name> = Vec::new();
        let ahead = first
            .filter(|name| self.claims.contains_key(*name))
            .cloned();
        let rest = self
            .order
            .iter()
            .map(|(.., name)| name.clone())
            .filter(|name| ahead.as_ref() != Some(name));
        for name in ahead.clone().into_iter().chain(rest) {
            let size = self.claims[&name].2.size();
            if size > left {
                break;
            }
            left -= size;
            chosen.push(name);
        }
        chosen
            .into_iter()
            .filter_map(|name| self.ride(name, times))
            .collect()
    }

    fn ride(&mut self, name: Name, times: u32) -> Option<T> {
        let (told, age, claim) = self.claims.get(&name).cloned()?;
        self.drop(&name);
        if told + 1 < times {
            self.order.insert((told + 1, Reverse(age), name.clone()));
            self.claims.insert(name, (told + 1, age, claim.clone()));
        }
        Some(claim)
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }
}

/// Bytes of a claim in a frame, at most.
pub fn size(claim: &Claim) -> usize {
    claim.name.len() + 1 + 10 + 5 + 1 + 1 + 16 + 3
}
