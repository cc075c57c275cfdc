//! What is to be written to stable storage, and how far writing has come.

use super::{RaftNode, Role};
use crate::persistent_state::PersistentState;
use crate::storage::Record;
use std::collections::VecDeque;
use std::time::Duration;

/// Records that the host is to append to the log file, in this order, and then to report by the batch's number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    /// Counts up from 1 in each process.
    pub number: u64,
    /// What to append.
    pub records: Vec<Record>,
}

/// A batch that was handed out and is not durable yet.
struct UnpersistedBatch {
    number: u64,
    /// The end of the log once the batch is durable.
    last_index: u64,
}

/// The records that wait to be written, and which batches are durable.
pub(super) struct Persistence {
    pending_records: Vec<Record>,
    last_batch: u64,
    persisted_batch: u64,
    unpersisted_batches: VecDeque<UnpersistedBatch>,
    /// Up to which index the log is durable.
    durable_index: u64,
}

impl Persistence {
    pub(super) fn new(durable_index: u64, pending_records: Vec<Record>) -> Self {
        Self {
            pending_records,
            last_batch: 0,
            persisted_batch: 0,
            unpersisted_batches: VecDeque::new(),
            durable_index,
        }
    }

    pub(super) fn push(&mut self, record: Record) {
        self.pending_records.push(record);
    }

    /// The batch that makes all records so far durable.
    pub(super) fn required_batch(&self) -> u64 {
        self.last_batch + u64::from(!self.pending_records.is_empty())
    }

    pub(super) fn persisted_batch(&self) -> u64 {
        self.persisted_batch
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// The entries after `index` were replaced: what was, or will be, durable of them counts no more.
    pub(super) fn limit_durable_index(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        for batch in &mut self.unpersisted_batches {
            batch.last_index = batch.last_index.min(index);
        }
    }

    fn next_batch(&mut self, last_index: u64) -> Option<WriteBatch> {
        if self.pending_records.is_empty() {
            return None;
        }
        self.last_batch += 1;
        let number = self.last_batch;
        self.unpersisted_batches
            .push_back(UnpersistedBatch { number, last_index });
        Some(WriteBatch {
            number,
            records: std::mem::take(&mut self.pending_records),
        })
    }

    fn persisted(&mut self, number: u64) {
        self.persisted_batch = self.persisted_batch.max(number);
        while let Some(batch) = self.unpersisted_batches.front() {
            if batch.number > self.persisted_batch {
                break;
            }
            self.durable_index = self.durable_index.max(batch.last_index);
            self.unpersisted_batches.pop_front();
        }
    }
}

impl RaftNode {
    /// The records to write next; none if there are none.
    pub fn next_write_batch(&mut self) -> Option<WriteBatch> {
        self.persistence.next_batch(self.log.last_position().index)
    }

    /// All batches up to this number are durable. A leader's own log counts for commitment only from then on
    /// (dissertation, 10.2.1), and so does a candidate's vote for itself.
    pub fn persisted(&mut self, now: Duration, number: u64) {
        self.persistence.persisted(number);
        match self.role {
            Role::Candidate | Role::PreCandidate => self.count_votes(now),
            Role::Leader => self.advance_commit_index(now),
            Role::Unjoined | Role::Follower => {}
        }
    }

    /// The fewest records that make up the node's present state. A host may replace a long log file by them once all batches
    /// that it was handed are written.
    pub fn compacted_records(&self) -> Vec<Record> {
        let state = PersistentState {
            id: Some(self.id.clone()),
            group: self.group,
            term: self.current_term,
            voted_for: self.voted_for.clone(),
            log: self.log.clone(),
        };
        state.to_records()
    }

    /// Records the current term and the vote in it.
    pub(super) fn persist_term(&mut self) {
        self.persistence.push(Record::Term {
            term: self.current_term,
            voted_for: self.voted_for.clone(),
        });
    }
}
