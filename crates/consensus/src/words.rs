//! What members say to each other, as bytes.

use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Bytes of a packet, at most: it rides in one datagram, with its seal.
pub const MAX_PACKET_BYTES: usize = 1000;
/// Bytes of one word that is settled, at most.
pub const MAX_COMMAND_BYTES: usize = 700;
/// Bytes of a piece of a snapshot.
pub const SNAPSHOT_CHUNK_BYTES: usize = 400;
pub const MAX_VOTERS: usize = 7;
const MAX_NAME_BYTES: usize = 32;
const VERSION: u8 = 2;

/// Who takes part: a name, and the life of its disk. One that lost its disk is another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    pub name: String,
    pub incarnation: u64,
}

pub type Members = BTreeSet<NodeId>;

/// Who has a vote, and whose new life is to get one next: its old life's vote was taken for that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    pub voters: Members,
    pub pending_voter: Option<String>,
}

/// An entry's place in the log; the first one has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    pub index: u64,
    pub term: u64,
}

impl LogPosition {
    /// Whether a log that ends here holds all that one that ends there may have settled.
    pub fn is_up_to_date_with(&self, other: &LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A leader's first entry: with it all before is settled.
    Noop,
    /// These have a vote from here on.
    Configuration(Configuration),
    Command(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub term: u64,
    pub payload: EntryPayload,
}

impl Entry {
    /// Bytes that it takes, at most.
    pub(crate) fn size(&self) -> usize {
        16 + match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Configuration(voters) => {
                MAX_NAME_BYTES
                    + voters
                        .voters
                        .iter()
                        .map(|id| id.name.len() + 12)
                        .sum::<usize>()
            }
            EntryPayload::Command(bytes) => bytes.len(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// One without a group asks who is there; it answers to this number alone. The voters as its settings have them.
    DiscoveryRequest {
        nonce: u64,
        voters_checksum: u64,
    },
    /// The answer. Who had a vote when the group was made, if the log still reaches back to that.
    DiscoveryResponse {
        nonce: u64,
        voters_checksum: u64,
        initial_members: Members,
    },
    /// A new life asks to be taken in.
    JoinRequest,
    /// The same of another, to whoever leads.
    JoinForwarded {
        id: NodeId,
    },
    /// Asks for a vote; `trial`: only whether there would be one.
    VoteRequest {
        last: LogPosition,
        pre_vote: bool,
    },
    VoteResponse {
        granted: bool,
        pre_vote: bool,
    },
    AppendRequest {
        previous: LogPosition,
        entries: Vec<Entry>,
        commit_index: u64,
        round: u64,
    },
    /// Up to where the two logs are the same; or not that far, and where to try.
    AppendResponse {
        matched: Result<u64, u64>,
        round: u64,
    },
    /// A piece of the state up to `last`, and who had a vote then.
    SnapshotRequest {
        last: LogPosition,
        configuration: Configuration,
        offset: u32,
        total_length: u32,
        data: Vec<u8>,
        round: u64,
    },
    SnapshotResponse {
        last: LogPosition,
        received: u32,
        round: u64,
    },
    /// A word for the leader to settle.
    Propose {
        command: Vec<u8>,
    },
    /// One that only follows asks for what is settled from here on, or for the state from this byte on.
    LearnerRequest {
        next_index: u64,
        snapshot_index: u64,
        snapshot_offset: u32,
    },
    LearnerEntries {
        first_index: u64,
        entries: Vec<Entry>,
        commit_index: u64,
    },
    /// A piece of the state up to an entry, and who had a vote then.
    LearnerSnapshot {
        last_index: u64,
        offset: u32,
        total_length: u32,
        data: Vec<u8>,
        members: Members,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// 0: none yet.
    pub group: u64,
    pub from: NodeId,
    /// The life of the disk it is meant for; 0: any.
    pub to_incarnation: u64,
    pub term: u64,
    pub message: Message,
}

/// Why a packet can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    #[error("another version")]
    UnsupportedVersion,
    #[error("it can't be read")]
    Malformed,
    #[error("longer than {MAX_PACKET_BYTES} bytes, or a name, a word or a number of members beyond its bound")]
    LimitExceeded,
}

fn fits(members: &Members) -> bool {
    members.len() <= MAX_VOTERS + 1 && members.iter().all(|id| id.name.len() <= MAX_NAME_BYTES)
}

fn voters_fit(voters: &Configuration) -> bool {
    fits(&voters.voters)
        && voters
            .pending_voter
            .as_ref()
            .is_none_or(|name| name.len() <= MAX_NAME_BYTES)
}

fn entry_fits(entry: &Entry) -> bool {
    match &entry.payload {
        EntryPayload::Noop => true,
        EntryPayload::Configuration(voters) => voters_fit(voters),
        EntryPayload::Command(bytes) => bytes.len() <= MAX_COMMAND_BYTES,
    }
}

impl From<DecodeError> for PacketError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::UnsupportedVersion,
            DecodeError::Malformed => Self::Malformed,
        }
    }
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// # Errors
    /// Why it can't be used.
    pub fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(PacketError::LimitExceeded);
        }
        let packet: Self = decode(VERSION, bytes)?;
        let sound = match &packet.message {
            Message::DiscoveryResponse {
                initial_members: first,
                ..
            }
            | Message::LearnerSnapshot { members: first, .. } => fits(first),
            Message::AppendRequest { entries, .. } | Message::LearnerEntries { entries, .. } => {
                entries.iter().all(entry_fits)
            }
            Message::SnapshotRequest {
                configuration: members,
                ..
            } => voters_fit(members),
            Message::JoinForwarded { id } => id.name.len() <= MAX_NAME_BYTES,
            Message::Propose { command: bytes } => bytes.len() <= MAX_COMMAND_BYTES,
            _ => true,
        };
        (sound && packet.from.name.len() <= MAX_NAME_BYTES)
            .then_some(packet)
            .ok_or(PacketError::LimitExceeded)
    }
}
