//! What members say to each other, as bytes.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Bytes of a packet, at most: it rides in one datagram, with its seal.
pub const MOST_PACKET: usize = 1000;
/// Bytes of one word that is settled, at most.
pub const MOST_WORD: usize = 700;
/// Bytes of a piece of a snapshot.
pub const PIECE: usize = 400;
pub const MOST_VOTERS: usize = 7;
const MOST_NAME: usize = 32;
const VERSION: u8 = 2;

/// Who takes part: a name, and the life of its disk. One that lost its disk is another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub name: String,
    pub disk: u64,
}

pub type Members = BTreeSet<Id>;

/// Who has a vote, and whose new life is to get one next: its old life's vote was taken for that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    pub ids: Members,
    pub awaited: Option<String>,
}

/// An entry's place in the log; the first one has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub index: u64,
    pub term: u64,
}

impl Place {
    /// Whether a log that ends here holds all that one that ends there may have settled.
    pub fn reaches(&self, other: &Place) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A leader's first entry: with it all before is settled.
    Begins,
    /// These have a vote from here on.
    Members(Voters),
    Word(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub what: What,
}

impl Entry {
    /// Bytes that it takes, at most.
    pub(crate) fn size(&self) -> usize {
        16 + match &self.what {
            What::Begins => 0,
            What::Members(voters) => {
                MOST_NAME
                    + voters
                        .ids
                        .iter()
                        .map(|id| id.name.len() + 12)
                        .sum::<usize>()
            }
            What::Word(bytes) => bytes.len(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Say {
    /// One without a group asks who is there; it answers to this number alone. The voters as its settings have them.
    Here {
        nonce: u64,
        voters: u64,
    },
    /// The answer. Who had a vote when the group was made, if the log still reaches back to that.
    HereToo {
        nonce: u64,
        voters: u64,
        first: Members,
    },
    /// A new life asks to be taken in.
    TakeMeIn,
    /// The same of another, to whoever leads.
    TakeIn {
        id: Id,
    },
    /// Asks for a vote; `trial`: only whether there would be one.
    MayI {
        last: Place,
        trial: bool,
    },
    Vote {
        yes: bool,
        trial: bool,
    },
    Append {
        before: Place,
        entries: Vec<Entry>,
        settled: u64,
        round: u64,
    },
    /// Up to where the two logs are the same; or not that far, and where to try.
    Appended {
        same: Result<u64, u64>,
        round: u64,
    },
    /// A piece of the state up to `last`, and who had a vote then.
    Piece {
        last: Place,
        members: Voters,
        from: u32,
        whole: u32,
        bytes: Vec<u8>,
        round: u64,
    },
    HadPiece {
        last: Place,
        upto: u32,
        round: u64,
    },
    /// A word for the leader to settle.
    Propose {
        bytes: Vec<u8>,
    },
    /// One that only follows asks for what is settled from here on, or for the state from this byte on.
    Ask {
        next: u64,
        of: u64,
        from: u32,
    },
    Told {
        first: u64,
        entries: Vec<Entry>,
        settled: u64,
    },
    /// A piece of the state up to an entry, and who had a vote then.
    ToldPiece {
        index: u64,
        from: u32,
        whole: u32,
        bytes: Vec<u8>,
        members: Members,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// 0: none yet.
    pub group: u64,
    pub from: Id,
    /// The life of the disk it is meant for; 0: any.
    pub to: u64,
    pub term: u64,
    pub say: Say,
}

/// Why a packet can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("another version")]
    Version,
    #[error("it can't be read")]
    Damaged,
    #[error("longer than {MOST_PACKET} bytes, or a name, a word or a number of members beyond its bound")]
    Long,
}

fn fits(members: &Members) -> bool {
    members.len() <= MOST_VOTERS + 1 && members.iter().all(|id| id.name.len() <= MOST_NAME)
}

fn voters_fit(voters: &Voters) -> bool {
    fits(&voters.ids)
        && voters
            .awaited
            .as_ref()
            .is_none_or(|name| name.len() <= MOST_NAME)
}

fn entry_fits(entry: &Entry) -> bool {
    match &entry.what {
        What::Begins => true,
        What::Members(voters) => voters_fit(voters),
        What::Word(bytes) => bytes.len() <= MOST_WORD,
    }
}

impl From<DecodeError> for Unreadable {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Damaged,
        }
    }
}

impl Packet {
    pub fn write(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn read(bytes: &[u8]) -> Result<Self, Unreadable> {
        if bytes.len() > MOST_PACKET {
            return Err(Unreadable::Long);
        }
        let packet: Self = decode(VERSION, bytes)?;
        let sound = match &packet.say {
            Say::HereToo { first, .. } | Say::ToldPiece { members: first, .. } => fits(first),
            Say::Append { entries, .. } | Say::Told { entries, .. } => {
                entries.iter().all(entry_fits)
            }
            Say::Piece { members, .. } => voters_fit(members),
            Say::TakeIn { id } => id.name.len() <= MOST_NAME,
            Say::Propose { bytes } => bytes.len() <= MOST_WORD,
            _ => true,
        };
        (sound && packet.from.name.len() <= MOST_NAME)
            .then_some(packet)
            .ok_or(Unreadable::Long)
    }
}
