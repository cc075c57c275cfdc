//! Rule 1: every request gets exactly one answer before its deadline, and nothing is sent or answered after it.

use crate::history::{ProposedAttempt, RequestHistory};
use crate::violation::{Rule, UnattributedViolation};
use std::time::Duration;

/// The tolerance on the deadline of a request, as the sidecar runs only once per simulation step.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(20);

/// Checks that no attempt starts after the request was answered. Notifications from the current turn may have crossed
/// the attempt and do not count.
pub(crate) fn check_attempt(attempt: &ProposedAttempt<'_>) -> Result<(), UnattributedViolation> {
    let request = attempt.request;
    let id = request.request.id;
    let turn = attempt.sidecar.turn;
    if request.answered_turn.is_some() {
        return Err(violation(format!("attempt of {id:?} after its answer")));
    }
    if is_earlier(request.finished_turn, turn) {
        return Err(violation(format!(
            "attempt of {id:?} after the sidecar was notified that it had finished"
        )));
    }
    if is_earlier(request.stream_turn, turn) {
        return Err(violation(format!(
            "attempt of {id:?} while its response is streaming"
        )));
    }
    Ok(())
}

/// Checks that a request is answered only once, on time, and not in addition to a pod's response.
pub(crate) fn check_answer(
    request: &RequestHistory,
    turn: usize,
    now: Duration,
) -> Result<(), UnattributedViolation> {
    let id = request.request.id;
    if request.answered_turn.is_some() {
        return Err(violation(format!("{id:?} is answered twice")));
    }
    if is_earlier(request.finished_turn, turn) {
        return Err(violation(format!(
            "{id:?} is answered after the sidecar was notified that it had finished"
        )));
    }
    if is_earlier(request.stream_turn, turn) {
        return Err(violation(format!(
            "{id:?} is answered while its response is streaming"
        )));
    }
    if is_late(request, now) {
        return Err(violation(format!("{id:?} is answered after its deadline")));
    }
    Ok(())
}

/// Checks that a request has an answer if its deadline has passed.
pub(crate) fn check_deadline(
    request: &RequestHistory,
    now: Duration,
) -> Result<(), UnattributedViolation> {
    let has_answer = request.answered_turn.is_some()
        || request.finished_turn.is_some()
        || request.stream_turn.is_some();
    if !has_answer && is_late(request, now) {
        return Err(violation(format!(
            "{:?}, due at {:?}, has no answer",
            request.request.id, request.request.deadline
        )));
    }
    Ok(())
}

fn is_late(request: &RequestHistory, now: Duration) -> bool {
    now > request.answer_deadline + ANSWER_TOLERANCE
}

fn is_earlier(turn: Option<usize>, current: usize) -> bool {
    turn.is_some_and(|turn| turn < current)
}

fn violation(description: String) -> UnattributedViolation {
    UnattributedViolation::new(Rule::OneAnswer, description)
}
