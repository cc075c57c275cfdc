//! A queue of events ordered by due time.

use std::collections::BTreeMap;
use std::time::Duration;

/// A queue that returns events by due time. Events with the same due time are returned in the order of scheduling.
pub struct EventQueue<T> {
    events: BTreeMap<(Duration, u64), T>,
    last_sequence: u64,
}

impl<T> EventQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Schedules an event for the given time.
    pub fn schedule(&mut self, at: Duration, event: T) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Returns the due time of the next event.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let ((at, _), _) = self.events.first_key_value()?;
        Some(*at)
    }

    /// Removes and returns the first event whose due time is at or before `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let first = self.events.first_entry()?;
        let (at, _) = *first.key();
        if at > now {
            return None;
        }
        Some(first.remove())
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
