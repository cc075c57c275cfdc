//! Estimates how long a connection may stay idle before it must not be reused.
//!
//! A middlebox (a load balancer or NAT) may drop idle connections long before the configured idle
//! timeout. An attempt written to such a connection fails, and since the pod may have run it, it
//! cannot be retried unless it is idempotent.

use std::time::Duration;

/// Number of buckets of idle time; each one is `BUCKET_GROWTH` times as wide as the previous one.
const BUCKETS: usize = 24;
/// Lower bound of the first bucket, in milliseconds; this bucket also counts all shorter idle
/// times.
const FIRST_BUCKET_LOWER_BOUND_MS: f64 = 4.0;
/// Ratio of the lower bounds of adjacent buckets.
const BUCKET_GROWTH: f64 = 1.5;
/// Minimum number of broken connections before a bucket counts as unsafe; fewer may break by chance
/// or because one pod fails.
const MIN_BROKEN: u32 = 6;
/// Observations are discarded after this time, because the middlebox may have been reconfigured.
const ESTIMATE_TTL: Duration = Duration::from_secs(60);

/// Outcomes of the connections whose idle time falls into one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    survived: u32,
    /// Connections that broke before the first byte of a response.
    broken: u32,
}

/// Estimates the idle time after which connections are dropped by the network.
///
/// If many connections break at random, the estimate may be too low; the only cost is additional
/// connections.
#[derive(Debug, Default)]
pub struct IdleTimeoutEstimator {
    buckets: [Bucket; BUCKETS],
    observed_since: Duration,
    estimate: Option<Duration>,
}

fn bucket_of(idle: Duration) -> usize {
    let ratio = (idle.as_secs_f64() * 1e3 / FIRST_BUCKET_LOWER_BOUND_MS).max(1.0);
    ((ratio.ln() / BUCKET_GROWTH.ln()) as usize).min(BUCKETS - 1)
}

fn lower_bound_of(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BUCKET_LOWER_BOUND_MS * BUCKET_GROWTH.powi(bucket as i32) / 1e3)
}

impl IdleTimeoutEstimator {
    /// Records whether a connection that had been idle for `idle` survived the next attempt on it.
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

    /// Returns the lower bound of the shortest unsafe bucket, in which, as over all buckets of that
    /// length or longer, more than one connection broke for every two that survived.
    fn shortest_unsafe_idle_time(&self) -> Option<Duration> {
        let mut survived = 0;
        let mut broken = 0;
        let mut shortest = None;
        for (index, bucket) in self.buckets.iter().enumerate().rev() {
            survived += bucket.survived;
            broken += bucket.broken;
            let breaks_here = 2 * bucket.broken > bucket.survived;
            if broken >= MIN_BROKEN && 2 * broken > survived && breaks_here {
                shortest = Some(lower_bound_of(index));
            }
        }
        shortest
    }

    /// Whether a connection that has been idle for `idle` may be reused.
    #[must_use]
    pub fn is_reusable(&self, idle: Duration) -> bool {
        self.estimate.is_none_or(|estimate| idle < estimate)
    }

    /// Returns how long a connection may stay idle: the estimate, or the `configured` timeout if
    /// that is shorter.
    #[must_use]
    pub fn idle_timeout(&self, configured: Duration) -> Duration {
        self.estimate
            .map_or(configured, |estimate| estimate.min(configured))
    }
}

#[cfg(test)]
mod tests;
