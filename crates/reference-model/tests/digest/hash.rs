//! The hash that a digest is.

use limewing_decision::interface::{Action, Verdict};
use std::time::Duration;

/// 64-bit FNV-1a.
pub(super) struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    pub(super) fn new() -> Self {
        Self(Self::OFFSET_BASIS)
    }

    pub(super) fn number(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Self::PRIME);
        }
    }

    pub(super) fn span(&mut self, span: Duration) {
        self.number(span.as_nanos() as u64);
    }

    pub(super) fn action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                pod,
                timeout,
            } => {
                self.number(0);
                self.number(request.0);
                self.number(pod.0);
                self.span(*timeout);
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(1);
                self.number(request.0);
                self.number(attempt.0.into());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.number(2);
                self.number(request.0);
                self.span(*retry_after);
            }
            Action::Fail { request } => {
                self.number(3);
                self.number(request.0);
            }
            Action::Vote {
                verdict,
                build,
                stage,
            } => {
                self.number(4);
                self.number(verdict_number(*verdict) as u64);
                self.number(build.0.into());
                self.number(stage.0.into());
            }
            Action::WatchEndpoints => self.number(5),
            Action::WakeAt { at } => {
                self.number(6);
                self.span(*at);
            }
            Action::Log(_) => self.number(7),
        }
    }

    pub(super) fn value(&self) -> u64 {
        self.0
    }
}

/// A number for each verdict, which its name and order in the code do not change.
pub(super) fn verdict_number(verdict: Verdict) -> usize {
    match verdict {
        Verdict::Abstain => 0,
        Verdict::Promote => 1,
        Verdict::Hold => 2,
        Verdict::RollBack => 3,
    }
}
