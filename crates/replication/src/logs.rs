//! A copy of what one origin put up.

use crate::words::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Entries of one origin that live at one time, at most: beyond, the oldest are given up, and counted. Fewer where there are many
/// origins: of all together a copy holds `MOST_OF_ALL`.
pub const MAX_LOG_ENTRIES: usize = 50_000;
pub const MAX_TOTAL_ENTRIES: usize = 400_000;
/// Single entries beyond the whole part that are known, at most: others are taken again when the gap is closed.
const MAX_OUT_OF_ORDER: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredEntry {
    expires_at: Duration,
    kind: u8,
    body: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// All up to here was had, or is over.
    contiguous_through: u64,
    out_of_order: BTreeSet<u64>,
    entries: BTreeMap<u64, StoredEntry>,
    /// By when each is over.
    expiries: BTreeSet<(Duration, u64)>,
    evicted: u64,
}

impl Log {
    pub fn contiguous_through(&self) -> u64 {
        self.contiguous_through
    }

    pub fn live_entries(&self) -> usize {
        self.entries.len()
    }

    /// Entries that were given up for want of room.
    pub fn evicted_entries(&self) -> u64 {
        self.evicted
    }

    /// Takes an entry in; false if it was had before, or can't be told from one that was.
    pub fn insert(&mut self, now: Duration, entry: &Entry) -> bool {
        let room = entry.sequence <= self.contiguous_through + 1
            || self.out_of_order.len() < MAX_OUT_OF_ORDER;
        if self.contains(entry.sequence) || !room {
            return false;
        }
        self.out_of_order.insert(entry.sequence);
        self.advance_contiguous();
        self.store(now, entry)
    }

    /// Takes in all that another copy has after one number and up to another; those that are new are told.
    pub fn insert_range(
        &mut self,
        now: Duration,
        (after, upto): (u64, u64),
        entries: &[Entry],
    ) -> Vec<Entry> {
        if after > self.contiguous_through {
            // What is between was lost: these alone, so far.
            return entries
                .iter()
                .filter(|entry| self.insert(now, entry))
                .cloned()
                .collect();
        }
        let fresh: Vec<Entry> = entries
            .iter()
            .filter(|entry| !self.contains(entry.sequence))
            .cloned()
            .collect();
        self.contiguous_through = self.contiguous_through.max(upto);
        self.advance_contiguous();
        fresh
            .into_iter()
            .filter(|entry| self.store(now, entry))
            .collect()
    }

    fn contains(&self, no: u64) -> bool {
        no <= self.contiguous_through || self.out_of_order.contains(&no)
    }

    fn store(&mut self, now: Duration, entry: &Entry) -> bool {
        if entry.time_to_live_ms == 0 {
            return false;
        }
        let until = now + Duration::from_millis(entry.time_to_live_ms.into());
        let held = StoredEntry {
            expires_at: until,
            kind: entry.kind,
            body: entry.body.clone(),
        };
        if self.entries.insert(entry.sequence, held).is_some() {
            return false;
        }
        self.expiries.insert((until, entry.sequence));
        self.evict_beyond(MAX_LOG_ENTRIES);
        true
    }

    /// Gives up the oldest beyond so many.
    pub fn evict_beyond(&mut self, most: usize) {
        while self.entries.len() > most {
            let Some((no, held)) = self.entries.pop_first() else {
                return;
            };
            self.expiries.remove(&(held.expires_at, no));
            self.evicted += 1;
        }
    }

    fn advance_contiguous(&mut self) {
        while self
            .out_of_order
            .first()
            .is_some_and(|no| *no <= self.contiguous_through + 1)
        {
            self.contiguous_through = self
                .contiguous_through
                .max(self.out_of_order.pop_first().unwrap_or_default());
        }
    }

    /// Gives up what is over.
    pub fn expire(&mut self, now: Duration) {
        while let Some((until, no)) = self
            .expiries
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.expiries.remove(&(until, no));
            self.entries.remove(&no);
        }
    }

    pub fn get(&self, now: Duration, no: u64) -> Option<Entry> {
        let held = self.entries.get(&no)?;
        // Never longer than it was: what is left is rounded down.
        let left = held.expires_at.checked_sub(now)?.as_millis() as u32;
        Some(Entry {
            sequence: no,
            time_to_live_ms: left,
            kind: held.kind,
            body: held.body.clone(),
        })
    }

    /// Living entries from one on, of so many bytes together, at least one if there is one.
    pub fn entries_from(&self, now: Duration, from: u64, bytes: usize) -> Vec<Entry> {
        let (mut some, mut size) = (Vec::new(), 0);
        for no in self.entries.range(from..).map(|(no, _)| *no) {
            let Some(entry) = self.get(now, no) else {
                continue;
            };
            size += entry.max_encoded_bytes();
            if size > bytes && !some.is_empty() {
                break;
            }
            some.push(entry);
        }
        some
    }

    /// Whether an entry lives behind one and up to another.
    pub fn has_entry_between(&self, no: u64, upto: u64) -> bool {
        no < upto && self.entries.range(no + 1..=upto).next().is_some()
    }

    pub fn iter(&self, now: Duration) -> impl Iterator<Item = Entry> + '_ {
        self.entries.keys().filter_map(move |no| self.get(now, *no))
    }
}
