//! The fraction of its requests that a sidecar rejects.

use std::time::Duration;

/// Length of a counting window. The rate covers the current window and the previous one.
const REJECTION_WINDOW: Duration = Duration::from_secs(2);
/// Minimum number of requests in the denominator, so that a few rejections do not count as an
/// overload.
const MIN_REQUESTS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    rejected: u32,
}

/// Counts requests and rejections of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct RejectionRate {
    window_start: Duration,
    current: Counts,
    previous: Counts,
}

impl RejectionRate {
    /// Adds requests and the number of them that were rejected.
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

    /// Returns the number of rejections per thousand requests.
    pub fn per_mille(&mut self, now: Duration) -> u16 {
        self.rotate(now);
        let requests = self.current.requests + self.previous.requests;
        let rejected = self.current.rejected + self.previous.rejected;
        (u64::from(rejected) * 1000 / u64::from(requests.max(MIN_REQUESTS))).min(1000) as u16
    }
}
