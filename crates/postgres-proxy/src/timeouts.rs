//! Timeouts of this proxy, and deadlines of its own steps. No I/O and no clock.

use limewing_proxy_core::shutdown::ShutdownTimeouts;
use std::time::Duration;

/// A client is disconnected if its connection is idle for longer than this without a complete
/// message.
pub const CLIENT_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between searches for client connections that exceed the idle timeout.
pub const IDLE_CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A client that has not read its last response for this time is disconnected if memory is short.
pub const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a client gets the error for an invalid message. Nothing is read from it during this
/// time, so that a client that resends the same message immediately does not take processor time
/// from others.
pub const PROTOCOL_ERROR_DELAY: Duration = Duration::from_millis(1000);
/// The final response to a request is sent this long before its deadline, or an eighth of its
/// timeout before it if that is less.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Divisor of the timeout; see [`RESPONSE_MARGIN`].
const RESPONSE_MARGIN_DIVISOR: u32 = 8;

/// Returns how long before the deadline of its client a request with this timeout must be answered.
#[must_use]
pub fn response_margin(timeout: Duration) -> Duration {
    RESPONSE_MARGIN.min(timeout / RESPONSE_MARGIN_DIVISOR)
}

/// Maximum time between the answer of a pod and ReadyForQuery.
pub const READY_FOR_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time between the beginning and the end of an answer, which a pod writes at once. Limits
/// the wait for bytes that never arrive because a length is wrong; a pod that stalls in the middle
/// of an answer is disconnected.
pub const ANSWER_COMPLETION_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum time between an answer on a connection and the next attempt. Some pods send a duplicate
/// of the answer some milliseconds later; within this time it is detected, instead of being taken
/// for the next answer.
pub const MIN_REUSE_DELAY: Duration = Duration::from_millis(50);
/// How long the last byte of an attempt is held back after the preceding empty query is answered: a
/// reset caused by the first bytes arrives immediately after that answer.
pub const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// Fraction of the idle timeout of the pods after which this side closes idle connections, so that
/// a pod does not close one while an attempt is being sent.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Returns how long an idle connection to a pod is kept, where pods close theirs after
/// `pod_idle_timeout`.
#[must_use]
pub fn upstream_idle_timeout(pod_idle_timeout: Duration) -> Duration {
    pod_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
}

/// How long an endpoint list is relied on after its watch is lost: after this time, the sidecar is
/// expected to know what discovery has sent, whether it arrived or not.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(6);
/// The same as [`ENDPOINT_LEASE`], after a new configuration has changed the address of discovery.
pub const ENDPOINT_LEASE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Discovery sends an empty line on a watch every two seconds; a watch without a complete line or
/// object for this time is lost.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Maximum time until the response to a watch request begins; its first object is then subject to
/// [`WATCH_SILENCE_TIMEOUT`]. Discovery processes its calls in turn, and rejects one that has
/// waited for two seconds. With a shorter timeout, an abandoned call would stay in its queue and be
/// processed in vain.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(2100);
/// The rollout service sends a line on its stream every second; a stream without one for this time
/// is lost.
pub const STAGE_STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Delay before an invalid configuration is read again; doubled after each failure. The file may be
/// only partly written when the signal arrives. A changed address takes effect after 4 s.
const RELOAD_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that an invalid configuration is read again.
const MAX_RELOADS: u32 = 6;

/// Returns the delay before an invalid configuration is read again, or `None` after too many
/// `failures`.
#[must_use]
pub fn reload_delay(failures: u32) -> Option<Duration> {
    if failures >= MAX_RELOADS {
        return None;
    }
    Some(RELOAD_DELAY * (1 << failures))
}

/// How long connections are accepted after the shutdown has begun: under the platform protocol,
/// clients still connect for 0.2 to 0.4 s, and some connections are in transit.
pub const STOP_ACCEPTING_TIMEOUT: Duration = Duration::from_millis(550);
/// A sidecar that is shutting down is killed no earlier than after the longest deadline, but at
/// most this, plus [`KILL_DELAY`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the longest deadline and the kill; see [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Every request is answered this long before the kill, because its client still has to read the
/// response.
const RESPOND_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The process exits this long before the kill.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);

/// Returns the timeouts of a shutdown, given the longest client timeout in the settings. A request
/// with a longer timeout is cut short.
#[must_use]
pub fn shutdown_timeouts(longest_client_timeout: Duration) -> ShutdownTimeouts {
    let kill = longest_client_timeout.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    ShutdownTimeouts {
        stop_accepting: STOP_ACCEPTING_TIMEOUT,
        respond_to_all: kill - RESPOND_BEFORE_KILL,
        exit: kill - EXIT_BEFORE_KILL,
    }
}

#[cfg(test)]
mod tests;
