//! Requests of learners.

use super::replication::MAX_BATCH_BYTES;
use super::snapshot::SNAPSHOT_CHUNK_BYTES;
use super::RaftNode;
use crate::message::Message;
use crate::types::NodeId;

impl RaftNode {
    /// Sends committed entries from `next_index` on, or a chunk of the snapshot if the log no
    /// longer contains that entry. The learner has received `received_bytes` of the snapshot that
    /// ends at `snapshot_index`.
    pub(super) fn handle_learner_request(
        &mut self,
        group: u64,
        from: &NodeId,
        next_index: u64,
        (snapshot_index, received_bytes): (u64, u32),
    ) {
        // A new learner has not joined a group yet and sends group 0.
        let is_same_group = group == 0 || group == self.group;
        if self.group == 0 || !is_same_group {
            return;
        }
        let last_index = self.log.snapshot_position().index;
        if next_index > last_index {
            let commit_index = self.commit_index;
            let entries = self
                .log
                .entries_from(next_index, commit_index, MAX_BATCH_BYTES);
            let response = Message::LearnerEntries {
                first_index: next_index,
                entries,
                commit_index,
            };
            self.send(from, response);
            return;
        }
        // A learner that was receiving another snapshot starts over.
        let offset = if snapshot_index == last_index {
            received_bytes
        } else {
            0
        };
        let response = Message::LearnerSnapshot {
            last_index,
            offset,
            total_length: self.log.snapshot_data().len() as u32,
            data: self
                .log
                .snapshot_chunk(offset as usize, SNAPSHOT_CHUNK_BYTES),
            members: self.log.snapshot_configuration().voters.clone(),
        };
        self.send(from, response);
    }
}
