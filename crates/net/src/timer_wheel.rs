//! A hierarchical timer wheel (Varghese and Lauck, 1987): scheduling and cancelling take constant time, however many
//! timers there are.
//!
//! A tick is 1 ms. Four levels of 64 slots reach 4.6 hours; later timers wait in the last slot within reach and are
//! placed again when it begins.

use slab::Slab;
use std::time::Duration;

const LEVELS: usize = 4;
const SLOTS_PER_LEVEL: u64 = 64;
/// Added before a time is cut to whole ticks, so that it is rounded up: a timer never fires early.
const ROUND_UP: Duration = Duration::from_nanos(999_999);

/// One scheduled timer; of no use once it fired or was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: usize,
    sequence: u64,
}

/// The list that a timer is in.
#[derive(Clone, Copy)]
enum Location {
    /// A slot by its level and its index in all slots.
    Slot { level: usize, slot: usize },
    /// The timers that are due.
    Due,
}

struct Entry<T> {
    /// When it fires.
    tick: u64,
    /// Distinguishes the timers that use an entry one after the other.
    sequence: u64,
    location: Location,
    /// The index in the list of that location.
    position: usize,
    payload: T,
}

/// Timers that each carry a payload. Times are given by the caller, counted from a start of its own.
pub struct TimerWheel<T> {
    entries: Slab<Entry<T>>,
    /// The entries of each slot, level by level.
    slots: Vec<Vec<usize>>,
    /// Which slots of each level hold timers, a bit for each.
    occupied: [u64; LEVELS],
    /// All timers up to this tick have fired or are due.
    tick: u64,
    last_sequence: u64,
    due: Vec<usize>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let slot_count = LEVELS * SLOTS_PER_LEVEL as usize;
        Self {
            entries: Slab::new(),
            slots: (0..slot_count).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            tick: 0,
            last_sequence: 0,
            due: Vec::new(),
        }
    }
}

impl<T> TimerWheel<T> {
    /// Schedules a timer. One in the past fires at the next [`pop_expired`](Self::pop_expired) that reaches a new tick.
    pub fn schedule(&mut self, at: Duration, payload: T) -> TimerKey {
        let tick = whole_ticks(at + ROUND_UP).max(self.tick + 1);
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let index = self.entries.insert(Entry {
            tick,
            sequence,
            location: Location::Due,
            position: 0,
            payload,
        });
        self.place(index);
        TimerKey { index, sequence }
    }

    /// Cancels a timer and returns its payload; none if it has fired or was cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.index)?;
        if entry.sequence != key.sequence {
            return None;
        }
        Some(self.remove(key.index))
    }

    /// The number of timers that have not fired.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no timer is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When to look for expired timers again: when the next slot that holds timers begins, which is not later than the
    /// first of them.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        if !self.due.is_empty() {
            return Some(Duration::from_millis(self.tick));
        }
        self.next_occupied_tick().map(Duration::from_millis)
    }

    /// Removes one timer that has expired at `now` and returns its payload. Timers come in the order of their ticks;
    /// within a tick the order is unspecified.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let now_tick = whole_ticks(now);
        while self.due.is_empty() {
            // The ticks before the next slot that holds timers are skipped, as after a clock that jumped, or a start far
            // from zero.
            match self.next_occupied_tick().filter(|next| *next <= now_tick) {
                Some(next) => self.tick = next - 1,
                None => {
                    self.tick = self.tick.max(now_tick);
                    return None;
                }
            }
            self.advance();
        }
        let index = self.due[0];
        Some(self.remove(index))
    }

    /// The first tick after the present one at which a slot that holds timers begins.
    fn next_occupied_tick(&self) -> Option<u64> {
        self.occupied
            .iter()
            .enumerate()
            .filter(|(_, occupied)| **occupied != 0)
            .map(|(level, occupied)| {
                let width = slot_width(level);
                let turn = self.tick / width + 1;
                let first = (turn % SLOTS_PER_LEVEL) as u32;
                let slots_ahead = occupied.rotate_right(first).trailing_zeros();
                (turn + u64::from(slots_ahead)) * width
            })
            .min()
    }

    /// Goes on by one tick: the slots of coarser levels that begin with it are placed anew, those of the tick are due.
    fn advance(&mut self) {
        self.tick += 1;
        for level in (1..LEVELS).rev() {
            let width = slot_width(level);
            if self.tick.is_multiple_of(width) {
                for index in self.take_slot(slot_index(level, self.tick / width)) {
                    self.place(index);
                }
            }
        }
        for index in self.take_slot(slot_index(0, self.tick)) {
            self.make_due(index);
        }
    }

    fn take_slot(&mut self, slot: usize) -> Vec<usize> {
        let level = slot / SLOTS_PER_LEVEL as usize;
        self.occupied[level] &= !slot_bit(slot);
        std::mem::take(&mut self.slots[slot])
    }

    fn make_due(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.location = Location::Due;
        entry.position = self.due.len();
        self.due.push(index);
    }

    /// Puts an entry into the finest level that reaches its tick.
    fn place(&mut self, index: usize) {
        let tick = self.entries[index].tick;
        if tick <= self.tick {
            return self.make_due(index);
        }
        let ahead = tick - self.tick;
        let level = (0..LEVELS)
            .find(|level| ahead < slot_width(level + 1))
            .unwrap_or(LEVELS - 1);
        let width = slot_width(level);
        let last_turn = self.tick / width + SLOTS_PER_LEVEL - 1;
        let slot = slot_index(level, (tick / width).min(last_turn));
        let entry = &mut self.entries[index];
        entry.location = Location::Slot { level, slot };
        entry.position = self.slots[slot].len();
        self.slots[slot].push(index);
        self.occupied[level] |= slot_bit(slot);
    }

    fn remove(&mut self, index: usize) -> T {
        let Entry {
            location,
            position,
            payload,
            ..
        } = self.entries.remove(index);
        let list = match location {
            Location::Slot { slot, .. } => &mut self.slots[slot],
            Location::Due => &mut self.due,
        };
        list.swap_remove(position);
        if let Some(moved) = list.get(position) {
            self.entries[*moved].position = position;
        }
        if let Location::Slot { level, slot } = location {
            if self.slots[slot].is_empty() {
                self.occupied[level] &= !slot_bit(slot);
            }
        }
        payload
    }
}

fn whole_ticks(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// How many ticks a slot of this level covers.
fn slot_width(level: usize) -> u64 {
    SLOTS_PER_LEVEL.pow(level as u32)
}

/// The index in all slots of a level's slot for this turn.
fn slot_index(level: usize, turn: u64) -> usize {
    level * SLOTS_PER_LEVEL as usize + (turn % SLOTS_PER_LEVEL) as usize
}

/// The bit of a slot among those of its level.
fn slot_bit(slot: usize) -> u64 {
    1 << (slot % SLOTS_PER_LEVEL as usize)
}
