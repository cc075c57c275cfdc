//! Statistics over sliding windows and streams of samples, independent of any decision.

use std::collections::VecDeque;
use std::time::Duration;

/// The lower bound on numbers that are used as a divisor or whose logarithm is taken.
pub(crate) const MIN_DIVISOR: f64 = 1e-9;

/// The times of recent events, oldest first.
#[derive(Default, Clone)]
pub(crate) struct SlidingWindow {
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    /// Adds an event; times must be added in ascending order.
    pub(crate) fn record(&mut self, at: Duration) {
        self.times.push_back(at);
    }

    /// Drops all events before `from`.
    pub(crate) fn expire_before(&mut self, from: Duration) {
        while self.times.front().is_some_and(|at| *at < from) {
            self.times.pop_front();
        }
    }

    /// Returns the number of events at `from` or later.
    pub(crate) fn count_since(&self, from: Duration) -> usize {
        self.times.len() - self.times.partition_point(|at| *at < from)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.times.clear();
    }
}

/// Returns the upper tail of the binomial distribution: the probability of at least `successes` in
/// `trials` with success probability `success_probability`.
pub(crate) fn binomial_tail(successes: usize, trials: usize, success_probability: f64) -> f64 {
    let mut probability = (1.0 - success_probability).powi(trials as i32);
    let mut lower_tail = 0.0;
    for count in 0..successes.min(trials + 1) {
        lower_tail += probability;
        probability *= (trials - count) as f64 / (count + 1) as f64 * success_probability
            / (1.0 - success_probability).max(MIN_DIVISOR);
    }
    (1.0 - lower_tail).max(0.0)
}

/// The pseudo-count of Jeffreys' prior for a proportion.
const JEFFREYS_PSEUDO_COUNT: f64 = 0.5;

/// A proportion: the number of outcomes with some property, out of all outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proportion {
    pub(crate) count: usize,
    pub(crate) total: usize,
}

impl Proportion {
    pub(crate) fn new(count: usize, total: usize) -> Self {
        Self { count, total }
    }

    /// Returns the share after adding `pseudo_count` on both sides.
    fn smoothed(self, pseudo_count: f64) -> f64 {
        (self.count as f64 + pseudo_count) / (self.total as f64 + 2.0 * pseudo_count).max(1.0)
    }

    /// Returns the share under Jeffreys' prior, which is never 0 or 1.
    pub(crate) fn jeffreys_estimate(self) -> f64 {
        (self.count as f64 + JEFFREYS_PSEUDO_COUNT)
            / (self.total as f64 + 2.0 * JEFFREYS_PSEUDO_COUNT)
    }

    /// Returns the variance of the share, smoothed so that it is never zero.
    fn variance(self) -> f64 {
        self.smoothed(JEFFREYS_PSEUDO_COUNT) * (1.0 - self.smoothed(JEFFREYS_PSEUDO_COUNT))
            / (self.total as f64).max(1.0)
    }
}

/// Returns the difference of two proportions and its standard error.
pub(crate) fn proportion_excess(new: Proportion, old: Proportion) -> (f64, f64) {
    let difference = new.smoothed(0.0) - old.smoothed(0.0);
    (difference, (new.variance() + old.variance()).sqrt())
}

/// Returns the sum of the squared counts divided by its expectation if all counts were
/// Poisson-distributed with the same mean. The result is about 1 if the counts are spread evenly,
/// and larger if a few of them account for most of the total.
pub(crate) fn dispersion(counts: &[f64]) -> f64 {
    let sum = counts.iter().sum::<f64>();
    let squares = counts.iter().map(|count| count * count).sum::<f64>();
    squares / (sum + sum * sum / counts.len().max(1) as f64).max(MIN_DIVISOR)
}

/// Returns the median (the upper one if the number of values is even), or `None` without values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// A mean that is exact at first and exponentially weighted once there are many values.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    pub(crate) value: f64,
    /// The number of values added so far.
    pub(crate) count: usize,
}

impl RunningMean {
    /// Adds a value; the mean covers about the last `samples` values.
    pub(crate) fn add(&mut self, value: f64, samples: usize) {
        self.count += 1;
        self.value += (value - self.value) / self.count.min(samples) as f64;
    }
}

/// A mean over about the last few values, whose weights also decay with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    value: f64,
    weight: f64,
    updated_at: Duration,
}

impl DecayingMean {
    fn weight(&self, now: Duration, decay: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.weight * (-elapsed.as_secs_f64() / decay.as_secs_f64()).exp()
    }

    /// Adds a value; the mean covers about the last `samples` values, whose weights decay with the
    /// time constant `decay`.
    pub(crate) fn add(&mut self, value: f64, now: Duration, decay: Duration, samples: f64) {
        let weight = self.weight(now, decay).min(samples - 1.0);
        self.value = (self.value * weight + value) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.updated_at = now;
    }

    /// Returns the mean, shrunk towards 0 as if `prior_weight` values of 0 had been added.
    pub(crate) fn shrunk_mean(&self, now: Duration, decay: Duration, prior_weight: f64) -> f64 {
        let weight = self.weight(now, decay);
        self.value * weight / (weight + prior_weight).max(MIN_DIVISOR)
    }
}

/// An exponentially smoothed rate in events per second.
#[derive(Clone, Copy, Default)]
pub(crate) struct SmoothedRate {
    per_second: f64,
    updated_at: Duration,
}

impl SmoothedRate {
    /// Counts one event; `smoothing` is the time constant.
    pub(crate) fn record(&mut self, now: Duration, smoothing: Duration) {
        self.per_second = self.per_second(now, smoothing) + 1.0 / smoothing.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the current rate in events per second.
    pub(crate) fn per_second(&self, now: Duration, smoothing: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_second * (-elapsed.as_secs_f64() / smoothing.as_secs_f64()).exp()
    }
}
