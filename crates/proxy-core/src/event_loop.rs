//! When an event loop wakes, and from when on a turn of it counts as slow.

use crate::clock::Clock;
use std::time::Duration;

/// A longer turn is logged: requests that arrived meanwhile have waited for it.
pub const SLOW_TURN: Duration = Duration::from_millis(20);

/// The earliest of the decision engine's next wake-up and the deadlines of the proxy's parts, which may have none.
pub fn earliest_deadline(
    engine_wake_at: Duration,
    deadlines: impl IntoIterator<Item = Option<Duration>>,
) -> Duration {
    deadlines
        .into_iter()
        .flatten()
        .fold(engine_wake_at, Duration::min)
}

/// How long to wait for sockets: until `deadline`, and not at all while events wait for the decision engine. The clock is
/// read only where it counts.
#[must_use]
pub fn poll_timeout(clock: &Clock, deadline: Duration, has_events: bool) -> Duration {
    if has_events {
        return Duration::ZERO;
    }
    deadline.saturating_sub(clock.now())
}

#[cfg(test)]
mod tests;
