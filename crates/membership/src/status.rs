//! Names and statuses of members, and the updates that spread them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Longest name of a member, in bytes: names are repeated in each update of each datagram.
const MAX_NAME_BYTES: usize = 64;

/// A member's name, 1 to 64 bytes, the same over restarts of its process.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberName(String);

/// A name that is empty or too long.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a member's name of {length} bytes, expected 1 to {MAX_NAME_BYTES}")]
pub struct MemberNameError {
    /// Bytes of the rejected name.
    pub length: usize,
}

impl MemberName {
    pub(crate) fn byte_count(&self) -> usize {
        self.0.len()
    }
}

impl TryFrom<String> for MemberName {
    type Error = MemberNameError;

    fn try_from(name: String) -> Result<Self, MemberNameError> {
        match name.len() {
            1..=MAX_NAME_BYTES => Ok(Self(name)),
            length => Err(MemberNameError { length }),
        }
    }
}

impl From<MemberName> for String {
    fn from(name: MemberName) -> Self {
        name.0
    }
}

impl fmt::Debug for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Status of a member. Within one incarnation a later variant overrides an earlier one (SWIM, section 4.2); the order is
/// also that of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers probes, or nobody has noticed that it does not.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
    /// It left of its own will: final for this process.
    Left,
}

impl MemberStatus {
    /// Alive or suspect: still a part of the group.
    pub(crate) fn is_active(self) -> bool {
        self <= Self::Suspect
    }
}

/// The status of one member, as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Whose status this is.
    pub name: MemberName,
    /// When the member's process started, Unix time in milliseconds; a name that comes back has a later one.
    pub started_at_ms: u64,
    /// SWIM's incarnation number: raised only by the member itself, to refute a suspicion (SWIM, section 4.2).
    pub incarnation: u32,
    /// The status.
    pub status: MemberStatus,
    /// Where the member receives datagrams.
    pub address: SocketAddr,
}

impl StatusUpdate {
    /// Of two updates on one name the one with the greater precedence overrides the other.
    pub(crate) fn precedence(&self) -> (u64, bool, u32, MemberStatus) {
        (
            self.started_at_ms,
            self.status == MemberStatus::Left,
            self.incarnation,
            self.status,
        )
    }

    pub(crate) fn with_status(self, status: MemberStatus) -> Self {
        Self { status, ..self }
    }
}
