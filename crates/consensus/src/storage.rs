//! The format of a voter's log file, and how it is read back.
//!
//! The file is a sequence of records, each `magic[4] length[4] crc32[4] payload`: integers little endian, the payload a
//! [`Record`] in postcard (which goes by the order of fields and variants). A last record that was not written to its end is
//! dropped: nothing was promised by it. Damage with valid records after it is an error: the voter no longer knows what it has
//! promised, and must not go on under the same identity.

use crate::persistent_state::PersistentState;
use crate::types::{Configuration, Entry, LogPosition, NodeId};
use serde::{Deserialize, Serialize};

/// The first bytes of each record.
const MAGIC: [u8; 4] = *b"agr1";
/// Bytes of a record before its payload.
const HEADER_BYTES: usize = 12;
/// Largest payload of a record, in bytes.
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// One record of a voter's log file: the persistent state of the paper's figure 2, as a sequence of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Whose file it is: the first record.
    Identity(NodeId),
    /// The node has joined a group. One record has both parts, as a write may tear between two records.
    Group {
        /// The group's number.
        group: u64,
        /// The voters at the group's start.
        initial: Configuration,
    },
    /// The current term, and the vote in it.
    Term {
        /// The term.
        term: u64,
        /// Who got this node's vote in that term.
        voted_for: Option<NodeId>,
    },
    /// An entry at the end of the log.
    Entry {
        /// The entry's index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// The log ends before this index.
    Truncate {
        /// The first index that is removed.
        from_index: u64,
    },
    /// A snapshot. Entries after it stay if the log has its last entry; else the log is empty after it.
    Snapshot {
        /// The last entry that the snapshot includes.
        last: LogPosition,
        /// The configuration as of that entry.
        configuration: Configuration,
        /// The host's state.
        state: Vec<u8>,
    },
}

impl Record {
    /// Appends the record in the file's format to `out`.
    pub fn encode_into(&self, out: &mut Vec<u8>) {
        let payload = postcard::to_allocvec(self).unwrap_or_default();
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        out.extend_from_slice(&payload);
    }

    /// Reads the record at the start of `bytes`, and its length in the file; none if there is no valid one.
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

/// Why a log file can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The bytes at this offset are no record, and valid records follow.
    #[error("the log is damaged at byte {0}: expected a record there, as valid records follow")]
    Corrupt(usize),
    /// The record at this offset contradicts those before it.
    #[error("the record at byte {0} of the log can't follow those before it")]
    OutOfOrder(usize),
}

/// What a log file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// All valid records, in order.
    pub records: Vec<Record>,
    /// End of the last valid record, in bytes: the file is to be truncated there before more is written.
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
