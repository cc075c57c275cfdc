//! The messages between nodes and their encoding as datagrams.
//!
//! A datagram is a version byte followed by the packet in postcard. Postcard identifies fields and
//! variants by their order, so the order in [`Message`] and [`Packet`] is part of the wire format.

use crate::types::{
    Configuration, Entry, EntryPayload, LogPosition, Members, NodeId, MAX_COMMAND_BYTES,
    MAX_NAME_BYTES, MAX_VOTERS,
};
use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded packet in bytes. Together with its authentication tag it fits into
/// one datagram.
pub const MAX_PACKET_BYTES: usize = 1000;
/// Version of the message format.
const VERSION: u8 = 2;

/// A message between two nodes. Voters exchange messages with each other; learners only send
/// requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by a node that has not joined a group, to find nodes that have.
    DiscoveryRequest {
        /// Identifies the request; answers with another nonce are ignored.
        nonce: u64,
        /// Checksum of the voters in the sender's settings.
        voters_checksum: u64,
    },
    /// Answers a discovery request. The packet's group is 0 if the sender has not joined a group
    /// either.
    DiscoveryResponse {
        /// The nonce of the request.
        nonce: u64,
        /// Checksum of the voters in the sender's settings.
        voters_checksum: u64,
        /// The initial voters of the group, if the sender's log still starts with them; otherwise
        /// empty.
        initial_members: Members,
    },
    /// Sent by a node without a vote to request replication, and to become a voter if its name is
    /// due to get a vote.
    JoinRequest,
    /// The join request of another node, forwarded to the leader.
    JoinForwarded {
        /// The node that wants to join.
        id: NodeId,
    },
    /// The RequestVote RPC (the paper, 5.2) or its pre-vote variant (dissertation, 9.6).
    VoteRequest {
        /// Position of the last entry in the candidate's log.
        last: LogPosition,
        /// Whether this is a pre-vote, which only asks whether the vote would be granted.
        pre_vote: bool,
    },
    /// Answers a vote request.
    VoteResponse {
        /// Whether the vote is granted, or would be granted in case of a pre-vote.
        granted: bool,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
    },
    /// The AppendEntries RPC (the paper, 5.3); a heartbeat if it has no entries.
    AppendRequest {
        /// Position of the entry that precedes `entries`.
        previous: LogPosition,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// The leader's message round, which the response repeats.
        round: u64,
    },
    /// Answers an append request or a complete snapshot.
    AppendResponse {
        /// The index up to which both logs match, or as an error the index that the leader should
        /// try next.
        matched: Result<u64, u64>,
        /// The round of the request.
        round: u64,
    },
    /// The InstallSnapshot RPC (the paper, 7): a chunk of the leader's snapshot.
    SnapshotRequest {
        /// Position of the last entry included in the snapshot.
        last: LogPosition,
        /// The configuration as of that entry.
        configuration: Configuration,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u32,
        /// Length of the whole snapshot, in bytes.
        total_length: u32,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The leader's message round, which the response repeats.
        round: u64,
    },
    /// Answers a chunk that does not complete the snapshot.
    SnapshotResponse {
        /// Position of the last entry included in the snapshot.
        last: LogPosition,
        /// Number of bytes of the snapshot that the follower has received.
        received: u32,
        /// The round of the request.
        round: u64,
    },
    /// A command for the leader to propose.
    Propose {
        /// The bytes of the command.
        command: Vec<u8>,
    },
    /// Sent by a learner to request committed entries, or a snapshot if the log no longer contains
    /// them.
    LearnerRequest {
        /// The first index that the learner is missing.
        next_index: u64,
        /// Index of the last entry included in the snapshot that the learner is receiving; 0 means
        /// none.
        snapshot_index: u64,
        /// Number of bytes of that snapshot that the learner has received.
        snapshot_offset: u32,
    },
    /// Answers a learner with committed entries.
    LearnerEntries {
        /// Index of the first of `entries`.
        first_index: u64,
        /// Committed entries; empty if the learner is up to date.
        entries: Vec<Entry>,
        /// The sender's commit index.
        commit_index: u64,
    },
    /// Answers a learner with a chunk of the sender's snapshot.
    LearnerSnapshot {
        /// Index of the last entry included in the snapshot.
        last_index: u64,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u32,
        /// Length of the whole snapshot, in bytes.
        total_length: u32,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The voters as of `last_index`.
        members: Members,
    },
}

/// A message with its sender, group and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's group; 0 if it has not joined one.
    pub group: u64,
    /// The node that sent the packet.
    pub from: NodeId,
    /// The incarnation of the recipient; 0 means any incarnation.
    pub to_incarnation: u64,
    /// The sender's current term.
    pub term: u64,
    /// The content of the packet.
    pub message: Message,
}

/// The reason why received bytes are not a usable packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The first byte is the version of another format.
    #[error("unsupported packet version, expected version {VERSION}")]
    UnsupportedVersion,
    /// The bytes cannot be decoded.
    #[error("the packet is malformed")]
    Malformed,
    /// The packet or one of its parts exceeds its size limit.
    #[error(
        "the packet exceeds {MAX_PACKET_BYTES} bytes or contains a name over {MAX_NAME_BYTES} bytes, \
         a command over {MAX_COMMAND_BYTES} bytes or more than {MAX_VOTERS} voters and a new one"
    )]
    LimitExceeded,
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
    /// Encodes the packet as the bytes of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// Decodes a packet from the bytes of a datagram.
    ///
    /// # Errors
    /// The bytes have another format version, are malformed, or exceed a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, PacketError> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(PacketError::LimitExceeded);
        }
        let packet: Self = decode(VERSION, bytes)?;
        if !message_within_limits(&packet.message) || !name_within_limit(&packet.from.name) {
            return Err(PacketError::LimitExceeded);
        }
        Ok(packet)
    }
}

fn message_within_limits(message: &Message) -> bool {
    match message {
        Message::DiscoveryResponse {
            initial_members: members,
            ..
        }
        | Message::LearnerSnapshot { members, .. } => members_within_limits(members),
        Message::AppendRequest { entries, .. } | Message::LearnerEntries { entries, .. } => {
            entries.iter().all(entry_within_limits)
        }
        Message::SnapshotRequest { configuration, .. } => {
            configuration_within_limits(configuration)
        }
        Message::JoinForwarded { id } => name_within_limit(&id.name),
        Message::Propose { command } => command.len() <= MAX_COMMAND_BYTES,
        _ => true,
    }
}

fn name_within_limit(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

fn members_within_limits(members: &Members) -> bool {
    members.len() <= MAX_VOTERS + 1 && members.iter().all(|id| name_within_limit(&id.name))
}

fn configuration_within_limits(configuration: &Configuration) -> bool {
    let pending = configuration.pending_voter.as_deref();
    members_within_limits(&configuration.voters) && pending.is_none_or(name_within_limit)
}

fn entry_within_limits(entry: &Entry) -> bool {
    match &entry.payload {
        EntryPayload::Noop => true,
        EntryPayload::Configuration(configuration) => configuration_within_limits(configuration),
        EntryPayload::Command(command) => command.len() <= MAX_COMMAND_BYTES,
    }
}
