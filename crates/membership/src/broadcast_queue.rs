//! Queue of updates to gossip (infection-style dissemination, SWIM section 4.1).
//!
//! Each update is sent a limited number of times. The least often sent updates go first, and the
//! newest among them, so that a new suspicion does not wait behind the many updates of a starting
//! fleet. memberlist calls this the transmit-limited queue.

use crate::packet::Broadcast;
use crate::status::MemberName;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of queued updates; beyond it the update that was sent most often is dropped.
const MAX_QUEUED: usize = 1024;

struct QueuedUpdate<T> {
    transmits: u32,
    sequence: u64,
    payload: T,
}

/// Holds at most one update for each member.
pub(crate) struct BroadcastQueue<T> {
    /// Sorted by number of transmits, then newest first.
    order: BTreeSet<(u32, Reverse<u64>, MemberName)>,
    queued: BTreeMap<MemberName, QueuedUpdate<T>>,
    last_sequence: u64,
}

impl<T> Default for BroadcastQueue<T> {
    fn default() -> Self {
        Self {
            order: BTreeSet::new(),
            queued: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T: Broadcast> BroadcastQueue<T> {
    /// Queues an update, replacing an older update of the same member.
    pub(crate) fn enqueue(&mut self, payload: T) {
        let name = payload.name().clone();
        self.remove(&name);
        if self.queued.len() >= MAX_QUEUED {
            self.remove_most_sent();
        }
        self.last_sequence += 1;
        self.insert(
            name,
            QueuedUpdate {
                transmits: 0,
                sequence: self.last_sequence,
                payload,
            },
        );
    }

    /// Takes updates that fit into `room` bytes. The update of `prioritized`, if one is queued,
    /// precedes all others. An update that has now been sent `max_transmits` times leaves the
    /// queue.
    pub(crate) fn take_batch(
        &mut self,
        mut room: usize,
        max_transmits: u32,
        prioritized: Option<&MemberName>,
    ) -> Vec<T> {
        let prioritized = prioritized.filter(|name| self.queued.contains_key(*name));
        let others = self
            .order
            .iter()
            .map(|(_, _, name)| name)
            .filter(|name| Some(*name) != prioritized);
        let mut chosen: Vec<MemberName> = Vec::new();
        for name in prioritized.into_iter().chain(others) {
            let size = self.queued[name].payload.max_encoded_bytes();
            if size > room {
                break;
            }
            room -= size;
            chosen.push(name.clone());
        }
        chosen
            .into_iter()
            .filter_map(|name| self.transmit(name, max_transmits))
            .collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    fn transmit(&mut self, name: MemberName, max_transmits: u32) -> Option<T> {
        let mut entry = self.remove(&name)?;
        let payload = entry.payload.clone();
        entry.transmits += 1;
        if entry.transmits < max_transmits {
            self.insert(name, entry);
        }
        Some(payload)
    }

    fn insert(&mut self, name: MemberName, queued: QueuedUpdate<T>) {
        self.order
            .insert((queued.transmits, Reverse(queued.sequence), name.clone()));
        self.queued.insert(name, queued);
    }

    fn remove(&mut self, name: &MemberName) -> Option<QueuedUpdate<T>> {
        let removed = self.queued.remove(name)?;
        let position = (removed.transmits, Reverse(removed.sequence), name.clone());
        self.order.remove(&position);
        Some(removed)
    }

    fn remove_most_sent(&mut self) {
        let most_sent = self.order.last().map(|(_, _, name)| name.clone());
        if let Some(name) = most_sent {
            self.remove(&name);
        }
    }
}
