//! The format of a voter's log file and its recovery.
//!
//! The file is a sequence of records of the form `magic[4] length[4] crc32[4] payload`. Integers
//! are little endian, and the payload is a [`Record`] in postcard, which identifies fields and
//! variants by their order. An incomplete last record is dropped, because the node made no promise
//! that depends on it. Damage that is followed by valid records is an error: the voter no longer
//! knows what it has promised and must not continue under the same identity.

use crate::persistent_state::PersistentState;
use crate::types::{Configuration, Entry, LogPosition, NodeId};
use serde::{Deserialize, Serialize};

/// The first bytes of each record.
const MAGIC: [u8; 4] = *b"agr1";
/// Number of bytes of a record before its payload.
const HEADER_BYTES: usize = 12;
/// Maximum payload of a record in bytes.
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// A record of a voter's log file. The file stores the persistent state (the paper, figure 2) as a
/// sequence of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The node that owns the file; always the first record.
    Identity(NodeId),
    /// The node has joined a group. Both parts are in one record because a write may tear between
    /// two records.
    Group {
        /// The identifier of the group.
        group: u64,
        /// The initial voters of the group.
        initial: Configuration,
    },
    /// The current term and the vote in it.
    Term {
        /// The number of the term.
        term: u64,
        /// The candidate that got this node's vote in the term.
        voted_for: Option<NodeId>,
    },
    /// An entry appended to the log.
    Entry {
        /// The index of the entry.
        index: u64,
        /// The appended entry.
        entry: Entry,
    },
    /// Removes the end of the log, from this index on.
    Truncate {
        /// The first index that is removed.
        from_index: u64,
    },
    /// A snapshot. If the log contains the snapshot's last entry, the entries after it are kept;
    /// otherwise the log is empty after the snapshot.
    Snapshot {
        /// Position of the last entry included in the snapshot.
        last: LogPosition,
        /// The configuration as of that entry.
        configuration: Configuration,
        /// The host's state.
        state: Vec<u8>,
    },
}

impl Record {
    /// Appends the encoded record to `out`.
    pub fn encode_into(&self, out: &mut Vec<u8>) {
        let payload = postcard::to_allocvec(self).unwrap_or_default();
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        out.extend_from_slice(&payload);
    }

    /// Decodes the record at the start of `bytes` and returns it with its encoded length; none if
    /// there is no valid record.
    fn decode(bytes: &[u8]) -> Option<(Self, usize)> {
        let length = read_u32(bytes, 4)? as usize;
        if bytes.get(..4)? != MAGIC || length > MAX_RECORD_BYTES {
            return None;
        }
        let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
        if crc32fast::hash(payload) != read_u32(bytes, 8)? {
            return None;
        }
        let record = postcard::from_bytes(payload).ok()?;
        Some((record, HEADER_BYTES + length))
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// The reason why a log file cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The bytes at this offset are not a record, but valid records follow.
    #[error("invalid record at byte {0} of the log, followed by valid records")]
    Corrupt(usize),
    /// The record at this offset contradicts the records before it.
    #[error("the record at byte {0} of the log contradicts the records before it")]
    OutOfOrder(usize),
}

/// The content of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// All valid records, in order.
    pub records: Vec<Record>,
    /// End of the last valid record in bytes. The file has to be truncated to this length before
    /// more records are written.
    pub valid_length: usize,
}

/// Reads a log file.
///
/// # Errors
/// The file is damaged before its last record, or its records are in an order that no node writes.
pub fn read_log(bytes: &[u8]) -> Result<RecoveredLog, LogError> {
    let mut recovered = RecoveredLog::default();
    let mut state = PersistentState::default();
    while let Some((record, length)) = Record::decode(&bytes[recovered.valid_length..]) {
        if !state.apply(&record) {
            return Err(LogError::OutOfOrder(recovered.valid_length));
        }
        recovered.records.push(record);
        recovered.valid_length += length;
    }
    let rest = &bytes[recovered.valid_length..];
    let is_record = |offset: usize| {
        rest[offset..].starts_with(&MAGIC) && Record::decode(&rest[offset..]).is_some()
    };
    if (1..rest.len()).any(is_record) {
        return Err(LogError::Corrupt(recovered.valid_length));
    }
    Ok(recovered)
}
