//! A hierarchical timer wheel (Varghese and Lauck, 1987): arming and cancelling take constant time, however
//! many timers are armed. Ticks are 1 ms; four levels of 64 slots reach 4.6 hours, later ones are kept at the
//! far edge and placed again when it is reached.

use slab::Slab;
use std::time::Duration;

const LEVELS: usize = 4;
const SLOTS: u64 = 64;

/// One armed timer; of no use once it fired or was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    index: usize,
    mark: u64,
}

struct Entry<T> {
    tick: u64,
    mark: u64,
    place: (usize, usize),
    at: usize,
    what: T,
}

pub struct TimerWheel<T> {
    entries: Slab<Entry<T>>,
    slots: Vec<Vec<usize>>,
    /// Which slots of each level hold timers, a bit for each.
    full: [u64; LEVELS],
    /// The tick up to which all has fired.
    tick: u64,
    mark: u64,
    due: Vec<usize>,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let slots = (0..LEVELS * SLOTS as usize).map(|_| Vec::new()).collect();
        Self {
            entries: Slab::new(),
            slots,
            full: [0; LEVELS],
            tick: 0,
            mark: 0,
            due: Vec::new(),
        }
    }
}

fn ticks(at: Duration) -> u64 {
    at.as_millis() as u64
}

impl<T> TimerWheel<T> {
    /// Arms a timer; one in the past fires at the next `take`.
    pub fn schedule(&mut self, at: Duration, what: T) -> TimerKey {
        // Rounded up: a timer never fires before its time.
        let tick = ticks(at + Duration::from_nanos(999_999)).max(self.tick + 1);
        self.mark += 1;
        let mark = self.mark;
        let index = self.entries.insert(Entry {
            tick,
            mark,
            place: (0, 0),
            at: 0,
            what,
        });
        self.place(index);
        TimerKey { index, mark }
    }

    /// Takes a timer back; tells what it was, if it had not fired.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.entries
            .get(key.index)
            .filter(|entry| entry.mark == key.mark)?;
        self.unlink(key.index);
        Some(self.entries.remove(key.index).what)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// When to look again: at the next slot that holds a timer, or sooner.
    pub fn next_deadline(&self) -> Option<Duration> {
        if !self.due.is_empty() {
            return Some(Duration::from_millis(self.tick));
        }
        self.next_tick().map(Duration::from_millis)
    }

    /// The first tick after the present one at which a slot that holds timers begins.
    fn next_tick(&self) -> Option<u64> {
        let ticks = self
            .full
            .iter()
            .enumerate()
            .filter(|(_, full)| **full != 0)
            .map(|(level, full)| {
                let width = SLOTS.pow(level as u32);
                let turn = self.tick / width + 1;
                let ahead = full.rotate_right((turn % SLOTS) as u32).trailing_zeros();
                (turn + u64::from(ahead)) * width
            });
        ticks.min()
    }

    /// Takes one timer that is due at `now`, in the order of ticks.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let until = ticks(now);
        while self.due.is_empty() {
            // Nothing begins before the next slot that holds a timer: the ticks until then are passed over,
            // as after a clock that jumped, or a start far from zero.
            match self.next_tick().filter(|next| *next <= until) {
                Some(next) => self.tick = next - 1,
                None => {
                    self.tick = self.tick.max(until);
                    return None;
                }
            }
            self.step();
        }
        let index = self.due.swap_remove(0);
        if let Some(moved) = self.due.first().copied() {
            self.entries[moved].at = 0;
        }
        Some(self.entries.remove(index).what)
    }

    /// Goes on by one tick and spreads the slots of coarser levels that begin with it.
    fn step(&mut self) {
        self.tick += 1;
        for level in (1..LEVELS).rev() {
            let width = SLOTS.pow(level as u32);
            if self.tick.is_multiple_of(width) {
                let number = self.slot_number(level, self.tick / width);
                let spread = self.empty(number);
                spread.into_iter().for_each(|index| self.place(index));
            }
        }
        let number = self.slot_number(0, self.tick);
        let fired = self.empty(number);
        fired.into_iter().for_each(|index| self.make_due(index));
    }

    fn empty(&mut self, number: usize) -> Vec<usize> {
        self.full[number / SLOTS as usize] &= !(1 << (number % SLOTS as usize));
        std::mem::take(&mut self.slots[number])
    }

    fn make_due(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        (entry.place, entry.at) = ((LEVELS, 0), self.due.len());
        self.due.push(index);
    }

    fn place(&mut self, index: usize) {
        let tick = self.entries[index].tick;
        if tick <= self.tick {
            return self.make_due(index);
        }
        let ahead = tick - self.tick;
        let level = (0..LEVELS)
            .find(|l| ahead < SLOTS.pow(*l as u32 + 1))
            .unwrap_or(LEVELS - 1);
        let width = SLOTS.pow(level as u32);
        let number = self.slot_number(level, (tick / width).min(self.tick / width + SLOTS - 1));
        let entry = &mut self.entries[index];
        (entry.place, entry.at) = ((level, number), self.slots[number].len());
        self.slots[number].push(index);
        self.full[level] |= 1 << (number % SLOTS as usize);
    }

    fn unlink(&mut self, index: usize) {
        let ((level, number), at) = (self.entries[index].place, self.entries[index].at);
        let list = if level == LEVELS {
            &mut self.due
        } else {
            &mut self.slots[number]
        };
        list.swap_remove(at);
        if let Some(moved) = list.get(at).copied() {
            self.entries[moved].at = at;
        }
        if level < LEVELS && self.slots[number].is_empty() {
            self.full[level] &= !(1 << (number % SLOTS as usize));
        }
    }

    fn slot_number(&self, level: usize, turn: u64) -> usize {
        level * SLOTS as usize + (turn % SLOTS) as usize
    }
}
