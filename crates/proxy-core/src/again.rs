//! When a lost service is asked again.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// A service that was lost for a moment is soon found again.
const FIRST: Duration = Duration::from_millis(250);
/// A lowered cap must not wait for long once the installer is back.
const LAST: Duration = Duration::from_secs(2);

/// Waits that double up to a bound, each with as much again by chance. Guards against all sidecars of a fleet
/// asking at once when their installer comes back. It hurts by news that comes later, by up to four seconds.
pub struct Again {
    terms: ExponentialBuilder,
    waits: ExponentialBackoff,
}

impl Again {
    pub fn new(seed: u64) -> Self {
        let terms = ExponentialBuilder::new()
            .with_min_delay(FIRST)
            .with_max_delay(LAST)
            .with_factor(2.0)
            .without_max_times()
            .with_jitter()
            .with_jitter_seed(seed);
        Self {
            terms,
            waits: terms.build(),
        }
    }

    /// How long to wait before it is asked again.
    pub fn wait(&mut self) -> Duration {
        self.waits.next().unwrap_or(LAST)
    }

    /// It answered: the next loss begins anew.
    pub fn answered(&mut self) {
        self.waits = self.terms.build();
    }
}
