//! Deadlines of an event loop, and the duration from which a turn counts as slow.

use crate::clock::Clock;
use std::time::Duration;

/// A turn that takes longer than this is logged, because requests that arrived meanwhile were
/// delayed by it.
pub const SLOW_TURN: Duration = Duration::from_millis(20);

/// Returns the earliest of the next wake-up of the decision engine and the optional deadlines of
/// the components of the proxy.
pub fn earliest_deadline(
    engine_wake_at: Duration,
    deadlines: impl IntoIterator<Item = Option<Duration>>,
) -> Duration {
    deadlines
        .into_iter()
        .flatten()
        .fold(engine_wake_at, Duration::min)
}

/// Returns how long to wait for socket events: until `deadline`, or not at all while events are
/// queued for the decision engine.
///
/// The clock is read only if the result depends on it.
#[must_use]
pub fn poll_timeout(clock: &Clock, deadline: Duration, has_events: bool) -> Duration {
    if has_events {
        return Duration::ZERO;
    }
    deadline.saturating_sub(clock.now())
}

#[cfg(test)]
mod tests;
