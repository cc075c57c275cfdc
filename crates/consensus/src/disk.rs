//! What is kept on disk, as bytes: records one behind the other, each `mark[4] length[4] crc[4] payload`, integers little
//! endian, payload by postcard. A tail that was not written to its end is cut off: nothing was promised by it. Damage with sound
//! records behind it is told with its place: the disk forgot what was promised, and its life is over.

use crate::log::Log;
use crate::words::{Configuration, Entry, LogPosition, NodeId};
use serde::{Deserialize, Serialize};

const MARK: [u8; 4] = *b"agr1";
const HEAD: usize = 12;
/// Bytes of one record, at most.
const MOST_RECORD: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Whose disk it is: the first record.
    Identity(NodeId),
    /// The group it is in, and who had a vote when that was made: in one record, as a write may tear between two.
    Group {
        group: u64,
        initial: Configuration,
    },
    Term {
        term: u64,
        voted_for: Option<NodeId>,
    },
    Entry {
        index: u64,
        entry: Entry,
    },
    /// No entry from here on.
    Truncate {
        from_index: u64,
    },
    /// The state is whole up to here; entries behind it stay where their term shows that they follow.
    Snapshot {
        last: LogPosition,
        configuration: Configuration,
        state: Vec<u8>,
    },
}

impl Record {
    pub fn encode_into(&self, out: &mut Vec<u8>) {
        let payload = postcard::to_allocvec(self).unwrap_or_default();
        out.extend_from_slice(&MARK);
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        out.extend_from_slice(&payload);
    }
}

/// A disk that can't be gone on with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    #[error("damaged at byte {0}, with sound records behind it")]
    Corrupt(usize),
    #[error("the record at byte {0} can't follow what is before it")]
    OutOfOrder(usize),
}

/// What was read, and up to where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    pub records: Vec<Record>,
    /// Bytes up to the end of the last sound record: what is behind them is to be cut off before more is written.
    pub valid_length: usize,
}

fn one(bytes: &[u8]) -> Option<(Record, usize)> {
    let field = |from: usize| {
        Some(u32::from_le_bytes(
            bytes.get(from..from + 4)?.try_into().ok()?,
        ))
    };
    let length = field(4)? as usize;
    if bytes.get(..4)? != MARK || length > MOST_RECORD {
        return None;
    }
    let payload = bytes.get(HEAD..HEAD + length)?;
    if crc32fast::hash(payload) != field(8)? {
        return None;
    }
    Some((postcard::from_bytes(payload).ok()?, HEAD + length))
}

/// # Errors
/// Damage that is not just a tail, or records in an order that nobody wrote.
pub fn read_log(bytes: &[u8]) -> Result<RecoveredLog, LogError> {
    let mut recovered = RecoveredLog::default();
    let mut held = PersistentState::default();
    while let Some((record, length)) = one(&bytes[recovered.valid_length..]) {
        if !held.take(&record) {
            return Err(LogError::OutOfOrder(recovered.valid_length));
        }
        recovered.records.push(record);
        recovered.valid_length += length;
    }
    let rest = &bytes[recovered.valid_length..];
    let sound_behind =
        (1..rest.len()).any(|at| rest[at..].starts_with(&MARK) && one(&rest[at..]).is_some());
    if sound_behind {
        return Err(LogError::Corrupt(recovered.valid_length));
    }
    Ok(recovered)
}

/// What a disk holds, record by record; whatever number of them a tear has left, it is a state that was there.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    pub life: Option<NodeId>,
    pub group: u64,
    pub term: u64,
    pub voted: Option<NodeId>,
    pub log: Log,
}

impl PersistentState {
    /// False if the record can't follow.
    pub fn take(&mut self, record: &Record) -> bool {
        let known = self.life.is_some();
        match record {
            Record::Identity(id) if !known => self.life = Some(id.clone()),
            Record::Identity(_) => return false,
            _ if !known => return false,
            Record::Group {
                group,
                initial: first,
            } => {
                self.group = *group;
                self.log = Log::of(LogPosition::default(), first.clone(), Vec::new());
            }
            Record::Term {
                term,
                voted_for: voted,
            } => {
                if *term < self.term {
                    return false;
                }
                (self.term, self.voted) = (*term, voted.clone());
            }
            Record::Entry { index, entry } => {
                if *index != self.log.last().index + 1 {
                    return false;
                }
                self.log.push(entry.clone());
            }
            Record::Truncate { from_index: from } => self.log.cut(*from),
            Record::Snapshot {
                last,
                configuration: members,
                state,
            } => {
                let follows = self.log.term_at(last.index) == Some(last.term);
                if !(follows && self.log.compact(last.index, state.clone())) {
                    self.log = Log::of(*last, members.clone(), state.clone());
                }
            }
        }
        true
    }

    /// The records that say the same in the fewest words.
    pub fn records(&self) -> Vec<Record> {
        let mut all: Vec<Record> = self.life.iter().cloned().map(Record::Identity).collect();
        let (last, members) = (self.log.base(), self.log.base_members().clone());
        all.push(Record::Group {
            group: self.group,
            initial: members.clone(),
        });
        all.push(Record::Term {
            term: self.term,
            voted_for: self.voted.clone(),
        });
        if last.index > 0 {
            all.push(Record::Snapshot {
                last,
                configuration: members,
                state: self.log.state().to_vec(),
            });
        }
        let entries = (last.index + 1..=self.log.last().index).filter_map(|index| {
            Some(Record::Entry {
                index,
                entry: self.log.get(index)?.clone(),
            })
        });
        all.extend(entries);
        all
    }
}
