//! Claims, and posters, that still ride on datagrams: each rides so many times, the least told first, of these the newest: what is said of
//! a suspect now must not wait behind all that a fleet tells at its start.

use crate::words::{MemberName, PublishedState, StatusUpdate};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Claims that wait at most; beyond, the one that was told most often goes.
const MAX_QUEUED: usize = 1024;

/// What rides: one of each name.
pub trait Broadcast: Clone {
    fn name(&self) -> &MemberName;
    /// Bytes in a frame, at most.
    fn encoded_size(&self) -> usize;
}

impl Broadcast for StatusUpdate {
    fn name(&self) -> &MemberName {
        &self.name
    }

    fn encoded_size(&self) -> usize {
        status_update_size(self)
    }
}

impl Broadcast for PublishedState {
    fn name(&self) -> &MemberName {
        &self.name
    }

    fn encoded_size(&self) -> usize {
        self.name.len() + 1 + 10 + 5 + 2 + self.bytes.len()
    }
}

pub struct BroadcastQueue<T> {
    /// By how often it was told and by age.
    order: BTreeSet<(u32, Reverse<u64>, MemberName)>,
    items: BTreeMap<MemberName, (u32, u64, T)>,
    next_sequence: u64,
}

impl<T> Default for BroadcastQueue<T> {
    fn default() -> Self {
        Self {
            order: BTreeSet::new(),
            items: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T: Broadcast> BroadcastQueue<T> {
    /// A newer one of one name takes the place of the older.
    pub fn enqueue(&mut self, claim: T) {
        let name = claim.name().clone();
        self.remove(&name);
        if self.items.len() >= MAX_QUEUED {
            let most = self.order.last().map(|(.., name)| name.clone());
            most.into_iter().for_each(|name| self.remove(&name));
        }
        self.next_sequence += 1;
        self.order
            .insert((0, Reverse(self.next_sequence), name.clone()));
        self.items.insert(name, (0, self.next_sequence, claim));
    }

    fn remove(&mut self, name: &MemberName) {
        if let Some((told, age, _)) = self.items.remove(name) {
            self.order.remove(&(told, Reverse(age), name.clone()));
        }
    }

    /// Claims that fit into so many bytes; one that has ridden `times` is dropped. `first` goes before all others, if
    /// there is a claim of it.
    pub fn take_batch(&mut self, room: usize, times: u32, first: Option<&MemberName>) -> Vec<T> {
        let mut left = room;
        let mut chosen: Vec<MemberName> = Vec::new();
        let ahead = first.filter(|name| self.items.contains_key(*name)).cloned();
        let rest = self
            .order
            .iter()
            .map(|(.., name)| name.clone())
            .filter(|name| ahead.as_ref() != Some(name));
        for name in ahead.clone().into_iter().chain(rest) {
            let size = self.items[&name].2.encoded_size();
            if size > left {
                break;
            }
            left -= size;
            chosen.push(name);
        }
        chosen
            .into_iter()
            .filter_map(|name| self.transmit(name, times))
            .collect()
    }

    fn transmit(&mut self, name: MemberName, times: u32) -> Option<T> {
        let (told, age, claim) = self.items.get(&name).cloned()?;
        self.remove(&name);
        if told + 1 < times {
            self.order.insert((told + 1, Reverse(age), name.clone()));
            self.items.insert(name, (told + 1, age, claim.clone()));
        }
        Some(claim)
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }
}

/// Bytes of a claim in a frame, at most.
pub fn status_update_size(claim: &StatusUpdate) -> usize {
    claim.name.len() + 1 + 10 + 5 + 1 + 1 + 16 + 3
}
