//! What replicas say to each other, as bytes. An entry's body is opaque to whoever passes it on: one of a later version of the program is
//! kept and passed on by an earlier one, which does not know what it says.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Bytes of a packet, at most: it rides in one parcel of the fleet.
pub const MAX_PACKET_BYTES: usize = 1000;
pub const MAX_BODY_BYTES: usize = 200;
pub const MAX_NAME_BYTES: usize = 32;
/// The life of an entry, at most.
pub const MAX_TIME_TO_LIVE: Duration = Duration::from_secs(86_400);
/// Rows of logs that are compared in one packet, at most.
pub const MAX_POSITIONS: usize = 8;
/// An entry's number, at most.
pub const MAX_SEQUENCE: u64 = 1 << 48;
const FORMAT_VERSION: u8 = 1;

/// One life of one sidecar: its name, and when it started, in milliseconds of its own clock: the later start is the greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub sequence: u64,
    /// What is left of its life, in milliseconds.
    pub time_to_live_ms: u32,
    pub kind: u8,
    pub body: Vec<u8>,
}

/// How far a copy of a log goes: whole up to here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    pub origin: Origin,
    pub contiguous_through: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entries of one origin; `all`: all that live after one number and up to another.
    Entries {
        origin: Origin,
        range: Option<(u64, u64)>,
        entries: Vec<Entry>,
    },
    /// All logs that the sender has from one origin up to another (none: to the last), and up to where.
    Digest {
        request: u32,
        after: Option<Origin>,
        through: Option<Origin>,
        positions: Vec<LogPosition>,
    },
    /// The answer, up to an origin (none: to the last that was asked for): logs in which the sender is behind, and those in which it is
    /// ahead, with how far it goes; entries of these come beside this. `knows`: it has caught up itself.
    DigestReply {
        request: u32,
        through: Option<Origin>,
        behind: Vec<LogPosition>,
        ahead: Vec<LogPosition>,
        caught_up: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub message: Message,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    OnTrial,
    Released,
    RollingBack,
    RolledBack,
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

/// The text on the proxies' state page, which is read by name: it stays as it is.
impl fmt::Display for Stage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let phase = match self.phase {
            Phase::OnTrial => "OnTrial",
            Phase::Released => "Released",
            Phase::RollingBack => "GoingBack",
            Phase::RolledBack => "Withdrawn",
        };
        write!(
            formatter,
            "Stage {{ number: {}, build: {}, stage: {}, phase: {phase}, cap: {:?} }}",
            self.number, self.build, self.stage, self.cap
        )
    }
}

/// Whether a hit that may not run twice may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionMark {
    MayHaveRun,
    /// There is proof that it did not.
    NeverRan,
}

/// What is worth keeping.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A routing key, by its hash, was answered by a build.
    KeyServed {
        key: u64,
        build: u16,
    },
    /// A hit, by the hash of its tag.
    Execution {
        idempotency_key: u64,
        mark: ExecutionMark,
    },
    Stage(Stage),
}

impl Record {
    pub fn kind(&self) -> u8 {
        match self {
            Record::KeyServed { .. } => 1,
            Record::Execution { .. } => 2,
            Record::Stage(_) => 3,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// None of a kind or form that this version does not know.
    pub fn decode(kind: u8, body: &[u8]) -> Option<Self> {
        let fact: Self = postcard::from_bytes(body).ok()?;
        let sound = match &fact {
            Record::Stage(stage) => (0.0..=1.0).contains(&stage.cap),
            _ => true,
        };
        (fact.kind() == kind && sound).then_some(fact)
    }
}

/// Why a packet can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    #[error("another version")]
    Version,
    #[error("it can't be read")]
    Malformed,
    #[error(
        "longer than {MAX_PACKET_BYTES} bytes, or a name, a body or a number of rows beyond its bound"
    )]
    OutOfBounds,
}

impl Entry {
    /// Bytes that it takes in a packet, at most.
    pub fn max_encoded_bytes(&self) -> usize {
        self.body.len() + 20
    }
}

impl From<DecodeError> for PacketError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Malformed,
        }
    }
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(PacketError::OutOfBounds);
        }
        let packet: Self = decode(FORMAT_VERSION, bytes)?;
        let named = |origin: &Origin| (1..=MAX_NAME_BYTES).contains(&origin.name.len());
        let fits = |row: &LogPosition| named(&row.origin) && row.contiguous_through <= MAX_SEQUENCE;
        let rows_fit = |rows: &[LogPosition]| rows.len() <= MAX_POSITIONS && rows.iter().all(fits);
        let sound = match &packet.message {
            Message::Entries {
                origin,
                range: all,
                entries,
            } => {
                let within = |no: u64| {
                    no <= MAX_SEQUENCE && all.is_none_or(|(after, upto)| after < no && no <= upto)
                };
                let fits = |entry: &Entry| {
                    entry.body.len() <= MAX_BODY_BYTES
                        && entry.sequence >= 1
                        && within(entry.sequence)
                        && Duration::from_millis(entry.time_to_live_ms.into()) <= MAX_TIME_TO_LIVE
                };
                let range = all.is_none_or(|(after, upto)| after <= upto && upto <= MAX_SEQUENCE);
                named(origin) && range && entries.iter().all(fits)
            }
            Message::Digest {
                after: from,
                through: to,
                positions: rows,
                ..
            } => from.iter().chain(to).all(named) && rows_fit(rows),
            Message::DigestReply {
                through: to,
                behind: rows,
                ahead,
                ..
            } => to.iter().all(named) && rows_fit(rows) && rows_fit(ahead),
        };
        sound.then_some(packet).ok_or(PacketError::OutOfBounds)
    }
}
