//! The record of a [`World`](super::World), written by all its threads.

use crate::locks::lock;
use limewing_rule_checker::record::{Event, RecordLine};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub(super) struct WorldRecord {
    started_at: Instant,
    lines: Arc<Mutex<Vec<RecordLine>>>,
}

impl WorldRecord {
    /// Creates an empty record whose time starts now.
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub(super) fn append(&self, event: Event) {
        let mut lines = lock(&self.lines);
        // The time is taken with the lock held, so that the times of the record never decrease.
        let at = self.started_at.elapsed();
        lines.push(RecordLine { at, event });
    }

    pub(super) fn lines(&self) -> Vec<RecordLine> {
        lock(&self.lines).clone()
    }
}
