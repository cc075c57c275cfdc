//! When a lost service is asked again.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// A service that was lost for a moment is soon found again.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// A lowered cap must not wait for long once the installer is back.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Waits that double up to a bound, each with as much again by chance. Guards against all sidecars of a fleet
/// asking at once when their installer comes back. It hurts by news that comes later, by up to four seconds.
pub struct Backoff {
    policy: ExponentialBuilder,
    delays: ExponentialBackoff,
}

impl Backoff {
    pub fn new(seed: u64) -> Self {
        let terms = ExponentialBuilder::new()
            .with_min_delay(MIN_DELAY)
            .with_max_delay(MAX_DELAY)
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Self {
            policy: terms,
            delays: terms.build(),
        }
    }

    /// How long to wait before it is asked again.
    pub fn next_delay(&mut self) -> Duration {
        self.delays.next().unwrap_or(MAX_DELAY)
    }

    /// It answered: the next loss begins anew.
    pub fn reset(&mut self) {
        self.delays = self.policy.build();
    }
}
