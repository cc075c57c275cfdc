//! The model of one pod, without I/O: cores that run requests, a bounded queue, and a slow start.

use std::collections::VecDeque;
use std::time::Duration;

/// The lower bound of the slow start as a divisor, for pods without one.
const MIN_SLOW_START_SECONDS: f64 = 1e-9;

/// The resources of a pod.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// The number of requests that run at once.
    pub cores: usize,
    /// The number of requests that may be queued in addition.
    pub queue_limit: usize,
    /// The fraction of its full speed that a pod starts with.
    pub slow_start_from: f64,
    /// How long it takes to reach its full speed.
    pub slow_start_duration: Duration,
}

/// The state of a pod; `T` identifies a request.
#[derive(Debug)]
pub struct PodModel<T> {
    machine: Machine,
    started_at: Duration,
    warming_up: bool,
    /// The factor by which work takes longer.
    pub slowdown: f64,
    /// Whether the pod hangs: it begins no requests, while running ones continue.
    pub hung: bool,
    running: usize,
    queue: VecDeque<Queued<T>>,
}

#[derive(Debug)]
struct Queued<T> {
    request: T,
    work: Duration,
    deadline: Duration,
}

/// The outcome of a request that was queued.
#[derive(Debug, PartialEq)]
pub enum Dequeued<T> {
    /// It runs until that time.
    Begun(T, Duration),
    /// Its deadline has passed, so that it is not begun.
    Expired(T),
}

/// The outcome of a request that arrives.
#[derive(Debug, PartialEq)]
pub enum Arrival<T> {
    /// It runs until that time.
    Begun(T, Duration),
    /// It is queued.
    Queued,
    /// The queue is full.
    Rejected(T),
}

impl<T> PodModel<T> {
    /// Creates a pod that starts at that time, and warms up or has its full speed.
    #[must_use]
    pub fn new(machine: Machine, started_at: Duration, warming_up: bool) -> Self {
        Self {
            machine,
            started_at,
            warming_up,
            slowdown: 1.0,
            hung: false,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// The fraction of its full speed that it has at this time.
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

    /// Begins, queues or rejects a request with this deadline; `work` is its run time on a core at full speed.
    pub fn arrive(
        &mut self,
        request: T,
        work: Duration,
        deadline: Duration,
        now: Duration,
    ) -> Arrival<T> {
        if self.running < self.machine.cores && !self.hung {
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
        self.running += 1;
        now + work.mul_f64(self.slowdown / self.speed(now))
    }

    /// Frees the core of a request that has finished.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes the next request from the queue, if a core is free for it.
    pub fn dequeue(&mut self, now: Duration) -> Option<Dequeued<T>> {
        if self.hung || self.running >= self.machine.cores {
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
