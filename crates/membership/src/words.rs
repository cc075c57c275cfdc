//! What members say to each other, as it goes into a datagram.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Bytes of a datagram, at most: it goes through common networks in one piece.
pub const MOST_DATAGRAM: usize = 1200;
const LONGEST_NAME: usize = 64;
/// Bytes of a parcel, at most.
pub const MOST_PARCEL: usize = 1020;
/// Bytes of a poster, at most.
pub const MOST_POSTER: usize = 256;

/// A member's name, the same over its starts: 1 to 64 bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

impl Name {
    /// Its bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<String> for Name {
    type Error = String;
    fn try_from(name: String) -> Result<Self, String> {
        match name.len() {
            1..=LONGEST_NAME => Ok(Self(name)),
            length => Err(format!(
                "a member's name of {length} bytes, expected 1 to {LONGEST_NAME}"
            )),
        }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a member is held to be; of one start and incarnation the later overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    Suspect,
    Dead,
    /// It left of its own will: final for its start.
    Left,
}

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub name: Name,
    /// When its process started, in Unix time in milliseconds: a name that returns has a greater one.
    pub start: u64,
    /// Grows each time that the member itself refutes what was said of it.
    pub incarnation: u32,
    pub standing: Standing,
    pub at: SocketAddr,
}

impl Claim {
    /// Which of two claims of one name overrides the other.
    pub fn rank(&self) -> (u64, bool, u32, Standing) {
        (
            self.start,
            self.standing == Standing::Left,
            self.incarnation,
            self.standing,
        )
    }
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Are you there? Of the member with this name, whoever stands at the address.
    Probe {
        no: u32,
        whom: Name,
    },
    Answer {
        no: u32,
    },
    /// Ask that member in my stead.
    Ask {
        no: u32,
        whom: Name,
        at: SocketAddr,
    },
    /// It did not answer me either.
    Silent {
        no: u32,
    },
    /// Tell me of all members.
    Join,
    /// Members, as they are held here; `back`: tell me of yours too.
    Roll {
        back: bool,
    },
    /// Claims alone.
    Tell,
    /// Something for who stands above: it is not looked at here.
    Parcel {
        bytes: Vec<u8>,
    },
}

/// What a member has put up for all to read; the later number takes the place of the earlier. What it says is not looked at
/// here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poster {
    pub name: Name,
    /// The start of the process that put it up.
    pub start: u64,
    pub no: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Claim,
    pub kind: Kind,
    pub claims: Vec<Claim>,
    pub posters: Vec<Poster>,
}
