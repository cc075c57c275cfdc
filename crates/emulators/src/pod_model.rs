//! One pod as a model without I/O: cores that work requests off, a bounded queue, and a slow start.

use std::collections::VecDeque;
use std::time::Duration;

/// Keeps a divisor above 0 where a pod has no slow start.
const MIN_SLOW_START_SECONDS: f64 = 1e-9;

/// What a pod runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Requests that are worked on at once.
    pub cores: usize,
    /// Requests that may wait beside those.
    pub queue_limit: usize,
    /// The part of its speed that a pod has when it starts.
    pub slow_start_from: f64,
    /// How long it takes to reach its whole speed.
    pub slow_start_duration: Duration,
}

/// A pod; `T` names a request.
#[derive(Debug)]
pub struct PodModel<T> {
    machine: Machine,
    started_at: Duration,
    warming_up: bool,
    /// Work takes so many times as long.
    pub slowdown: f64,
    /// Begins nothing as long as it hangs; what it works on goes on.
    pub hung: bool,
    in_work: usize,
    queue: VecDeque<Queued<T>>,
}

#[derive(Debug)]
struct Queued<T> {
    request: T,
    work: Duration,
    deadline: Duration,
}

/// What becomes of a request that waited.
#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    /// It is worked on until that time.
    Begun(T, Duration),
    /// Nobody waits for it any more, so that it is not begun.
    Expired(T),
}

/// What becomes of a request that arrives.
#[derive(Debug, PartialEq)]
pub enum Arrival<T> {
    /// It is worked on until that time.
    Begun(T, Duration),
    /// It waits.
    Queued,
    /// The queue is full.
    Rejected(T),
}

impl<T> PodModel<T> {
    /// A pod that starts at that time, and warms up or has its whole speed.
    #[must_use]
    pub fn new(machine: Machine, started_at: Duration, warming_up: bool) -> Self {
        Self {
            machine,
            started_at,
            warming_up,
            slowdown: 1.0,
            hung: false,
            in_work: 0,
            queue: VecDeque::new(),
        }
    }

    /// The part of its whole speed that it has by now.
    #[must_use]
    pub fn speed(&self, now: Duration) -> f64 {
        if !self.warming_up {
            return 1.0;
        }
        let duration = self.machine.slow_start_duration.as_secs_f64();
        let age = now.saturating_sub(self.started_at).as_secs_f64()
            / duration.max(MIN_SLOW_START_SECONDS);
        (self.machine.slow_start_from + (1.0 - self.machine.slow_start_from) * age).min(1.0)
    }

    /// A request that is waited for until `deadline`, and is so much work for a core at its whole speed.
    pub fn arrive(
        &mut self,
        request: T,
        work: Duration,
        deadline: Duration,
        now: Duration,
    ) -> Arrival<T> {
        if self.in_work < self.machine.cores && !self.hung {
            return Arrival::Begun(request, self.begin(work, now));
        }
        if self.queue.len() >= self.machine.queue_limit {
            return Arrival::Rejected(request);
        }
        self.queue.push_back(Queued {
            request,
            work,
            deadline,
        });
        Arrival::Queued
    }

    fn begin(&mut self, work: Duration, now: Duration) -> Duration {
        self.in_work += 1;
        now + work.mul_f64(self.slowdown / self.speed(now))
    }

    /// One of the requests in work is done.
    pub fn finish(&mut self) {
        self.in_work = self.in_work.saturating_sub(1);
    }

    /// The next request that waited, if a core is free for it.
    pub fn dequeue(&mut self, now: Duration) -> Option<Dequeued<T>> {
        if self.hung || self.in_work >= self.machine.cores {
            return None;
        }
        let Queued {
            request,
            work,
            deadline,
        } = self.queue.pop_front()?;
        if now >= deadline {
            return Some(Dequeued::Expired(request));
        }
        Some(Dequeued::Begun(request, self.begin(work, now)))
    }
}
