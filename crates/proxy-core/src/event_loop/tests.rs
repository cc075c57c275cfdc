//! Tests when the event loop wakes up.

use super::*;
use crate::clock::EPOCH_LEAD;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn earliest_deadline_is_the_least_of_all_that_exist() {
    assert_eq!(earliest_deadline(seconds(5), [None, None]), seconds(5));
    assert_eq!(
        earliest_deadline(seconds(5), [Some(seconds(7)), Some(seconds(3)), None]),
        seconds(3)
    );
    assert_eq!(
        earliest_deadline(seconds(2), [Some(seconds(7)), Some(seconds(3))]),
        seconds(2)
    );
}

#[test]
fn poll_does_not_wait_while_events_are_pending() {
    let clock = Clock::default();
    let deadline = EPOCH_LEAD + seconds(100);
    assert_eq!(poll_timeout(&clock, deadline, true), Duration::ZERO);
    let timeout = poll_timeout(&clock, deadline, false);
    assert!(timeout > seconds(50) && timeout <= seconds(100));
}

#[test]
fn poll_does_not_wait_for_a_deadline_in_the_past() {
    assert_eq!(
        poll_timeout(&Clock::default(), Duration::ZERO, false),
        Duration::ZERO
    );
}
