//! What replicas say to each other, as bytes. An entry's body is opaque to whoever passes it on: one of a later version of the program is
//! kept and passed on by an earlier one, which does not know what it says.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bytes of a packet, at most: it rides in one parcel of the fleet.
pub const MOST_PACKET: usize = 1000;
pub const MOST_BODY: usize = 200;
pub const MOST_NAME: usize = 32;
/// The life of an entry, at most.
pub const MOST_LIFE: Duration = Duration::from_secs(86_400);
/// Rows of logs that are compared in one packet, at most.
pub const MOST_ROWS: usize = 8;
/// An entry's number, at most.
pub const MOST_NO: u64 = 1 << 48;
const VERSION: u8 = 1;

/// One life of one sidecar: its name, and when it started, in milliseconds of its own clock: the later start is the greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    pub name: String,
    pub start: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub no: u64,
    /// What is left of its life, in milliseconds.
    pub left: u32,
    pub kind: u8,
    pub body: Vec<u8>,
}

/// How far a copy of a log goes: whole up to here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub origin: Origin,
    pub upto: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Say {
    /// Entries of one origin; `all`: all that live after one number and up to another.
    Entries {
        origin: Origin,
        all: Option<(u64, u64)>,
        entries: Vec<Entry>,
    },
    /// All logs that the sender has from one origin up to another (none: to the last), and up to where.
    Have {
        no: u32,
        from: Option<Origin>,
        to: Option<Origin>,
        rows: Vec<Row>,
    },
    /// The answer, up to an origin (none: to the last that was asked for): logs in which the sender is behind, and those in which it is
    /// ahead, with how far it goes; entries of these come beside this. `knows`: it has caught up itself.
    Lack {
        no: u32,
        to: Option<Origin>,
        rows: Vec<Row>,
        ahead: Vec<Row>,
        knows: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub say: Say,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    OnTrial,
    Released,
    GoingBack,
    Withdrawn,
}

/// Where a build stands, as the installer said; `number` grows with each change there (0: not counted).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stage {
    pub number: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: Phase,
    pub cap: f64,
}

/// Whether a hit that may not run twice may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    MayHaveRun,
    /// There is proof that it did not.
    NeverRan,
}

/// What is worth keeping.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// A routing key, by its hash, was answered by a build.
    Met {
        key: u64,
        build: u16,
    },
    /// A hit, by the hash of its tag.
    Hit {
        tag: u64,
        mark: Mark,
    },
    Stage(Stage),
}

impl Fact {
    pub fn kind(&self) -> u8 {
        match self {
            Fact::Met { .. } => 1,
            Fact::Hit { .. } => 2,
            Fact::Stage(_) => 3,
        }
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// None of a kind or form that this version does not know.
    pub fn read(kind: u8, body: &[u8]) -> Option<Self> {
        let fact: Self = postcard::from_bytes(body).ok()?;
        let sound = match &fact {
            Fact::Stage(stage) => (0.0..=1.0).contains(&stage.cap),
            _ => true,
        };
        (fact.kind() == kind && sound).then_some(fact)
    }
}

/// Why a packet can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("another version")]
    Version,
    #[error("it can't be read")]
    Damaged,
    #[error(
        "longer than {MOST_PACKET} bytes, or a name, a body or a number of rows beyond its bound"
    )]
    Bounds,
}

impl Entry {
    /// Bytes that it takes in a packet, at most.
    pub fn size(&self) -> usize {
        self.body.len() + 20
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
            return Err(Unreadable::Bounds);
        }
        let packet: Self = decode(VERSION, bytes)?;
        let named = |origin: &Origin| (1..=MOST_NAME).contains(&origin.name.len());
        let fits = |row: &Row| named(&row.origin) && row.upto <= MOST_NO;
        let rows_fit = |rows: &[Row]| rows.len() <= MOST_ROWS && rows.iter().all(fits);
        let sound = match &packet.say {
            Say::Entries {
                origin,
                all,
                entries,
            } => {
                let within = |no: u64| {
                    no <= MOST_NO && all.is_none_or(|(after, upto)| after < no && no <= upto)
                };
                let fits = |entry: &Entry| {
                    entry.body.len() <= MOST_BODY
                        && entry.no >= 1
                        && within(entry.no)
                        && Duration::from_millis(entry.left.into()) <= MOST_LIFE
                };
                let range = all.is_none_or(|(after, upto)| after <= upto && upto <= MOST_NO);
                named(origin) && range && entries.iter().all(fits)
            }
            Say::Have { from, to, rows, .. } => from.iter().chain(to).all(named) && rows_fit(rows),
            Say::Lack {
                to, rows, ahead, ..
            } => to.iter().all(named) && rows_fit(rows) && rows_fit(ahead),
        };
        sound.then_some(packet).ok_or(Unreadable::Bounds)
    }
}
