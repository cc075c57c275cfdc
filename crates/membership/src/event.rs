//! What the host is notified of.

use crate::status::MemberName;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member joined, restarted, refuted a suspicion or came back.
    Up(MemberName),
    /// A member did not answer and may still refute the suspicion.
    Suspected(MemberName),
    /// A member did not refute a suspicion in time.
    Down(MemberName),
    /// A member left of its own will.
    Left(MemberName),
    /// Another process has this member's name and started later: this one sends nothing any more.
    Superseded,
}
