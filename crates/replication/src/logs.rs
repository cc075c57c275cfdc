//! A copy of what one origin put up.

use crate::words::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Entries of one origin that live at one time, at most: beyond, the oldest are given up, and counted. Fewer where there are many
/// origins: of all together a copy holds `MOST_OF_ALL`.
pub const MOST_ENTRIES: usize = 50_000;
pub const MOST_OF_ALL: usize = 400_000;
/// Single entries beyond the whole part that are known, at most: others are taken again when the gap is closed.
const MOST_BEYOND: usize = 4096;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    until: Duration,
    kind: u8,
    body: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// All up to here was had, or is over.
    upto: u64,
    beyond: BTreeSet<u64>,
    live: BTreeMap<u64, Held>,
    /// By when each is over.
    ends: BTreeSet<(Duration, u64)>,
    given_up: u64,
}

impl Log {
    pub fn upto(&self) -> u64 {
        self.upto
    }

    pub fn live(&self) -> usize {
        self.live.len()
    }

    /// Entries that were given up for want of room.
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// Takes an entry in; false if it was had before, or can't be told from one that was.
    pub fn take(&mut self, now: Duration, entry: &Entry) -> bool {
        let room = entry.no <= self.upto + 1 || self.beyond.len() < MOST_BEYOND;
        if self.knows(entry.no) || !room {
            return false;
        }
        self.beyond.insert(entry.no);
        self.close_up();
        self.hold(now, entry)
    }

    /// Takes in all that another copy has after one number and up to another; those that are new are told.
    pub fn take_all(
        &mut self,
        now: Duration,
        (after, upto): (u64, u64),
        entries: &[Entry],
    ) -> Vec<Entry> {
        if after > self.upto {
            // What is between was lost: these alone, so far.
            return entries
                .iter()
                .filter(|entry| self.take(now, entry))
                .cloned()
                .collect();
        }
        let fresh: Vec<Entry> = entries
            .iter()
            .filter(|entry| !self.knows(entry.no))
            .cloned()
            .collect();
        self.upto = self.upto.max(upto);
        self.close_up();
        fresh
            .into_iter()
            .filter(|entry| self.hold(now, entry))
            .collect()
    }

    fn knows(&self, no: u64) -> bool {
        no <= self.upto || self.beyond.contains(&no)
    }

    fn hold(&mut self, now: Duration, entry: &Entry) -> bool {
        if entry.left == 0 {
            return false;
        }
        let until = now + Duration::from_millis(entry.left.into());
        let held = Held {
            until,
            kind: entry.kind,
            body: entry.body.clone(),
        };
        if self.live.insert(entry.no, held).is_some() {
            return false;
        }
        self.ends.insert((until, entry.no));
        self.keep_most(MOST_ENTRIES);
        true
    }

    /// Gives up the oldest beyond so many.
    pub fn keep_most(&mut self, most: usize) {
        while self.live.len() > most {
            let Some((no, held)) = self.live.pop_first() else {
                return;
            };
            self.ends.remove(&(held.until, no));
            self.given_up += 1;
        }
    }

    fn close_up(&mut self) {
        while self.beyond.first().is_some_and(|no| *no <= self.upto + 1) {
            self.upto = self.upto.max(self.beyond.pop_first().unwrap_or_default());
        }
    }

    /// Gives up what is over.
    pub fn forget(&mut self, now: Duration) {
        while let Some((until, no)) = self
            .ends
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.ends.remove(&(until, no));
            self.live.remove(&no);
        }
    }

    pub fn get(&self, now: Duration, no: u64) -> Option<Entry> {
        let held = self.live.get(&no)?;
        // Never longer than it was: what is left is rounded down.
        let left = held.until.checked_sub(now)?.as_millis() as u32;
        Some(Entry {
            no,
            left,
            kind: held.kind,
            body: held.body.clone(),
        })
    }

    /// Living entries from one on, of so many bytes together, at least one if there is one.
    pub fn some_from(&self, now: Duration, from: u64, bytes: usize) -> Vec<Entry> {
        let (mut some, mut size) = (Vec::new(), 0);
        for no in self.live.range(from..).map(|(no, _)| *no) {
            let Some(entry) = self.get(now, no) else {
                continue;
            };
            size += entry.size();
            if size > bytes && !some.is_empty() {
                break;
            }
            some.push(entry);
        }
        some
    }

    /// Whether an entry lives behind one and up to another.
    pub fn goes_on_after(&self, no: u64, upto: u64) -> bool {
        no < upto && self.live.range(no + 1..=upto).next().is_some()
    }

    pub fn all(&self, now: Duration) -> impl Iterator<Item = Entry> + '_ {
        self.live.keys().filter_map(move |no| self.get(now, *no))
    }
}
