//! Writes to stable storage and their progress.

use super::{RaftNode, Role};
use crate::persistent_state::PersistentState;
use crate::storage::Record;
use std::collections::VecDeque;
use std::time::Duration;

/// Records for the host to append to the log file in this order. The host reports their durability
/// by the batch number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    /// Sequence number of the batch, starting at 1 in each process.
    pub number: u64,
    /// The records to append.
    pub records: Vec<Record>,
}

/// A batch that was handed to the host and is not durable yet.
struct UnpersistedBatch {
    number: u64,
    /// Index of the last log entry once the batch is durable.
    last_index: u64,
}

/// The records that are waiting to be written, and the durability of earlier batches.
pub(super) struct Persistence {
    pending_records: Vec<Record>,
    last_batch: u64,
    persisted_batch: u64,
    unpersisted_batches: VecDeque<UnpersistedBatch>,
    /// Index of the last durable log entry.
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

    /// Returns the batch that has to be durable for all records so far to be durable.
    pub(super) fn required_batch(&self) -> u64 {
        self.last_batch + u64::from(!self.pending_records.is_empty())
    }

    pub(super) fn persisted_batch(&self) -> u64 {
        self.persisted_batch
    }

    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Limits the durable part of the log to `index` because the entries after it were replaced,
    /// including those in batches that are not durable yet.
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
    /// Returns the next records to write, or none if nothing is pending.
    pub fn next_write_batch(&mut self) -> Option<WriteBatch> {
        self.persistence.next_batch(self.log.last_position().index)
    }

    /// Reports that all batches up to this number are durable. Only then does the leader's own log
    /// count for commitment (dissertation, 10.2.1), and a candidate's vote for itself in an
    /// election.
    pub fn persisted(&mut self, now: Duration, number: u64) {
        self.persistence.persisted(number);
        match self.role {
            Role::Candidate | Role::PreCandidate => self.count_votes(now),
            Role::Leader => self.advance_commit_index(now),
            Role::Unjoined | Role::Follower => {}
        }
    }

    /// Returns a minimal sequence of records that produces the current state. A host may replace a
    /// long log file by them once all batches that it was handed are written.
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

    /// Writes the current term and the vote in it to stable storage.
    pub(super) fn persist_term(&mut self) {
        self.persistence.push(Record::Term {
            term: self.current_term,
            voted_for: self.voted_for.clone(),
        });
    }
}
