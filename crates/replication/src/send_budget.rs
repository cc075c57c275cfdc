//! Token bucket over the bytes that a replica sends.

use std::time::Duration;

/// Holds at most one second's worth of bytes. A packet may overdraw it, which delays the next ones.
#[derive(Clone, Debug)]
pub(crate) struct SendBudget {
    bytes_per_second: f64,
    available: f64,
    refilled_at: Duration,
}

impl SendBudget {
    pub(crate) fn new(now: Duration, bytes_per_second: u32) -> Self {
        let bytes_per_second = f64::from(bytes_per_second);
        Self {
            bytes_per_second,
            available: bytes_per_second,
            refilled_at: now,
        }
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let earned = self.bytes_per_second * elapsed;
        self.available = (self.available + earned).min(self.bytes_per_second);
        self.refilled_at = now;
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }

    /// Returns whether a new entry may be sent.
    pub(crate) fn allows_gossip(&self) -> bool {
        self.available > 0.0
    }

    /// Returns whether missing entries may be sent to a peer that is behind. Half of the budget is
    /// reserved for new entries.
    pub(crate) fn allows_repair(&self) -> bool {
        self.available > self.bytes_per_second / 2.0
    }
}
