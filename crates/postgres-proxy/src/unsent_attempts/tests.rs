//! Tests what the failure of a connection proves about its attempt.

use super::{after_connection_loss, after_protocol_violation, FailureVerdict};
use rstest::rstest;
use std::io::ErrorKind;

#[rstest]
#[case::refused(true, ErrorKind::ConnectionRefused, 0, FailureVerdict::Unreachable)]
#[case::timed_out(true, ErrorKind::TimedOut, 0, FailureVerdict::Unreachable)]
#[case::reset_early(true, ErrorKind::ConnectionReset, 0, FailureVerdict::Reconnect)]
#[case::reset_early_too_often(true, ErrorKind::ConnectionReset, 3, FailureVerdict::Unreachable)]
#[case::reset_late(false, ErrorKind::ConnectionReset, 0, FailureVerdict::MayHaveRun)]
#[case::refused_late(false, ErrorKind::ConnectionRefused, 0, FailureVerdict::MayHaveRun)]
fn lost_connection_proves_that_only_unwritten_attempts_did_not_run(
    #[case] is_unwritten: bool,
    #[case] error: ErrorKind,
    #[case] broken_connections: u8,
    #[case] expected: FailureVerdict,
) {
    assert_eq!(
        after_connection_loss(is_unwritten, error, broken_connections),
        expected
    );
}

#[rstest]
#[case::left_from_the_previous_request(false, true, 0, FailureVerdict::Reconnect)]
#[case::too_often(false, true, 3, FailureVerdict::Unreachable)]
#[case::during_session_start(true, true, 0, FailureVerdict::Unreachable)]
#[case::instead_of_an_answer(false, false, 0, FailureVerdict::MayHaveRun)]
fn protocol_violation_proves_that_only_unwritten_attempts_did_not_run(
    #[case] is_connecting: bool,
    #[case] is_unwritten: bool,
    #[case] broken_connections: u8,
    #[case] expected: FailureVerdict,
) {
    assert_eq!(
        after_protocol_violation(is_connecting, is_unwritten, broken_connections),
        expected
    );
}
