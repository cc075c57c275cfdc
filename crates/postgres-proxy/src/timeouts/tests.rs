//! Tests that the timeouts of this proxy are compatible with the platform protocol.

use super::{
    reload_delay, response_margin, shutdown_timeouts, ENDPOINT_LEASE, WATCH_ANSWER_TIMEOUT,
    WATCH_SILENCE_TIMEOUT,
};
use limewing_decision::WATCH_RETRY_DELAY;
use rstest::rstest;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An update missed by a silent watch takes effect after 6 s: if the first retry gets no response
/// either, there is time for a second one.
#[test]
fn silent_watch_is_retried_twice_within_the_lease() {
    let second_retry =
        WATCH_SILENCE_TIMEOUT + WATCH_RETRY_DELAY + WATCH_ANSWER_TIMEOUT + WATCH_RETRY_DELAY;
    assert!(second_retry < ENDPOINT_LEASE, "{second_retry:?}");
}

/// A changed address takes effect after 4 s: the last attempt to read a partly written file comes
/// before that.
#[test]
fn configuration_reload_is_retried_in_time_and_a_limited_number_of_times() {
    let delays: Vec<Duration> = (0..100).map_while(reload_delay).collect();
    assert!(
        delays.len() > 1 && delays.iter().sum::<Duration>() < ms(4000),
        "{delays:?}"
    );
}

/// The kill comes no earlier than 0.7 s after the longest deadline, which counts as at most 3 s.
#[rstest]
#[case::short(100, 800)]
#[case::usual(2500, 3200)]
#[case::long(44_000, 3700)]
fn requests_are_answered_before_the_kill(#[case] longest_ms: u64, #[case] kill_ms: u64) {
    let timeouts = shutdown_timeouts(ms(longest_ms));
    assert!(
        ms(400) < timeouts.stop_accepting && timeouts.stop_accepting <= timeouts.respond_to_all,
        "{timeouts:?}"
    );
    assert!(
        timeouts.respond_to_all < timeouts.exit && timeouts.exit < ms(kill_ms),
        "{timeouts:?}"
    );
}

#[rstest]
#[case::none(0, 0)]
#[case::short(80, 10)]
#[case::usual(2000, 30)]
fn response_margin_is_a_small_part_of_a_short_timeout(
    #[case] timeout_ms: u64,
    #[case] expected: u64,
) {
    assert_eq!(response_margin(ms(timeout_ms)), ms(expected));
}
