//! The messages between nodes, and their encoding as datagrams.
//!
//! A datagram is a version byte and the packet in postcard, which goes by the order of fields and variants: the order in
//! [`Message`] and [`Packet`] is the wire format.

use crate::types::{
    Configuration, Entry, EntryPayload, LogPosition, Members, NodeId, MAX_COMMAND_BYTES,
    MAX_NAME_BYTES, MAX_VOTERS,
};
use limewing_versioned_codec::{decode, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Largest encoded packet, in bytes: with its seal it fits into one datagram.
pub const MAX_PACKET_BYTES: usize = 1000;
/// Version of the message format.
const VERSION: u8 = 2;

/// A message between two nodes. Voters answer each other; learners only send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a node that has joined no group: asks who has.
    DiscoveryRequest {
        /// Names this request; only answers with the same nonce count.
        nonce: u64,
        /// Checksum of the voters that the sender's settings name.
        voters_checksum: u64,
    },
    /// Answers a discovery request. The packet's group is 0 if the sender has joined none either.
    DiscoveryResponse {
        /// The request's nonce.
        nonce: u64,
        /// Checksum of the voters that the sender's settings name.
        voters_checksum: u64,
        /// The group's first voters, if the sender's log still reaches back to them; else empty.
        initial_members: Members,
    },
    /// From a node without a vote: asks to be replicated to, and to become a voter if one of its name is to be one.
    JoinRequest,
    /// The join request of another node, passed on to the leader.
    JoinForwarded {
        /// The node that wants to join.
        id: NodeId,
    },
    /// RequestVote (the paper, 5.2), or its pre-vote form (dissertation, 9.6).
    VoteRequest {
        /// The end of the candidate's log.
        last: LogPosition,
        /// Whether this only asks if the vote would be granted.
        pre_vote: bool,
    },
    /// Answers a vote request.
    VoteResponse {
        /// Whether the vote is, or would be, granted.
        granted: bool,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
    },
    /// AppendEntries (the paper, 5.3); without entries it is a heartbeat.
    AppendRequest {
        /// The entry before `entries`.
        previous: LogPosition,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// The leader's round of messages; the answer repeats it.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendResponse {
        /// Up to which index both logs match, or else the index that the leader is to try next.
        matched: Result<u64, u64>,
        /// The request's round.
        round: u64,
    },
    /// InstallSnapshot (the paper, 7): a chunk of the leader's snapshot.
    SnapshotRequest {
        /// The last entry that the snapshot includes.
        last: LogPosition,
        /// The configuration as of that entry.
        configuration: Configuration,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u32,
        /// Length of the whole snapshot, in bytes.
        total_length: u32,
        /// The chunk.
        data: Vec<u8>,
        /// The leader's round of messages; the answer repeats it.
        round: u64,
    },
    /// Answers a chunk that does not complete the snapshot.
    SnapshotResponse {
        /// The last entry that the snapshot includes.
        last: LogPosition,
        /// Length of what the follower has of the snapshot, in bytes.
        received: u32,
        /// The request's round.
        round: u64,
    },
    /// A command for the leader to propose.
    Propose {
        /// The command.
        command: Vec<u8>,
    },
    /// From a learner: asks for committed entries, or for a snapshot where the log no longer has them.
    LearnerRequest {
        /// The first index that the learner lacks.
        next_index: u64,
        /// The last index included in the snapshot that the learner is receiving; 0 is none.
        snapshot_index: u64,
        /// Length of what the learner has of that snapshot, in bytes.
        snapshot_offset: u32,
    },
    /// Answers a learner with committed entries.
    LearnerEntries {
        /// Index of the first of `entries`.
        first_index: u64,
        /// Committed entries; empty if there are none that the learner lacks.
        entries: Vec<Entry>,
        /// The sender's commit index.
        commit_index: u64,
    },
    /// Answers a learner with a chunk of the sender's snapshot.
    LearnerSnapshot {
        /// Index of the last entry that the snapshot includes.
        last_index: u64,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u32,
        /// Length of the whole snapshot, in bytes.
        total_length: u32,
        /// The chunk.
        data: Vec<u8>,
        /// The voters as of `last_index`.
        members: Members,
    },
}

/// A message with its sender, group and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's group; 0 is none yet.
    pub group: u64,
    /// The sender.
    pub from: NodeId,
    /// The incarnation of the node that it is meant for; 0 is any.
    pub to_incarnation: u64,
    /// The sender's current term.
    pub term: u64,
    /// The message.
    pub message: Message,
}

/// Why received bytes are not a usable packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The first byte names another version of the format.
    #[error("the packet has another version than {VERSION}")]
    UnsupportedVersion,
    /// The bytes do not decode.
    #[error("the packet is malformed")]
    Malformed,
    /// The packet, or a part of it, is larger than its limit.
    #[error(
        "the packet has over {MAX_PACKET_BYTES} bytes, a name over {MAX_NAME_BYTES} bytes, \
         a command over {MAX_COMMAND_BYTES} bytes or over {MAX_VOTERS} voters and a new one"
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
    /// The packet as the bytes of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        encode(VERSION, self)
    }

    /// Reads a packet from the bytes of a datagram.
    ///
    /// # Errors
    /// The bytes are of another version, malformed, or beyond a limit.
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
