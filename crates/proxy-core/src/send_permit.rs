//! Permission to write an attempt to its pod.
//!
//! Between the decision to start an attempt and its first byte, a connection has to be opened or
//! checked. The pod may start draining in the meantime, so the decision is confirmed immediately
//! before the write.

use limewing_decision::interface::{AttemptIndex, RequestId};
use limewing_decision::DecisionEngine;
use std::time::Duration;

/// Confirms that an attempt may still be written.
pub trait SendAuthority {
    /// Whether the first byte of an attempt may be written at time `now`.
    fn may_send_first_byte(&self, now: Duration, request: RequestId, attempt: AttemptIndex)
        -> bool;
}

impl SendAuthority for DecisionEngine {
    fn may_send_first_byte(
        &self,
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        DecisionEngine::may_send_first_byte(self, now, request, attempt)
    }
}

/// Proof that an attempt may be written now. A later write needs a new permit.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

impl SendPermit {
    /// Requests the permit for one attempt. Returns `None` if it may not be written to its pod now.
    pub fn request(
        authority: &(impl SendAuthority + ?Sized),
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> Option<Self> {
        if authority.may_send_first_byte(now, request, attempt) {
            Some(Self(()))
        } else {
            None
        }
    }
}
