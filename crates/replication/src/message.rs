//! Packets between replicas, and the bounds on received packets.
//!
//! An entry's body is opaque to the replicas that relay it: an earlier version of the program
//! stores and relays entries published by a later version that it cannot decode. Packets are
//! encoded with postcard, which depends on the order of fields and variants: append, never reorder.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum size of an encoded packet in bytes; it has to fit into one direct message of the
/// membership protocol.
pub const MAX_PACKET_BYTES: usize = 1000;
/// Maximum size of an entry's body in bytes.
pub const MAX_BODY_BYTES: usize = 200;
/// Maximum length of a sidecar's name in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum time to live of an entry.
pub(crate) const MAX_TIME_TO_LIVE: Duration = Duration::from_secs(86_400);
/// Maximum number of log positions in one packet.
pub(crate) const MAX_POSITIONS: usize = 8;
/// Maximum sequence number.
pub const MAX_SEQUENCE: u64 = 1 << 48;
/// Maximum encoded size in bytes of an entry without its body: sequence number, time to live, kind
/// and length as variable-length integers.
const MAX_ENTRY_HEADER_BYTES: usize = 20;
const FORMAT_VERSION: u8 = 1;

/// One process of one sidecar, the source of a log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the sidecar.
    pub name: String,
    /// Start of the process in milliseconds of its own clock. A later process of the same name has
    /// a greater one.
    pub incarnation: u64,
}

/// One numbered item of an origin's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the origin's log, starting at 1.
    pub sequence: u64,
    /// Remaining time to live in milliseconds.
    pub time_to_live_ms: u32,
    /// Kind of the record in the body; see [`Record::kind`](crate::Record::kind).
    pub kind: u8,
    /// The encoded record.
    pub body: Vec<u8>,
}

impl Entry {
    /// Returns an upper bound of the bytes that the entry takes in a packet.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        self.body.len() + MAX_ENTRY_HEADER_BYTES
    }
}

/// Position through which a replica of a log is complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Origin of the log.
    pub origin: Origin,
    /// All entries through this sequence number were received or have expired.
    pub contiguous_through: u64,
}

/// Sequence numbers greater than `after`, up to and including `through`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceRange {
    /// Exclusive lower bound.
    pub after: u64,
    /// Inclusive upper bound.
    pub through: u64,
}

impl SequenceRange {
    fn contains(&self, sequence: u64) -> bool {
        self.after < sequence && sequence <= self.through
    }

    fn is_valid(&self) -> bool {
        self.after <= self.through && self.through <= MAX_SEQUENCE
    }
}

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Entries of one origin.
    Entries {
        /// Origin of the entries.
        origin: Origin,
        /// If set, `entries` are all entries of this range that have not expired.
        range: Option<SequenceRange>,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Positions of all logs that the sender has in an interval of origins. The receiver answers
    /// with a `DigestReply`.
    Digest {
        /// Request number, repeated in the reply.
        request: u32,
        /// Exclusive lower bound of the interval; `None` starts at the first origin.
        after: Option<Origin>,
        /// Inclusive upper bound of the interval; `None` ends at the last origin.
        through: Option<Origin>,
        /// The sender's positions.
        positions: Vec<LogPosition>,
    },
    /// Answer to a `Digest`. Entries of the logs in which its sender is ahead follow in separate
    /// packets.
    DigestReply {
        /// Request number of the digest.
        request: u32,
        /// The reply covers origins through this one; `None` means all that the digest covered.
        through: Option<Origin>,
        /// The replying replica's positions in logs in which it is behind.
        behind: Vec<LogPosition>,
        /// The replying replica's positions in logs in which it is ahead.
        ahead: Vec<LogPosition>,
        /// Whether the replying replica has itself caught up since its start.
        caught_up: bool,
    },
}

/// Unit of transmission between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The message that the packet carries.
    pub message: Message,
}

/// Reason why received bytes are not a valid packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet has another format version.
    #[error("unsupported replication packet version, expected {FORMAT_VERSION}")]
    Version,
    /// The bytes cannot be decoded.
    #[error("malformed replication packet")]
    Malformed,
    /// The packet can be decoded but exceeds a bound of this module.
    #[error(
        "replication packet exceeds {MAX_PACKET_BYTES} bytes, or a name, a body, a sequence number, \
         a time to live or the number of log positions in it is out of bounds"
    )]
    OutOfBounds,
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
    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// Decodes received bytes and checks them against the bounds of this module.
    ///
    /// # Errors
    /// The bytes are of another format version, malformed or out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(PacketError::OutOfBounds);
        }
        let packet: Self = decode(FORMAT_VERSION, bytes)?;
        if packet.message.is_within_bounds() {
            Ok(packet)
        } else {
            Err(PacketError::OutOfBounds)
        }
    }
}

impl Message {
    fn is_within_bounds(&self) -> bool {
        match self {
            Message::Entries {
                origin,
                range,
                entries,
            } => {
                is_name_valid(origin)
                    && range.is_none_or(|range| range.is_valid())
                    && entries
                        .iter()
                        .all(|entry| is_entry_valid(entry, range.as_ref()))
            }
            Message::Digest {
                after,
                through,
                positions,
                ..
            } => after.iter().chain(through).all(is_name_valid) && are_positions_valid(positions),
            Message::DigestReply {
                through,
                behind,
                ahead,
                ..
            } => {
                through.iter().all(is_name_valid)
                    && are_positions_valid(behind)
                    && are_positions_valid(ahead)
            }
        }
    }
}

fn is_name_valid(origin: &Origin) -> bool {
    (1..=MAX_NAME_BYTES).contains(&origin.name.len())
}

fn are_positions_valid(positions: &[LogPosition]) -> bool {
    positions.len() <= MAX_POSITIONS
        && positions.iter().all(|position| {
            is_name_valid(&position.origin) && position.contiguous_through <= MAX_SEQUENCE
        })
}

fn is_entry_valid(entry: &Entry, range: Option<&SequenceRange>) -> bool {
    entry.body.len() <= MAX_BODY_BYTES
        && (1..=MAX_SEQUENCE).contains(&entry.sequence)
        && range.is_none_or(|range| range.contains(entry.sequence))
        && Duration::from_millis(entry.time_to_live_ms.into()) <= MAX_TIME_TO_LIVE
}
