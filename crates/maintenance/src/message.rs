//! Messages between sidecars and the leader about leases and proposals.
//!
//! Messages are encoded with postcard, which goes by the order of fields and variants: append, never reorder.

use crate::command::{FormatError, Identifier, FORMAT_VERSION};
use limewing_versioned_codec::{decode, encode};
use serde::{Deserialize, Serialize};

/// A message between a sidecar and the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sidecar requests its lease.
    LeaseRequest {
        /// Number of the sidecar's process.
        incarnation: u64,
        /// Number of the request.
        request: u64,
        /// Index through which the sidecar has applied the log.
        applied_index: u64,
        /// Grants whose machines the sidecar is drained from.
        drained: Vec<Identifier>,
        /// Of a thousand of its recent requests, how many it rejected.
        rejected_per_mille: u16,
    },
    /// The leader grants the lease.
    LeaseResponse {
        /// Number of the request.
        request: u64,
        /// The lease holds once the sidecar has applied the log through this index.
        commit_index: u64,
    },
    /// The sidecar shuts down, and sends no more requests.
    Leave {
        /// Number of the sidecar's process.
        incarnation: u64,
    },
    /// A sidecar that does not lead asks the leader to propose a command.
    Propose {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// An operator makes a sidecar a voter, or a non-voter.
    ChangeVote {
        /// The sidecar's name.
        name: String,
        /// Whether it becomes a voter.
        is_voter: bool,
    },
}

impl Message {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes are of another format version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        Ok(decode(FORMAT_VERSION, bytes)?)
    }
}
