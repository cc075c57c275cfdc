//! The persistent state of a voter (the paper, figure 2), built from the records of its log file.

use crate::log::Log;
use crate::storage::Record;
use crate::types::NodeId;

/// The state stored in a log file, applied record by record. Every prefix of the file is a state
/// that the node has been in, so a torn write is safe.
#[derive(Clone, Debug, Default)]
pub(crate) struct PersistentState {
    /// The node that owns the state; none before the first record.
    pub(crate) id: Option<NodeId>,
    /// The group that the node has joined; 0 means none.
    pub(crate) group: u64,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<NodeId>,
    pub(crate) log: Log,
}

impl PersistentState {
    /// Applies the next record. Returns false if it cannot follow the records before it.
    pub(crate) fn apply(&mut self, record: &Record) -> bool {
        let has_id = self.id.is_some();
        match record {
            Record::Identity(id) if !has_id => self.id = Some(id.clone()),
            Record::Identity(_) => return false,
            _ if !has_id => return false,
            Record::Group { group, initial } => {
                self.group = *group;
                self.log = Log::new(initial.clone());
            }
            Record::Term { term, voted_for } => {
                if *term < self.term {
                    return false;
                }
                self.term = *term;
                self.voted_for = voted_for.clone();
            }
            Record::Entry { index, entry } => {
                if *index != self.log.last_position().index + 1 {
                    return false;
                }
                self.log.append(entry.clone());
            }
            Record::Truncate { from_index } => self.log.truncate_from(*from_index),
            Record::Snapshot {
                last,
                configuration,
                state,
            } => {
                self.log.install_snapshot(*last, configuration, state);
            }
        }
        true
    }

    /// Returns a minimal sequence of records that produces this state.
    pub(crate) fn to_records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(id) = &self.id {
            records.push(Record::Identity(id.clone()));
        }
        let snapshot_position = self.log.snapshot_position();
        let configuration = self.log.snapshot_configuration().clone();
        records.push(Record::Group {
            group: self.group,
            initial: configuration.clone(),
        });
        records.push(Record::Term {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
        if snapshot_position.index > 0 {
            records.push(Record::Snapshot {
                last: snapshot_position,
                configuration,
                state: self.log.snapshot_data().to_vec(),
            });
        }
        for index in snapshot_position.index + 1..=self.log.last_position().index {
            if let Some(entry) = self.log.entry(index).cloned() {
                records.push(Record::Entry { index, entry });
            }
        }
        records
    }
}
