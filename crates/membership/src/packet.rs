//! Contents of a datagram, encoded with postcard. The order of fields and variants is the wire
//! format.

use crate::status::{MemberName, StatusUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of a datagram in bytes; common networks carry it unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum payload of a direct message in bytes.
pub const MAX_DIRECT_BYTES: usize = 1020;
/// Maximum size of published state in bytes.
pub const MAX_PUBLISHED_BYTES: usize = 256;

/// Maximum encoded sizes in bytes of the parts of a packet: postcard's variable-length `u64` and
/// `u32`, the length prefix of a name (one byte, as names have at most 64 bytes), the length prefix
/// of published bytes, and a variant's discriminant.
const U64_BYTES: usize = 10;
const U32_BYTES: usize = 5;
const NAME_LENGTH_BYTES: usize = 1;
const PUBLISHED_LENGTH_BYTES: usize = 2;
const VARIANT_BYTES: usize = 1;
/// An IPv6 address and a port; the discriminant of the address family is counted separately.
const ADDRESS_BYTES: usize = 16 + 3;

/// Kind of a packet, with the fields specific to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// SWIM's ping. Only the member with this name answers, even if another one took over its
    /// address.
    Probe { number: u32, target: MemberName },
    /// Answers the probe with this number.
    Ack { number: u32 },
    /// SWIM's ping-req: asks the receiver to probe the target and to relay its ack.
    IndirectProbe {
        number: u32,
        target: MemberName,
        address: SocketAddr,
    },
    /// Lifeguard's nack: the target of an indirect probe did not answer the relaying member either.
    Nack { number: u32 },
    /// Requests the whole member table.
    Join,
    /// Part of the sender's member table.
    MemberTable { reply_wanted: bool },
    /// Carries updates and published state only.
    Gossip,
    /// Carries bytes that are opaque to membership.
    Direct { bytes: Vec<u8> },
}

/// Bytes that a member publishes to all others; a higher version replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PublishedState {
    /// The member that published the bytes.
    pub(crate) name: MemberName,
    /// Start of the publishing process, Unix time in milliseconds.
    pub(crate) started_at_ms: u64,
    /// Number of states that this process published before.
    pub(crate) version: u32,
    /// The published bytes, opaque to membership.
    pub(crate) bytes: Vec<u8>,
}

/// The complete contents of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) sender: StatusUpdate,
    pub(crate) message: Message,
    pub(crate) updates: Vec<StatusUpdate>,
    pub(crate) published: Vec<PublishedState>,
}

/// A gossiped part of a packet; only the newest one of each member is gossiped.
pub(crate) trait Broadcast: Clone {
    /// Returns the name of the member that it describes.
    fn name(&self) -> &MemberName;
    /// Returns an upper bound of its encoded size in bytes.
    fn max_encoded_bytes(&self) -> usize;
}

impl Broadcast for StatusUpdate {
    fn name(&self) -> &MemberName {
        &self.name
    }

    fn max_encoded_bytes(&self) -> usize {
        let name = NAME_LENGTH_BYTES + self.name.byte_count();
        let address = VARIANT_BYTES + ADDRESS_BYTES;
        name + U64_BYTES + U32_BYTES + VARIANT_BYTES + address
    }
}

impl Broadcast for PublishedState {
    fn name(&self) -> &MemberName {
        &self.name
    }

    fn max_encoded_bytes(&self) -> usize {
        let name = NAME_LENGTH_BYTES + self.name.byte_count();
        name + U64_BYTES + U32_BYTES + PUBLISHED_LENGTH_BYTES + self.bytes.len()
    }
}

/// Returns an upper bound of the encoded size of all parts together, in bytes.
pub(crate) fn max_total_bytes(parts: &[impl Broadcast]) -> usize {
    parts.iter().map(Broadcast::max_encoded_bytes).sum()
}
