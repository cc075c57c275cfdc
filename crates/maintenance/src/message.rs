//! Messages between sidecars and the leader about leases and proposals.
//!
//! Messages are encoded with postcard, which identifies fields and variants by their order. New
//! ones are only appended, and existing ones are never reordered.

use crate::command::{FormatError, Identifier, FORMAT_VERSION};
use limewing_versioned_codec::{decode, encode};
use serde::{Deserialize, Serialize};

/// A message between a sidecar and the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A sidecar requests its lease.
    LeaseRequest {
        /// The incarnation of the sidecar's process.
        incarnation: u64,
        /// The number of the request.
        request: u64,
        /// Log index up to which the sidecar has applied the log.
        applied_index: u64,
        /// The grants of the machines that the sidecar has drained.
        drained: Vec<Identifier>,
        /// The number of rejections per thousand recent requests.
        rejected_per_mille: u16,
    },
    /// The leader grants the lease.
    LeaseResponse {
        /// The number of the request.
        request: u64,
        /// The lease is valid once the sidecar has applied the log up to this index.
        commit_index: u64,
    },
    /// The sidecar shuts down and sends no more requests.
    Leave {
        /// The incarnation of the sidecar's process.
        incarnation: u64,
    },
    /// A sidecar that is not the leader asks the leader to propose a command.
    Propose {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// An operator makes a sidecar a voter or a non-voter.
    ChangeVote {
        /// The name of the sidecar.
        name: String,
        /// Whether the sidecar becomes a voter.
        is_voter: bool,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        encode(FORMAT_VERSION, self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// The bytes have another format version or are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        Ok(decode(FORMAT_VERSION, bytes)?)
    }
}
