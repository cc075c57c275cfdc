//! One pod as a model: cores that work hits off, a waiting room, and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    pub cores: usize,
    /// Hits that may wait beside those in work.
    pub waiting: usize,
    pub cold_from: f64,
    pub cold_for: Duration,
}

pub struct PodModel<T> {
    machine: Machine,
    up: Duration,
    cold: bool,
    /// Work takes so many times as long.
    pub slow: f64,
    /// Begins nothing while it hangs; what is in work stays there.
    pub hung: bool,
    working: usize,
    waiting: VecDeque<Waiting<T>>,
}

struct Waiting<T> {
    what: T,
    work: Duration,
    until: Duration,
}

/// What becomes of a hit that waited.
#[derive(Debug, PartialEq)]
pub enum Next<T> {
    /// In work until then.
    Begun(T, Duration),
    /// Nobody waits for it any more: it is not begun.
    Overdue(T),
}

#[derive(Debug, PartialEq)]
pub enum Arrival<T> {
    /// In work until then.
    Begun(T, Duration),
    Waits,
    TurnedAway(T),
}

impl<T> PodModel<T> {
    pub fn new(machine: Machine, up: Duration, cold: bool) -> Self {
        Self {
            machine,
            up,
            cold,
            slow: 1.0,
            hung: false,
            working: 0,
            waiting: VecDeque::new(),
        }
    }

    /// The part of its full strength that it has by now.
    pub fn strength(&self, now: Duration) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.saturating_sub(self.up).as_secs_f64()
            / self.machine.cold_for.as_secs_f64().max(1e-9);
        (self.machine.cold_from + (1.0 - self.machine.cold_from) * age).min(1.0)
    }

    /// A hit that is waited for until `until` and takes so much work on a warm core.
    pub fn arrive(
        &mut self,
        what: T,
        work: Duration,
        until: Duration,
        now: Duration,
    ) -> Arrival<T> {
        if self.working < self.machine.cores && !self.hung {
            return Arrival::Begun(what, self.begin(work, now));
        }
        if self.waiting.len() >= self.machine.waiting {
            return Arrival::TurnedAway(what);
        }
        self.waiting.push_back(Waiting { what, work, until });
        Arrival::Waits
    }

    fn begin(&mut self, work: Duration, now: Duration) -> Duration {
        self.working += 1;
        now + work.mul_f64(self.slow / self.strength(now))
    }

    /// A hit in work is done.
    pub fn finish(&mut self) {
        self.working = self.working.saturating_sub(1);
    }

    /// The next that waited, if a core is free for it.
    pub fn next(&mut self, now: Duration) -> Option<Next<T>> {
        if self.hung || self.working >= self.machine.cores {
            return None;
        }
        let Waiting { what, work, until } = self.waiting.pop_front()?;
        if now >= until {
            return Some(Next::Overdue(what));
        }
        Some(Next::Begun(what, self.begin(work, now)))
    }
}
