//! Tests the actions that signals request.

use super::*;
use rstest::rstest;

#[rstest]
#[case::sighup(1, ProcessSignal::Reload)]
#[case::sigint(2, ProcessSignal::Shutdown)]
#[case::sigterm(15, ProcessSignal::Shutdown)]
fn watched_signals_request_their_action(#[case] number: i32, #[case] expected: ProcessSignal) {
    assert!(WATCHED.contains(&number));
    assert_eq!(ProcessSignal::from_number(number), expected);
}
