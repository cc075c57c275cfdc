//! Learns how long a connection may stay idle before it can no longer be trusted.
//!
//! A middlebox (a load balancer or NAT) may drop idle connections long before the configured idle timeout. An attempt that
//! is written to such a connection fails, and since the pod may have run it, it can't be retried unless it is idempotent.

use std::time::Duration;

/// Number of buckets of idle time; each is longer by `BUCKET_GROWTH` than the one before.
const BUCKETS: usize = 24;
/// Lower end of the first bucket but one; the first one also holds all that is shorter.
const FIRST_BUCKET_MS: f64 = 4.0;
/// Ratio of the lower ends of neighbouring buckets.
const BUCKET_GROWTH: f64 = 1.5;
/// Connections that have to break before a bucket counts as too long: chance, or a pod that dies, breaks fewer.
const MIN_BROKEN: u32 = 6;
/// Observations are discarded after this time, as the middlebox may have been reconfigured.
const ESTIMATE_TTL: Duration = Duration::from_secs(60);

/// What became of the connections whose idle time fell into one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    survived: u32,
    /// Broke before the first byte of a response.
    broken: u32,
}

/// Estimates the idle time after which connections are dropped on their path.
///
/// Where many break by chance it may estimate too low, which costs new connections and nothing else.
#[derive(Debug, Default)]
pub struct IdleTimeoutEstimator {
    buckets: [Bucket; BUCKETS],
    observed_since: Duration,
    estimate: Option<Duration>,
}

fn bucket_of(idle: Duration) -> usize {
    let ratio = (idle.as_secs_f64() * 1e3 / FIRST_BUCKET_MS).max(1.0);
    ((ratio.ln() / BUCKET_GROWTH.ln()) as usize).min(BUCKETS - 1)
}

fn lower_end_of(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BUCKET_MS * BUCKET_GROWTH.powi(bucket as i32) / 1e3)
}

impl IdleTimeoutEstimator {
    /// Records whether a connection that had been idle for `idle` survived the next attempt written to it.
    pub fn record(&mut self, idle: Duration, survived: bool, now: Duration) {
        if now > self.observed_since + ESTIMATE_TTL {
            *self = Self {
                observed_since: now,
                ..Self::default()
            };
        }
        let bucket = &mut self.buckets[bucket_of(idle)];
        if survived {
            bucket.survived += 1;
        } else {
            bucket.broken += 1;
            self.estimate = self.shortest_unsafe_idle_time();
        }
    }

    /// Lower end of the shortest bucket that counts as too long: most connections broke in it, and most of those that
    /// were idle for as long or longer.
    fn shortest_unsafe_idle_time(&self) -> Option<Duration> {
        let mut survived = 0;
        let mut broken = 0;
        let mut shortest = None;
        for (index, bucket) in self.buckets.iter().enumerate().rev() {
            survived += bucket.survived;
            broken += bucket.broken;
            let breaks_here = 2 * bucket.broken > bucket.survived;
            if broken >= MIN_BROKEN && 2 * broken > survived && breaks_here {
                shortest = Some(lower_end_of(index));
            }
        }
        shortest
    }

    /// Whether a connection that has been idle for `idle` may still be used.
    #[must_use]
    pub fn is_reusable(&self, idle: Duration) -> bool {
        self.estimate.is_none_or(|estimate| idle < estimate)
    }

    /// How long a connection may stay idle: the estimate, and never more than the `configured` timeout.
    #[must_use]
    pub fn idle_timeout(&self, configured: Duration) -> Duration {
        self.estimate
            .map_or(configured, |estimate| estimate.min(configured))
    }
}

#[cfg(test)]
mod tests;
