//! Local replica of one origin's entries.

use crate::message::{Entry, SequenceRange};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of stored entries of one origin, which bounds memory. Beyond it the oldest are
/// evicted and counted. With many origins the origin's share of [`MAX_TOTAL_ENTRIES`] is the lower
/// limit.
pub const MAX_LOG_ENTRIES: usize = 50_000;
/// Maximum number of stored entries of all origins together.
pub const MAX_TOTAL_ENTRIES: usize = 400_000;
/// Maximum number of sequence numbers remembered beyond the contiguous part. Further entries are
/// applied once the gap is closed.
const MAX_OUT_OF_ORDER: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredEntry {
    expires_at: Duration,
    kind: u8,
    body: Vec<u8>,
}

/// Entries of one origin that were received and have not expired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    contiguous_through: u64,
    /// Received sequence numbers beyond the contiguous part.
    out_of_order: BTreeSet<u64>,
    entries: BTreeMap<u64, StoredEntry>,
    /// Expiry time and sequence number of each stored entry.
    expiries: BTreeSet<(Duration, u64)>,
    evicted: u64,
}

impl Log {
    /// Returns the sequence number through which all entries were received or have expired.
    pub fn contiguous_through(&self) -> u64 {
        self.contiguous_through
    }

    /// Returns the number of stored entries.
    pub fn live_entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of entries evicted before they expired.
    pub fn evicted_entries(&self) -> u64 {
        self.evicted
    }

    /// Stores an entry. Returns false if it was received before, or cannot be distinguished from
    /// one that was.
    pub fn insert(&mut self, now: Duration, entry: &Entry) -> bool {
        let has_room = entry.sequence <= self.contiguous_through + 1
            || self.out_of_order.len() < MAX_OUT_OF_ORDER;
        if self.contains(entry.sequence) || !has_room {
            return false;
        }
        self.out_of_order.insert(entry.sequence);
        self.advance_contiguous();
        self.store(now, entry)
    }

    /// Stores all entries that another replica has in a range, and returns the new ones.
    pub fn insert_range(
        &mut self,
        now: Duration,
        range: SequenceRange,
        entries: &[Entry],
    ) -> Vec<Entry> {
        if range.after > self.contiguous_through {
            // A packet before this range was lost, so the range does not extend the contiguous
            // part.
            return entries
                .iter()
                .filter(|entry| self.insert(now, entry))
                .cloned()
                .collect();
        }
        let unknown: Vec<Entry> = entries
            .iter()
            .filter(|entry| !self.contains(entry.sequence))
            .cloned()
            .collect();
        self.contiguous_through = self.contiguous_through.max(range.through);
        self.advance_contiguous();
        unknown
            .into_iter()
            .filter(|entry| self.store(now, entry))
            .collect()
    }

    fn contains(&self, sequence: u64) -> bool {
        sequence <= self.contiguous_through || self.out_of_order.contains(&sequence)
    }

    fn store(&mut self, now: Duration, entry: &Entry) -> bool {
        if entry.time_to_live_ms == 0 {
            return false;
        }
        let expires_at = now + Duration::from_millis(entry.time_to_live_ms.into());
        let stored = StoredEntry {
            expires_at,
            kind: entry.kind,
            body: entry.body.clone(),
        };
        if self.entries.insert(entry.sequence, stored).is_some() {
            return false;
        }
        self.expiries.insert((expires_at, entry.sequence));
        self.evict_beyond(MAX_LOG_ENTRIES);
        true
    }

    /// Evicts the oldest entries until at most `limit` are stored.
    pub(crate) fn evict_beyond(&mut self, limit: usize) {
        while self.entries.len() > limit {
            let Some((sequence, stored)) = self.entries.pop_first() else {
                return;
            };
            self.expiries.remove(&(stored.expires_at, sequence));
            self.evicted += 1;
        }
    }

    fn advance_contiguous(&mut self) {
        while let Some(sequence) = self.out_of_order.first().copied() {
            if sequence > self.contiguous_through + 1 {
                return;
            }
            self.out_of_order.remove(&sequence);
            self.contiguous_through = self.contiguous_through.max(sequence);
        }
    }

    /// Removes expired entries.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((expires_at, sequence)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            self.expiries.remove(&(expires_at, sequence));
            self.entries.remove(&sequence);
        }
    }

    /// Returns an entry with its remaining time to live, rounded down so that relaying never
    /// extends it.
    pub(crate) fn get(&self, now: Duration, sequence: u64) -> Option<Entry> {
        let stored = self.entries.get(&sequence)?;
        let time_to_live_ms = stored.expires_at.checked_sub(now)?.as_millis() as u32;
        Some(Entry {
            sequence,
            time_to_live_ms,
            kind: stored.kind,
            body: stored.body.clone(),
        })
    }

    /// Returns entries starting at a sequence number, with at most `max_bytes` in total but at
    /// least one entry if there is any.
    pub(crate) fn entries_from(&self, now: Duration, first: u64, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for sequence in self.entries.range(first..).map(|(sequence, _)| *sequence) {
            let Some(entry) = self.get(now, sequence) else {
                continue;
            };
            bytes += entry.max_encoded_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry);
        }
        entries
    }

    /// Returns whether any entry in a range is stored.
    pub(crate) fn has_entry_in(&self, range: SequenceRange) -> bool {
        range.after < range.through
            && self
                .entries
                .range(range.after + 1..=range.through)
                .next()
                .is_some()
    }

    /// Returns all stored entries, ordered by sequence number.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = Entry> + '_ {
        self.entries
            .keys()
            .filter_map(move |sequence| self.get(now, *sequence))
    }
}
