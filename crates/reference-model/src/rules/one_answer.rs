//! Rule 1: every request gets one answer, in time, and nothing is sent or answered after it.

use crate::history::{ProposedAttempt, RequestHistory};
use crate::violation::{Rule, RuleBroken};
use std::time::Duration;

/// How much later than its deadline a request may be answered: the sidecar is only stepped every few milliseconds.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(20);

/// Nothing is sent once the request has its answer. What the sidecar learned in this very turn may have crossed.
pub(crate) fn check_attempt(attempt: &ProposedAttempt<'_>) -> Result<(), RuleBroken> {
    let request = attempt.request;
    let id = request.request.id;
    let turn = attempt.sidecar.turn;
    if request.answered_turn.is_some() {
        return Err(broken(format!("{id:?} is attempted after its answer")));
    }
    if is_earlier(request.over_turn, turn) {
        return Err(broken(format!(
            "{id:?} is attempted after the sidecar knew that it is over"
        )));
    }
    if is_earlier(request.stream_turn, turn) {
        return Err(broken(format!(
            "{id:?} is attempted while its response streams"
        )));
    }
    Ok(())
}

/// A request is answered once, in time, and not beside another answer.
pub(crate) fn check_answer(
    request: &RequestHistory,
    turn: usize,
    now: Duration,
) -> Result<(), RuleBroken> {
    let id = request.request.id;
    if request.answered_turn.is_some() {
        return Err(broken(format!("{id:?} is answered twice")));
    }
    if is_earlier(request.over_turn, turn) {
        return Err(broken(format!(
            "{id:?} is answered after the sidecar knew that it is over"
        )));
    }
    if is_earlier(request.stream_turn, turn) {
        return Err(broken(format!(
            "{id:?} is answered while its response streams"
        )));
    }
    if is_late(request, now) {
        return Err(broken(format!("{id:?} is answered late")));
    }
    Ok(())
}

/// A request whose deadline has passed has an answer.
pub(crate) fn check_overdue(request: &RequestHistory, now: Duration) -> Result<(), RuleBroken> {
    let has_answer = request.answered_turn.is_some()
        || request.over_turn.is_some()
        || request.stream_turn.is_some();
    if !has_answer && is_late(request, now) {
        return Err(broken(format!(
            "{:?}, due at {:?}, has no answer",
            request.request.id, request.request.deadline
        )));
    }
    Ok(())
}

fn is_late(request: &RequestHistory, now: Duration) -> bool {
    now > request.answer_due + ANSWER_TOLERANCE
}

fn is_earlier(turn: Option<usize>, current: usize) -> bool {
    turn.is_some_and(|turn| turn < current)
}

fn broken(description: String) -> RuleBroken {
    RuleBroken::new(Rule::OneAnswer, description)
}
