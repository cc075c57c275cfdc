//! Connections to pods that carry nothing now and wait for the next forward, and how long they may wait: what
//! stands between may forget them long before the time that is told, and a forward that is written to one then
//! may have run for all that its host can know.

use limewing_decision::interface::PodId;
use limewing_net::sockets::SocketId;
use limewing_net::wheel::TimerKey;
use std::collections::BTreeMap;
use std::time::Duration;

/// One kept connection.
#[derive(Clone, Copy, Debug)]
pub struct IdleConnection {
    pub id: SocketId,
    /// Closes it when it has been idle for long.
    pub timer: TimerKey,
    pub idle_since: Duration,
}

#[derive(Default)]
pub struct ConnectionPool(BTreeMap<PodId, Vec<IdleConnection>>);

impl ConnectionPool {
    pub fn insert(&mut self, pod: PodId, link: IdleConnection) {
        self.0.entry(pod).or_default().push(link);
    }

    /// The one that was used last: the others may grow old and close.
    pub fn take(&mut self, pod: PodId) -> Option<IdleConnection> {
        self.take_if(pod, |_| true)
    }

    /// Of those that fit the one that was used last.
    pub fn take_if(
        &mut self,
        pod: PodId,
        fits: impl Fn(&IdleConnection) -> bool,
    ) -> Option<IdleConnection> {
        let links = self.0.get_mut(&pod)?;
        let last = links
            .iter()
            .rposition(fits)
            .map(|place| links.remove(place));
        if links.is_empty() {
            self.0.remove(&pod);
        }
        last
    }

    /// Takes one out; its timer is to be cancelled.
    pub fn remove(&mut self, pod: PodId, link: SocketId) -> Option<TimerKey> {
        let links = self.0.get_mut(&pod)?;
        let place = links.iter().position(|kept| kept.id == link)?;
        let gone = links.remove(place);
        if links.is_empty() {
            self.0.remove(&pod);
        }
        Some(gone.timer)
    }

    pub fn connections_to(&self, pod: PodId) -> Vec<SocketId> {
        self.0
            .get(&pod)
            .into_iter()
            .flatten()
            .map(|link| link.id)
            .collect()
    }

    /// The oldest one of the pod that most are kept to.
    pub fn eviction_candidate(&self) -> Option<SocketId> {
        let most = self.0.values().max_by_key(|links| links.len())?;
        most.first().map(|link| link.id)
    }

    pub fn len(&self) -> usize {
        self.0.values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Spans of idleness, each longer by half than the one before.
const SPANS: usize = 24;
const SHORTEST_MS: f64 = 4.0;
const STEP: f64 = 1.5;
/// So many must have broken before a span is held to be too long, and half as many as lived: chance alone, or a
/// pod that dies, breaks fewer.
const LEAST_BROKEN: u32 = 6;
/// What was learned is forgotten after this time: what stands between may have been set right.
const ESTIMATE_TTL: Duration = Duration::from_secs(60);

/// Learns after what time connections are forgotten by what stands between. Guards against forwards on dead
/// connections, which fail hits that must not run twice and speak against sound pods. Hurts by new connections
/// where chance alone broke many that had been idle for long.
#[derive(Default)]
pub struct IdleTimeoutEstimator {
    /// By span: those that lived, and those that broke before a word was heard.
    seen: [(u32, u32); SPANS],
    since: Duration,
    most: Option<Duration>,
}

fn span_of(idle: Duration) -> usize {
    let times = (idle.as_secs_f64() * 1e3 / SHORTEST_MS).max(1.0);
    ((times.ln() / STEP.ln()) as usize).min(SPANS - 1)
}

impl IdleTimeoutEstimator {
    /// A connection that had been idle for so long lived, or broke, under the next forward.
    pub fn record(&mut self, idle: Duration, lived: bool, now: Duration) {
        if now > self.since + ESTIMATE_TTL {
            *self = Self {
                since: now,
                ..Self::default()
            };
        }
        let seen = &mut self.seen[span_of(idle)];
        *(if lived { &mut seen.0 } else { &mut seen.1 }) += 1;
        if !lived {
            self.most = self.shortest_that_breaks();
        }
    }

    fn shortest_that_breaks(&self) -> Option<Duration> {
        let (mut lived, mut broke, mut found) = (0, 0, None);
        for (span, here) in self.seen.iter().enumerate().rev() {
            (lived, broke) = (lived + here.0, broke + here.1);
            if broke >= LEAST_BROKEN && 2 * broke > lived && 2 * here.1 > here.0 {
                found = Some(Duration::from_secs_f64(
                    SHORTEST_MS * STEP.powi(span as i32) / 1e3,
                ));
            }
        }
        found
    }

    /// Whether one that has been idle for so long may still be used.
    pub fn is_reusable(&self, idle: Duration) -> bool {
        self.most.is_none_or(|most| idle < most)
    }

    /// How long one may be kept, of the time that is told.
    pub fn idle_timeout(&self, told: Duration) -> Duration {
        self.most.map_or(told, |most| most.min(told))
    }
}

#[cfg(test)]
mod tests;
