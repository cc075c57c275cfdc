//! Hashing of actions.

use limewing_decision::interface::{Action, Verdict};
use limewing_test_support::digest::Digest;

/// Adds the number of an action's kind and the action's fields to a digest.
pub(super) fn hash_action(digest: &mut Digest, action: &Action) {
    match action {
        Action::StartAttempt {
            request,
            pod,
            timeout,
        } => {
            digest.number(0);
            digest.number(request.0);
            digest.number(pod.0);
            digest.time(*timeout);
        }
        Action::CancelAttempt { request, attempt } => {
            digest.number(1);
            digest.number(request.0);
            digest.number(attempt.0.into());
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            digest.number(2);
            digest.number(request.0);
            digest.time(*retry_after);
        }
        Action::Fail { request } => {
            digest.number(3);
            digest.number(request.0);
        }
        Action::Vote {
            verdict,
            build,
            stage,
        } => {
            digest.number(4);
            digest.number(verdict_number(*verdict) as u64);
            digest.number(build.0.into());
            digest.number(stage.0.into());
        }
        Action::WatchEndpoints => digest.number(5),
        Action::WakeAt { at } => {
            digest.number(6);
            digest.time(*at);
        }
        Action::Log(_) => digest.number(7),
    }
}

/// Returns a number for a verdict that does not depend on its name or on the order of the variants.
pub(super) fn verdict_number(verdict: Verdict) -> usize {
    match verdict {
        Verdict::Abstain => 0,
        Verdict::Promote => 1,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}
