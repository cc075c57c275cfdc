//! A hierarchical timer wheel (Varghese and Lauck, 1987): scheduling and cancelling take constant time, regardless of the
//! number of timers.
//!
//! A tick is 1 ms. Four levels of 64 slots cover 4.6 hours; later timers wait in the farthest slot of the coarsest
//! level and are placed again when it begins.

use slab::Slab;
use std::time::Duration;

const LEVELS: usize = 4;
const SLOTS_PER_LEVEL: u64 = 64;
/// Added to a time before it is truncated to whole ticks, so that it is rounded up and a timer never fires early.
const ROUND_UP: Duration = Duration::from_nanos(999_999);

/// Identifies a scheduled timer; invalid once the timer has fired or was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: usize,
    sequence: u64,
}

/// The list that a timer is in.
#[derive(Clone, Copy)]
enum Location {
    /// A slot, by its level and its index among the slots of all levels.
    Slot { level: usize, slot: usize },
    /// The list of due timers.
    Due,
}

struct Entry<T> {
    /// The tick at which the timer fires.
    tick: u64,
    /// Distinguishes consecutive timers in the same entry.
    sequence: u64,
    location: Location,
    /// The index in the list at `location`.
    position: usize,
    payload: T,
}

/// Timers that each carry a payload. The caller supplies times relative to an origin of its choice.
pub struct TimerWheel<T> {
    entries: Slab<Entry<T>>,
    /// The indices of the entries in each slot, level by level.
    slots: Vec<Vec<usize>>,
    /// A bitmap per level of the slots that contain timers.
    occupied: [u64; LEVELS],
    /// The current tick: all timers up to it have fired or are due.
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
    /// Schedules a timer. A timer in the past fires at the next call of [`pop_expired`](Self::pop_expired) that reaches a
    /// new tick.
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

    /// Cancels a timer and returns its payload; `None` if it has fired or was cancelled.
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

    /// When to check for expired timers again: at the start of the next non-empty slot, which is not later than its first
    /// timer.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        if !self.due.is_empty() {
            return Some(Duration::from_millis(self.tick));
        }
        self.next_occupied_tick().map(Duration::from_millis)
    }

    /// Removes one timer that has expired at `now` and returns its payload. Timers are returned in the order of their
    /// ticks; the order within a tick is unspecified.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let now_tick = whole_ticks(now);
        while self.due.is_empty() {
            // Skips the ticks before the next non-empty slot, so that a clock jump or a start far from zero does not step
            // through every tick.
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

    /// The first tick after the current one at which a non-empty slot begins.
    fn next_occupied_tick(&self) -> Option<u64> {
        self.occupied
            .iter()
            .enumerate()
            .filter(|(_, occupied)| **occupied != 0)
            .map(|(level, occupied)| {
                let width = slot_width(level);
                let next_slot = self.tick / width + 1;
                let first = (next_slot % SLOTS_PER_LEVEL) as u32;
                let slots_ahead = occupied.rotate_right(first).trailing_zeros();
                (next_slot + u64::from(slots_ahead)) * width
            })
            .min()
    }

    /// Advances by one tick: the entries of coarser slots that begin at it are moved to finer levels, and the entries of
    /// the tick itself become due.
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

    /// Puts an entry into the finest level that covers its tick.
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
        let last_slot = self.tick / width + SLOTS_PER_LEVEL - 1;
        let slot = slot_index(level, (tick / width).min(last_slot));
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

/// The number of ticks that a slot of this level covers.
fn slot_width(level: usize) -> u64 {
    SLOTS_PER_LEVEL.pow(level as u32)
}

/// The index, among the slots of all levels, of a level's slot. `number` counts the level's slots since time 0.
fn slot_index(level: usize, number: u64) -> usize {
    level * SLOTS_PER_LEVEL as usize + (number % SLOTS_PER_LEVEL) as usize
}

/// The bit of a slot in the bitmap of its level.
fn slot_bit(slot: usize) -> u64 {
    1 << (slot % SLOTS_PER_LEVEL as usize)
}
