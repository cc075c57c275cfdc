//! Permission to write an attempt to its pod. Between the decision to send and the first byte a connection has to come up,
//! or to show that it lives; meanwhile the pod may be told to leave.

use limewing_decision::interface::{AttemptIndex, RequestId};
use limewing_decision::DecisionEngine;
use std::time::Duration;

/// What a permission is asked of.
pub trait SendAuthority {
    /// Whether the first byte of an attempt may leave now.
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool;
}

impl SendAuthority for DecisionEngine {
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        DecisionEngine::may_begin(self, now, hit, no)
    }
}

/// Proof that an attempt may be written now. It can't be kept: whoever writes later asks again.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// Asks whether an attempt may be written to its pod now; none if it may not.
    pub fn request(
        decisions: &(impl SendAuthority + ?Sized),
        now: Duration,
        hit: RequestId,
        no: AttemptIndex,
    ) -> Option<Self> {
        decisions.may_begin(now, hit, no).then_some(Self(()))
    }
}
