//! Types shared by messages, the log and stored records: node identities, configurations and log
//! entries.
//!
//! These types are serialized with postcard, which identifies fields and variants by their order.
//! The order is part of the wire format and of the on-disk format.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum size of a proposed command in bytes. An entry with such a command still fits into one
/// packet.
pub const MAX_COMMAND_BYTES: usize = 700;
/// Maximum number of voters in a configuration.
pub const MAX_VOTERS: usize = 7;
/// Maximum length of a node's name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 32;
/// Maximum size of a snapshot that a node accepts, in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound of the encoded size of an entry without its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the encoded size of a node identity without its name, in bytes.
const NODE_ID_OVERHEAD_BYTES: usize = 12;

/// The identity of a node: its name and the incarnation of its disk. A node that has lost its disk
/// gets a new identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The name of the node, which is the same for all its incarnations.
    pub name: String,
    /// A random number assigned to the disk at its first use; 0 means none.
    pub incarnation: u64,
}

/// A set of nodes.
pub type Members = BTreeSet<NodeId>;

/// A cluster configuration (dissertation, chapter 4): the current voters, and the next one to be
/// added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The nodes whose votes form majorities.
    pub voters: Members,
    /// The name of the node that becomes a voter once it has caught up. It is set by an operator,
    /// or by the leader when it removes an old incarnation of that name.
    pub pending_voter: Option<String>,
}

/// The position of an entry in the log. The first entry has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The index of the entry; 0 is the position before the first entry.
    pub index: u64,
    /// The term of the leader that appended the entry.
    pub term: u64,
}

impl LogPosition {
    /// Returns whether a log that ends here is at least as up to date as one that ends at `other`
    /// (the paper, 5.4.1).
    pub fn is_up_to_date_with(&self, other: &LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader. Once it is committed, so are all entries before it
    /// (dissertation, 6.4).
    Noop,
    /// The configuration in force from this entry on, whether or not it is committed (dissertation,
    /// 4.1).
    Configuration(Configuration),
    /// A command for the host's state machine, at most [`MAX_COMMAND_BYTES`] long.
    Command(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The content of the entry.
    pub payload: EntryPayload,
}

impl Entry {
    /// Returns an upper bound of the encoded size of the entry in bytes.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Configuration(configuration) => {
                let voters = configuration.voters.iter();
                let voter_bytes = voters.map(|id| id.name.len() + NODE_ID_OVERHEAD_BYTES);
                MAX_NAME_BYTES + voter_bytes.sum::<usize>()
            }
            EntryPayload::Command(command) => command.len(),
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}
