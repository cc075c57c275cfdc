//! The terms that messages, log and stored records share: node identities, configurations and log entries.
//!
//! These types are serialized with postcard, which goes by the order of fields and variants: the order is part of the wire
//! format and of the format on disk.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Largest command that can be proposed, in bytes: an entry with it still fits into one packet.
pub const MAX_COMMAND_BYTES: usize = 700;
/// Most voters that a configuration can have.
pub const MAX_VOTERS: usize = 7;
/// Longest name of a node, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 32;
/// Largest snapshot that a node accepts, in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound of an entry's encoded size beside its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Upper bound of a node identity's encoded size beside its name, in bytes.
const NODE_ID_OVERHEAD_BYTES: usize = 12;

/// A node's identity: its name and the incarnation of its disk. A node that has lost its disk has another identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The node's name, the same over all incarnations.
    pub name: String,
    /// The random number that the disk got when it was first used; 0 is none.
    pub incarnation: u64,
}

/// A set of nodes.
pub type Members = BTreeSet<NodeId>;

/// A cluster configuration (dissertation, chapter 4): who has a vote, and who is to get one next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The nodes whose votes make majorities.
    pub voters: Members,
    /// The name whose node becomes a voter once it has caught up. Set by an operator, or by the leader when it has removed
    /// an old incarnation of that name.
    pub pending_voter: Option<String>,
}

/// An entry's position in the log; the first entry has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's index; 0 is before the first entry.
    pub index: u64,
    /// The term of the leader that appended the entry.
    pub term: u64,
}

impl LogPosition {
    /// Whether a log that ends here is at least as up to date as one that ends at `other` (the paper, 5.4.1).
    pub fn is_up_to_date_with(&self, other: &LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A new leader's first entry: once it is committed, so are all entries before it (dissertation, 6.4).
    Noop,
    /// The configuration in force from this entry on, whether or not it is committed (dissertation, 4.1).
    Configuration(Configuration),
    /// A command for the host's state machine, at most [`MAX_COMMAND_BYTES`] long.
    Command(Vec<u8>),
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

impl Entry {
    /// An upper bound of the entry's encoded size, in bytes.
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
