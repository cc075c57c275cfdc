//! Events by the time at which they fall due.

use std::collections::BTreeMap;
use std::time::Duration;

/// Events in the order in which they fall due; those of the same time in the order in which they were scheduled.
pub struct EventQueue<T> {
    events: BTreeMap<(Duration, u64), T>,
    last_sequence: u64,
}

impl<T> EventQueue<T> {
    /// A queue without events.
    #[must_use]
    pub fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at: Duration, event: T) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// When the next event falls due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let ((at, _), _) = self.events.first_key_value()?;
        Some(*at)
    }

    /// Removes the first event that is due at `now`.
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
