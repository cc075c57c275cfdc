//! A queue of items ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Items by due time; items with equal times keep the order in which they were scheduled.
pub(crate) struct TimerQueue<T> {
    due: BTreeMap<(Duration, u64), T>,
    next_sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self {
            due: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    pub(crate) fn schedule(&mut self, at: Duration, item: T) {
        self.due.insert((at, self.next_sequence), item);
        self.next_sequence += 1;
    }

    /// Removes and returns the earliest item that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<T> {
        let (&(at, sequence), _) = self.due.first_key_value()?;
        if at > now {
            return None;
        }
        self.due.remove(&(at, sequence))
    }
}
