//! Selects the idle client connections to close.

use std::time::Duration;

/// A connection may be closed after it has been without a request for this time, if many are open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time without a request before a connection may be evicted: its first statement may be in
/// transit.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);
/// One in this many idle connections is closed while clients wait to be accepted.
const EVICTION_DIVISOR: usize = 8;

/// A client's connection without a request. The order is that of eviction: clients that were never
/// answered first, then the longest idle ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleClient {
    /// Whether it has received a response to a request.
    pub was_served: bool,
    /// When it became idle, on the monotonic clock of the sidecar.
    pub since: Duration,
}

/// Whether a connection may be closed because more than half of `max_clients` are connected and it
/// has exceeded the idle timeout. This is needed because some clients never close their
/// connections.
#[must_use]
pub fn exceeds_idle_timeout(
    idle: &IdleClient,
    clients: usize,
    max_clients: usize,
    now: Duration,
) -> bool {
    clients > max_clients / 2 && idle.was_served && now >= idle.since + IDLE_TIMEOUT
}

/// Returns the connections to close while others wait to be accepted, in eviction order.
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
