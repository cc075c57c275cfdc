//! Reconnect delays for a control service whose connection was lost.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Delay before the first reconnect, without jitter: most outages are short.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// Longest delay, without jitter: a changed limit must arrive soon after the service recovers.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Ratio of each delay to the previous one.
const GROWTH_FACTOR: f32 = 2.0;

/// Exponential backoff with an upper bound and jitter, so that the sidecars of a fleet do not all
/// reconnect at once.
///
/// Jitter adds at most the delay itself, so one wait is at most twice `MAX_DELAY`.
#[derive(Debug)]
pub struct Backoff {
    policy: ExponentialBuilder,
    delays: ExponentialBackoff,
}

impl Backoff {
    /// Creates a backoff whose jitter is generated from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let policy = ExponentialBuilder::new()
            .with_min_delay(MIN_DELAY)
            .with_max_delay(MAX_DELAY)
            .with_factor(GROWTH_FACTOR)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Self {
            policy,
            delays: policy.build(),
        }
    }

    /// Returns the delay before the next reconnect.
    pub fn next_delay(&mut self) -> Duration {
        self.delays.next().unwrap_or(MAX_DELAY)
    }

    /// Returns to the shortest delay; called once the service has answered.
    pub fn reset(&mut self) {
        self.delays = self.policy.build();
    }
}

#[cfg(test)]
mod tests;
