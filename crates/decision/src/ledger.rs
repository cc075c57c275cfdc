//! Due times and counts over a sliding window: containers without any decision.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What is due when; equal times keep the order of entry.
pub struct TimerQueue<T> {
    due: BTreeMap<(Duration, u64), T>,
    next: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self {
            due: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    pub fn schedule(&mut self, at: Duration, what: T) {
        self.due.insert((at, self.next), what);
        self.next += 1;
    }

    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        let (&(at, n), _) = self.due.first_key_value()?;
        if at > now {
            return None;
        }
        self.due.remove(&(at, n))
    }
}

/// The times of what happened lately.
#[derive(Default, Clone)]
pub struct SlidingWindow {
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    pub fn record(&mut self, at: Duration) {
        self.times.push_back(at);
    }

    /// Forgets all from before `from`.
    pub fn expire_before(&mut self, from: Duration) {
        while self.times.front().is_some_and(|t| *t < from) {
            self.times.pop_front();
        }
    }

    /// How many happened at `from` or later.
    pub fn count_since(&self, from: Duration) -> usize {
        self.times.len() - self.times.partition_point(|t| *t < from)
    }

    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    pub fn clear(&mut self) {
        self.times.clear();
    }
}

/// How likely so many or more of all are, if each is with that chance.
pub fn binomial_tail(many: usize, all: usize, chance: f64) -> f64 {
    let mut exactly = (1.0 - chance).powi(all as i32);
    let mut fewer = 0.0;
    for n in 0..many.min(all + 1) {
        fewer += exactly;
        exactly *= (all - n) as f64 / (n + 1) as f64 * chance / (1.0 - chance).max(1e-9);
    }
    (1.0 - fewer).max(0.0)
}

/// A share from 0 to 1 that looks like chance but is always the same for the same two numbers.
pub fn hash_fraction(own: u64, number: u64) -> f64 {
    (rendezvous_rank(own, number) >> 11) as f64 / (1u64 << 53) as f64
}

/// How many whole spans have passed, and how much of the next.
pub fn period_at(passed: Duration, span: Duration) -> (u32, Duration) {
    let whole = (passed.as_nanos() / span.as_nanos().max(1)) as u32;
    (whole, passed.saturating_sub(span * whole))
}

/// A number that looks like chance but is always the same for the same one (splitmix64).
pub fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Where a number stands in an order that is `own`'s: it moves little when numbers come and go.
pub fn rendezvous_rank(own: u64, number: u64) -> u64 {
    splitmix64(number ^ splitmix64(own + 1))
}

/// How much larger one share of (bad, seen) is than another, and the noise in that.
pub fn proportion_excess(new: (usize, usize), old: (usize, usize)) -> (f64, f64) {
    let share = |(bad, seen): (usize, usize), more: f64| {
        (bad as f64 + more) / (seen as f64 + 2.0 * more).max(1.0)
    };
    let spread = |c: (usize, usize)| share(c, 0.5) * (1.0 - share(c, 0.5)) / (c.1 as f64).max(1.0);
    (
        share(new, 0.0) - share(old, 0.0),
        (spread(new) + spread(old)).sqrt(),
    )
}

/// The sum of the squares of counts over what chance would make of it, were all alike: about 1 if they are.
pub fn dispersion(counts: &[f64]) -> f64 {
    let (sum, squares) = (
        counts.iter().sum::<f64>(),
        counts.iter().map(|c| c * c).sum::<f64>(),
    );
    squares / (sum + sum * sum / counts.len().max(1) as f64).max(1e-9)
}

/// The value that a share of all lie under.
pub fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * share) as usize).copied()
}

pub fn median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

/// A mean that forgets: of all values at first, then of about the last so many.
#[derive(Clone, Copy, Default)]
pub struct RunningMean {
    pub value: f64,
    pub count: usize,
}

impl RunningMean {
    pub fn add(&mut self, value: f64, last: usize) {
        self.count += 1;
        self.value += (value - self.value) / self.count.min(last) as f64;
    }
}

/// A mean of about the last so many values that also loses its weight with time.
#[derive(Clone, Copy, Default)]
pub struct DecayingMean {
    value: f64,
    weight: f64,
    at: Duration,
}

impl DecayingMean {
    fn weight(&self, now: Duration, over: Duration) -> f64 {
        self.weight * (-(now.saturating_sub(self.at)).as_secs_f64() / over.as_secs_f64()).exp()
    }

    pub fn add(&mut self, value: f64, now: Duration, over: Duration, last: f64) {
        let weight = self.weight(now, over).min(last - 1.0);
        self.value = (self.value * weight + value) / (weight + 1.0);
        (self.weight, self.at) = (weight + 1.0, now);
    }

    /// The mean, leaning to 0 by so many values.
    pub fn shrunk_mean(&self, now: Duration, over: Duration, lean: f64) -> f64 {
        let weight = self.weight(now, over);
        self.value * weight / (weight + lean).max(1e-9)
    }
}

/// A rate in events a second, smoothed over about `over`.
#[derive(Clone, Copy, Default)]
pub struct SmoothedRate {
    per_s: f64,
    at: Duration,
}

impl SmoothedRate {
    pub fn record(&mut self, now: Duration, over: Duration) {
        self.per_s = self.per_second(now, over) + 1.0 / over.as_secs_f64();
        self.at = now;
    }

    pub fn per_second(&self, now: Duration, over: Duration) -> f64 {
        self.per_s * (-(now.saturating_sub(self.at)).as_secs_f64() / over.as_secs_f64()).exp()
    }
}
