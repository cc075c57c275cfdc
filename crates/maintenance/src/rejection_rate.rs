//! The part of its requests that a sidecar rejects.

use std::time::Duration;

/// Requests are counted over windows of this length: the running one and the one before.
const REJECTION_WINDOW: Duration = Duration::from_secs(2);
/// Fewer requests count as this many, so that a few rejections are no overload.
const MIN_REQUESTS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    rejected: u32,
}

/// Counts requests and rejections over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct RejectionRate {
    window_start: Duration,
    current: Counts,
    previous: Counts,
}

impl RejectionRate {
    /// Adds requests, and how many of them were rejected.
    pub fn record(&mut self, now: Duration, requests: u32, rejected: u32) {
        self.rotate(now);
        self.current.requests = self.current.requests.saturating_add(requests);
        self.current.rejected = self.current.rejected.saturating_add(rejected);
    }

    fn rotate(&mut self, now: Duration) {
        if now < self.window_start + REJECTION_WINDOW {
            return;
        }
        let is_previous_over = now >= self.window_start + REJECTION_WINDOW * 2;
        self.previous = if is_previous_over {
            Counts::default()
        } else {
            self.current
        };
        self.window_start = now;
        self.current = Counts::default();
    }

    /// Rejections of a thousand requests.
    pub fn per_mille(&mut self, now: Duration) -> u16 {
        self.rotate(now);
        let requests = self.current.requests + self.previous.requests;
        let rejected = self.current.rejected + self.previous.rejected;
        (u64::from(rejected) * 1000 / u64::from(requests.max(MIN_REQUESTS))).min(1000) as u16
    }
}
