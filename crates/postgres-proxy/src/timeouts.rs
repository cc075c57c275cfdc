//! How long this proxy waits for each party, and by when its own steps are due. No I/O and no clock.

use limewing_proxy_core::shutdown::ShutdownTimeouts;
use std::time::Duration;

/// A client whose connection is idle for longer, without a complete message, is disconnected.
pub const CLIENT_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often clients' connections are looked through for those that have been idle for long.
pub const IDLE_CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A client that can't be understood gets its error after this time, and is read no further meanwhile, so that one that
/// sends the same again at once does not take the processor from the others.
pub const PROTOCOL_ERROR_DELAY: Duration = Duration::from_millis(1000);
/// The final answer of a request is on its way this long before its deadline, or an eighth of its timeout, if that is
/// less.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// See [`RESPONSE_MARGIN`].
const RESPONSE_MARGIN_DIVISOR: u32 = 8;

/// How long before its client's deadline a request with this timeout has to be answered.
#[must_use]
pub fn response_margin(timeout: Duration) -> Duration {
    RESPONSE_MARGIN.min(timeout / RESPONSE_MARGIN_DIVISOR)
}

/// How long a pod may take for ReadyForQuery, once it has answered.
pub const READY_FOR_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// An answer that has begun is complete within this time, as a pod writes it in one go. Bounds the wait for lengths that
/// don't fit, for which nothing more ever comes; a pod that stalls in the middle of an answer is cut off by it.
pub const ANSWER_COMPLETION_TIMEOUT: Duration = Duration::from_millis(150);
/// A connection that has just carried an answer carries no attempt for this time. A duplicate of the answer, which some
/// pods send some milliseconds late, then is seen, instead of being taken for the next answer.
pub const CONNECTION_REST: Duration = Duration::from_millis(50);
/// How long the last byte of an attempt is held back once the empty query before it is answered: a reset that the first
/// bytes caused comes right behind that answer.
pub const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);
/// The part of the pods' idle timeout after which idle connections are closed from this side, so that the pod's own close
/// does not cross an attempt.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// How long an idle connection to a pod is kept, where pods close theirs after `pod_idle_timeout`.
#[must_use]
pub fn upstream_idle_timeout(pod_idle_timeout: Duration) -> Duration {
    pod_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
}

/// What discovery has to tell counts as known after this time, whether it arrived or not: a list whose watch is lost is
/// relied on for so long.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(6);
/// The same once a new configuration has moved discovery.
pub const ENDPOINT_LEASE_AFTER_MOVE: Duration = Duration::from_secs(4);
/// An empty line comes on a watch every two seconds; a watch without a complete line or object for longer is lost.
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2300);
/// The answer to a watch begins within this time; its first object is then waited for as any other. Discovery works
/// through its calls in turn, and refuses one that waited for two seconds; to give up sooner would leave the call in its
/// queue, to be worked on for nobody.
pub const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(2100);
/// The stream of rollouts has a line every second; without one for longer it is lost.
pub const STAGE_STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A new configuration may be half written when its signal comes: one that can't be used is read again after this delay,
/// then after twice as long each time. What it moves binds after 4 s.
const RELOAD_DELAY: Duration = Duration::from_millis(50);
/// How often such a configuration is read again.
const MAX_RELOADS: u32 = 6;

/// The delay before a configuration that could not be used is read again; `None` after too many `failures`.
#[must_use]
pub fn reload_delay(failures: u32) -> Option<Duration> {
    if failures >= MAX_RELOADS {
        return None;
    }
    Some(RELOAD_DELAY * (1 << failures))
}

/// How long connections are accepted after the shutdown has begun: clients still come for 0.2 to 0.4 s by the platform's
/// protocol, and some are on their way.
pub const STOP_ACCEPTING_TIMEOUT: Duration = Duration::from_millis(550);
/// A sidecar that shuts down is killed no sooner than the longest deadline, counted as this where it is longer, and
/// [`KILL_DELAY`] more.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// See [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// So long before the kill every request is answered, as its client still has to read the answer.
const RESPOND_BEFORE_KILL: Duration = Duration::from_millis(200);
/// So long before the kill the process exits.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);

/// The times of a shutdown, from the longest timeout that the settings name. A request with a longer one of its own is cut
/// short.
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
