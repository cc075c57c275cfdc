//! What members say to each other, as it goes into a datagram.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Bytes of a datagram, at most: it goes through common networks in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
const MAX_NAME_BYTES: usize = 64;
/// Bytes of a parcel, at most.
pub const MAX_DIRECT_BYTES: usize = 1020;
/// Bytes of a poster, at most.
pub const MAX_PUBLISHED_BYTES: usize = 256;

/// A member's name, the same over its starts: 1 to 64 bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct MemberName(String);

impl MemberName {
    /// Its bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<String> for MemberName {
    type Error = String;
    fn try_from(name: String) -> Result<Self, String> {
        match name.len() {
            1..=MAX_NAME_BYTES => Ok(Self(name)),
            length => Err(format!(
                "a member's name of {length} bytes, expected 1 to {MAX_NAME_BYTES}"
            )),
        }
    }
}

impl From<MemberName> for String {
    fn from(name: MemberName) -> String {
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

/// What a member is held to be; of one start and incarnation the later overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    Alive,
    Suspect,
    Dead,
    /// It left of its own will: final for its start.
    Left,
}

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    pub name: MemberName,
    /// When its process started, in Unix time in milliseconds: a name that returns has a greater one.
    pub started_at_ms: u64,
    /// Grows each time that the member itself refutes what was said of it.
    pub incarnation: u32,
    pub status: MemberStatus,
    pub address: SocketAddr,
}

impl StatusUpdate {
    /// Which of two claims of one name overrides the other.
    pub fn precedence(&self) -> (u64, bool, u32, MemberStatus) {
        (
            self.started_at_ms,
            self.status == MemberStatus::Left,
            self.incarnation,
            self.status,
        )
    }
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Are you there? Of the member with this name, whoever stands at the address.
    Probe {
        number: u32,
        target: MemberName,
    },
    Ack {
        number: u32,
    },
    /// Ask that member in my stead.
    IndirectProbe {
        number: u32,
        target: MemberName,
        address: SocketAddr,
    },
    /// It did not answer me either.
    Nack {
        number: u32,
    },
    /// Tell me of all members.
    Join,
    /// Members, as they are held here; `back`: tell me of yours too.
    MemberTable {
        reply_wanted: bool,
    },
    /// Claims alone.
    Gossip,
    /// Something for who stands above: it is not looked at here.
    Direct {
        bytes: Vec<u8>,
    },
}

/// What a member has put up for all to read; the later number takes the place of the earlier. What it says is not looked at
/// here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedState {
    pub name: MemberName,
    /// The start of the process that put it up.
    pub started_at_ms: u64,
    pub version: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub sender: StatusUpdate,
    pub message: Message,
    pub updates: Vec<StatusUpdate>,
    pub published: Vec<PublishedState>,
}
