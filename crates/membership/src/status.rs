//! Names and statuses of members, and the updates that disseminate them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a name in bytes. It is short because each update in each datagram repeats the
/// name.
const MAX_NAME_BYTES: usize = 64;

/// Name of a member, 1 to 64 bytes, which stays the same when its process restarts.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberName(String);

/// The name is empty or too long.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("member name has {length} bytes, expected 1 to {MAX_NAME_BYTES}")]
pub struct MemberNameError {
    /// Length of the rejected name in bytes.
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

/// Status of a member. Within one incarnation a later variant overrides an earlier one (SWIM,
/// section 4.2). The order of variants is also the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member answers probes, or its failure has not been detected.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member left voluntarily, which is final for its process.
    Left,
}

impl MemberStatus {
    /// Returns whether the member is alive or suspect, and thus still part of the group.
    pub(crate) fn is_active(self) -> bool {
        self <= Self::Suspect
    }
}

/// Status of one member as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// Name of the member.
    pub name: MemberName,
    /// Start of the member's process, Unix time in milliseconds; a restarted member has a later
    /// one.
    pub started_at_ms: u64,
    /// SWIM's incarnation number, raised only by the member itself to refute a suspicion (SWIM,
    /// section 4.2).
    pub incarnation: u32,
    /// Status of the member.
    pub status: MemberStatus,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
}

impl StatusUpdate {
    /// Returns the sort key of updates about one member: the greater one overrides the other.
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
