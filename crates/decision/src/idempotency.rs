//! Rule 2: no request takes effect twice.

use crate::context::Context;
use crate::interface::{Endpoint, Idempotency};
use crate::message::Refusal;
use crate::request_state::{AttemptRecord, RequestRecord};
use std::time::Duration;

/// Rule 2: an attempt that could repeat the effect of an earlier one is refused. This is possible
/// only if the earlier attempt may have run.
pub(crate) fn check_idempotency(
    request: &RequestRecord,
    to: &Endpoint,
    context: &Context,
) -> Result<(), Refusal> {
    let in_flight = || {
        request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome.is_none())
    };
    if !context.config.hedging && in_flight() {
        return Err(Refusal::MayHaveRun);
    }
    let idempotency = context.config.class(request.class).idempotency;
    if is_safe_to_run(idempotency, request.attempts.iter(), to, context.now) {
        Ok(())
    } else {
        Err(Refusal::MayHaveRun)
    }
}

/// Rule 2: returns whether an attempt may run at a pod without repeating the effect of the others
/// of its request.
pub(crate) fn is_safe_to_run<'a>(
    idempotency: Idempotency,
    others: impl Iterator<Item = &'a AttemptRecord>,
    to: &Endpoint,
    now: Duration,
) -> bool {
    let mut may_have_run = others.filter(|attempt| attempt.may_have_run());
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => may_have_run.next().is_none(),
        Idempotency::Keyed {
            deduplicated_by,
            window,
        } => may_have_run.all(|attempt| {
            attempt.is_deduplicated_by(to, deduplicated_by) && now < attempt.sent_at + window
        }),
    }
}
