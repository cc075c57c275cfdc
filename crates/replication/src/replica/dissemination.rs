//! Gossip of new entries: each replica relays an entry once, when it is new to it.

use super::{Replica, MAX_BATCH_BYTES, MAX_LOGS};
use crate::log::MAX_TOTAL_ENTRIES;
use crate::message::{Entry, Message, Origin, SequenceRange};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of new entries waiting to be gossiped. Beyond it the oldest are left to
/// anti-entropy.
const MAX_GOSSIP_QUEUE: usize = 4096;

impl Replica {
    pub(super) fn enqueue_gossip(&mut self, origin: Origin, sequence: u64) {
        if self.gossip_queue.len() >= MAX_GOSSIP_QUEUE {
            self.gossip_queue.pop_front();
        }
        self.gossip_queue.push_back((origin, sequence));
    }

    /// Sends the queued entries, grouped by origin, as far as the budget allows. The others stay
    /// queued.
    pub(super) fn gossip(&mut self, now: Duration) {
        if self.peers.is_empty() {
            return;
        }
        let mut by_origin: BTreeMap<Origin, VecDeque<u64>> = BTreeMap::new();
        for (origin, sequence) in self.gossip_queue.drain(..) {
            by_origin.entry(origin).or_default().push_back(sequence);
        }
        for (origin, mut sequences) in by_origin {
            while self.budget.allows_gossip() && !sequences.is_empty() {
                self.gossip_batch(now, &origin, &mut sequences);
            }
            let unsent = sequences
                .into_iter()
                .map(|sequence| (origin.clone(), sequence));
            self.gossip_queue.extend(unsent);
        }
    }

    /// Sends the first entries of one origin, as many as fit into one packet.
    fn gossip_batch(&mut self, now: Duration, origin: &Origin, sequences: &mut VecDeque<u64>) {
        let entries = self.take_batch(now, origin, sequences);
        if entries.is_empty() {
            return;
        }
        let fanout = self.fanout_for(origin);
        for peer in self.draw_peers(fanout, &origin.name) {
            let message = Message::Entries {
                origin: origin.clone(),
                range: None,
                entries: entries.clone(),
            };
            self.send(&peer, message);
        }
    }

    fn take_batch(
        &self,
        now: Duration,
        origin: &Origin,
        sequences: &mut VecDeque<u64>,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(sequence) = sequences.pop_front() {
            let log = self.logs.get(origin);
            let Some(entry) = log.and_then(|log| log.get(now, sequence)) else {
                // The entry expired while it was queued.
                continue;
            };
            if bytes + entry.max_encoded_bytes() > MAX_BATCH_BYTES {
                sequences.push_front(sequence);
                break;
            }
            bytes += entry.max_encoded_bytes();
            entries.push(entry);
        }
        entries
    }

    /// Returns the number of peers to send an entry to. In a small fleet the origin itself sends to
    /// all peers, and one relayed copy from each of them is enough to make up for loss.
    fn fanout_for(&self, origin: &Origin) -> usize {
        let is_small_fleet = self.peers.len() <= self.config.gossip_fanout * 2;
        if !is_small_fleet {
            self.config.gossip_fanout
        } else if *origin == self.config.origin {
            self.peers.len()
        } else {
            1
        }
    }

    /// Stores received entries and queues new ones for the host and for gossip.
    pub(super) fn apply_entries(
        &mut self,
        now: Duration,
        origin: &Origin,
        range: Option<SequenceRange>,
        entries: &[Entry],
    ) {
        // This process is the authority on its own log.
        let is_own = *origin == self.config.origin;
        let is_beyond_limit = self.logs.len() >= MAX_LOGS && !self.logs.contains_key(origin);
        if is_own || is_beyond_limit {
            return;
        }
        let entries_per_log = (MAX_TOTAL_ENTRIES / (self.logs.len() + 1)).max(1);
        let log = self.logs.entry(origin.clone()).or_default();
        let new_entries: Vec<Entry> = match range {
            Some(range) => log.insert_range(now, range, entries),
            None => entries
                .iter()
                .filter(|entry| log.insert(now, entry))
                .cloned()
                .collect(),
        };
        log.evict_beyond(entries_per_log);
        for entry in new_entries {
            self.enqueue_gossip(origin.clone(), entry.sequence);
            self.applied.push_back((origin.clone(), entry));
        }
    }
}
