//! Delays between attempts to reach a control service that was lost.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Delay before the first attempt, without jitter: most losses are short.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// Bound of a delay, without jitter: a changed limit has to arrive soon after the service is back.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Each delay is so many times the one before.
const GROWTH_FACTOR: f32 = 2.0;

/// Exponential backoff with a bound and jitter, so that the sidecars of a fleet don't all reconnect at once.
///
/// Jitter adds up to the delay itself, so one wait is at most twice `MAX_DELAY`.
#[derive(Debug)]
pub struct Backoff {
    policy: ExponentialBuilder,
    delays: ExponentialBackoff,
}

impl Backoff {
    /// A backoff whose jitter is drawn from `seed`.
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

    /// How long to wait before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        self.delays.next().unwrap_or(MAX_DELAY)
    }

    /// Starts over at the shortest delay, once the service has answered.
    pub fn reset(&mut self) {
        self.delays = self.policy.build();
    }
}

#[cfg(test)]
mod tests;
