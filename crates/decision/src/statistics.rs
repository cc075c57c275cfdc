//! Statistics over a sliding window or a stream of samples. Nothing here decides anything.

use std::collections::VecDeque;
use std::time::Duration;

/// The least number that is divided by, or whose logarithm is taken.
pub(crate) const MIN_DIVISOR: f64 = 1e-9;

/// The times of recent events, oldest first.
#[derive(Default, Clone)]
pub(crate) struct SlidingWindow {
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    /// Adds an event; times have to be added in order.
    pub(crate) fn record(&mut self, at: Duration) {
        self.times.push_back(at);
    }

    /// Drops all events from before `from`.
    pub(crate) fn expire_before(&mut self, from: Duration) {
        while self.times.front().is_some_and(|at| *at < from) {
            self.times.pop_front();
        }
    }

    /// The number of events at `from` or later.
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

/// The upper tail of the binomial distribution: the probability of `successes` or more in `trials`, where each
/// succeeds with probability `chance`.
pub(crate) fn binomial_tail(successes: usize, trials: usize, chance: f64) -> f64 {
    let mut probability = (1.0 - chance).powi(trials as i32);
    let mut fewer = 0.0;
    for count in 0..successes.min(trials + 1) {
        fewer += probability;
        probability *=
            (trials - count) as f64 / (count + 1) as f64 * chance / (1.0 - chance).max(MIN_DIVISOR);
    }
    (1.0 - fewer).max(0.0)
}

/// The pseudo-count of Jeffreys' prior for a proportion.
const JEFFREYS_PSEUDO_COUNT: f64 = 0.5;

/// A proportion: how many of all outcomes had some property.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proportion {
    pub(crate) count: usize,
    pub(crate) total: usize,
}

impl Proportion {
    pub(crate) fn new(count: usize, total: usize) -> Self {
        Self { count, total }
    }

    /// The share, with so many pseudo-counts added on either side.
    fn smoothed(self, pseudo_count: f64) -> f64 {
        (self.count as f64 + pseudo_count) / (self.total as f64 + 2.0 * pseudo_count).max(1.0)
    }

    /// The share under Jeffreys' prior: never 0 or 1.
    pub(crate) fn jeffreys_estimate(self) -> f64 {
        (self.count as f64 + JEFFREYS_PSEUDO_COUNT)
            / (self.total as f64 + 2.0 * JEFFREYS_PSEUDO_COUNT)
    }

    /// The variance of the share, smoothed so that it is never zero.
    fn variance(self) -> f64 {
        self.smoothed(JEFFREYS_PSEUDO_COUNT) * (1.0 - self.smoothed(JEFFREYS_PSEUDO_COUNT))
            / (self.total as f64).max(1.0)
    }
}

/// How much larger one proportion is than another, and the standard error of that difference.
pub(crate) fn proportion_excess(new: Proportion, old: Proportion) -> (f64, f64) {
    let difference = new.smoothed(0.0) - old.smoothed(0.0);
    (difference, (new.variance() + old.variance()).sqrt())
}

/// The sum of the squared counts over its expectation if all were Poisson with the same mean: about 1 when
/// the counts are spread evenly, larger when few of them hold most.
pub(crate) fn dispersion(counts: &[f64]) -> f64 {
    let sum = counts.iter().sum::<f64>();
    let squares = counts.iter().map(|count| count * count).sum::<f64>();
    squares / (sum + sum * sum / counts.len().max(1) as f64).max(MIN_DIVISOR)
}

/// The median (the upper one of an even number of values), or none of no values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// The mean of all values at first, and an exponentially weighted one once there are many.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    pub(crate) value: f64,
    /// The number of values so far.
    pub(crate) count: usize,
}

impl RunningMean {
    /// Adds a value; about the last `samples` count.
    pub(crate) fn add(&mut self, value: f64, samples: usize) {
        self.count += 1;
        self.value += (value - self.value) / self.count.min(samples) as f64;
    }
}

/// A mean of about the last so many values whose weight also decays with time.
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

    /// Adds a value; about the last `samples` count, and less with the time constant `decay`.
    pub(crate) fn add(&mut self, value: f64, now: Duration, decay: Duration, samples: f64) {
        let weight = self.weight(now, decay).min(samples - 1.0);
        self.value = (self.value * weight + value) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.updated_at = now;
    }

    /// The mean, shrunk towards 0 as if `prior_weight` values of 0 had been seen too.
    pub(crate) fn shrunk_mean(&self, now: Duration, decay: Duration, prior_weight: f64) -> f64 {
        let weight = self.weight(now, decay);
        self.value * weight / (weight + prior_weight).max(MIN_DIVISOR)
    }
}

/// A rate in events a second, smoothed exponentially.
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

    /// The rate now, in events a second.
    pub(crate) fn per_second(&self, now: Duration, smoothing: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        self.per_second * (-elapsed.as_secs_f64() / smoothing.as_secs_f64()).exp()
    }
}
