//! Which clients' connections without a request are closed, and when.

use std::time::Duration;

/// A connection without a request may be closed after this time, where many are open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection counts as idle after this time at the least: its first statement may be on its way.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// One in so many idle connections is closed where clients wait to be accepted.
const EVICTION_DIVISOR: usize = 8;

/// A client's connection that has no request. Ordered by who is evicted first: clients that were never answered, then
/// those idle for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleClient {
    /// Whether it has had the answer to a request.
    pub was_served: bool,
    /// Since when it is idle, on the sidecar's monotonic clock.
    pub since: Duration,
}

/// Whether a connection may be closed because more than half of `max_clients` are connected: some clients keep theirs
/// for good.
#[must_use]
pub fn is_idle_for_long(
    idle: &IdleClient,
    clients: usize,
    max_clients: usize,
    now: Duration,
) -> bool {
    clients > max_clients / 2 && idle.was_served && now >= idle.since + IDLE_TIMEOUT
}

/// The connections to close where others wait to be accepted, in order.
pub fn select_for_eviction<T: Ord>(idle: Vec<(IdleClient, T)>, now: Duration) -> Vec<T> {
    let mut candidates: Vec<(IdleClient, T)> = idle
        .into_iter()
        .filter(|(client, _)| now >= client.since + MIN_IDLE_TIME)
        .collect();
    candidates.sort_unstable();
    let evicted = candidates.len().div_ceil(EVICTION_DIVISOR);
    candidates
        .into_iter()
        .take(evicted)
        .map(|(_, connection)| connection)
        .collect()
}

#[cfg(test)]
mod tests;
