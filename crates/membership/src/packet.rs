//! What a datagram carries, in postcard's format: the order of fields and variants is the wire format.

use crate::status::{MemberName, StatusUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest datagram in bytes: common networks carry it unfragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Longest payload of a direct message in bytes.
pub const MAX_DIRECT_BYTES: usize = 1020;
/// Longest published state in bytes.
pub const MAX_PUBLISHED_BYTES: usize = 256;

/// Longest encodings in bytes of the parts of a packet: postcard's variable-length integers (`u64`, `u32`), the length of a
/// name (one byte, as names have 64 at most), the length of published bytes, a variant.
const U64_BYTES: usize = 10;
const U32_BYTES: usize = 5;
const NAME_LENGTH_BYTES: usize = 1;
const PUBLISHED_LENGTH_BYTES: usize = 2;
const VARIANT_BYTES: usize = 1;
/// An IPv6 address and a port, after the variant of the address family.
const ADDRESS_BYTES: usize = 16 + 3;

/// The purpose of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// SWIM's ping. Only the member with the name answers, whoever else has taken over the address.
    Probe { number: u32, target: MemberName },
    /// Answers a probe, with the probe's number.
    Ack { number: u32 },
    /// SWIM's ping-req: probe that member and pass its ack on to the sender.
    IndirectProbe {
        number: u32,
        target: MemberName,
        address: SocketAddr,
    },
    /// Lifeguard's nack: the target of the indirect probe did not answer the relaying member either.
    Nack { number: u32 },
    /// Asks for the whole member table.
    Join,
    /// A part of the sender's member table.
    MemberTable { reply_wanted: bool },
    /// Carries updates and published state alone.
    Gossip,
    /// Carries bytes that are opaque to membership.
    Direct { bytes: Vec<u8> },
}

/// Bytes that a member publishes to all others; a higher version replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PublishedState {
    /// Who published it.
    pub(crate) name: MemberName,
    /// Start of the process that published it, Unix time in milliseconds.
    pub(crate) started_at_ms: u64,
    /// Counts the states that this process has published.
    pub(crate) version: u32,
    /// Opaque here.
    pub(crate) bytes: Vec<u8>,
}

/// All that one datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub(crate) sender: StatusUpdate,
    pub(crate) message: Message,
    pub(crate) updates: Vec<StatusUpdate>,
    pub(crate) published: Vec<PublishedState>,
}

/// A part of a packet that is gossiped: the newest of each member.
pub(crate) trait Broadcast: Clone {
    /// The member that it is about.
    fn name(&self) -> &MemberName;
    /// An upper bound of its encoding, in bytes.
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

/// Upper bound in bytes for some parts of a packet.
pub(crate) fn max_total_bytes(parts: &[impl Broadcast]) -> usize {
    parts.iter().map(Broadcast::max_encoded_bytes).sum()
}
