//! Numbers of signals and what they ask for.

use super::*;
use rstest::rstest;

#[rstest]
#[case::sighup(1, ProcessSignal::Reload)]
#[case::sigint(2, ProcessSignal::Shutdown)]
#[case::sigterm(15, ProcessSignal::Shutdown)]
fn watched_signals_have_their_meaning(#[case] number: i32, #[case] meaning: ProcessSignal) {
    assert!(WATCHED.contains(&number));
    assert_eq!(ProcessSignal::from_number(number), meaning);
}
