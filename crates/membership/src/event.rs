//! Events reported to the host.

use crate::status::MemberName;

/// A change in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member joined, restarted, refuted a suspicion or became reachable again.
    Up(MemberName),
    /// A member did not answer a probe and may still refute the suspicion.
    Suspected(MemberName),
    /// A member did not refute a suspicion in time.
    Down(MemberName),
    /// A member left voluntarily.
    Left(MemberName),
    /// Another process with this member's name started later, so this member stops sending.
    Superseded,
}
