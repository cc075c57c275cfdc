//! Chunked transfer of snapshots from the leader to a follower (the paper, 7).

use super::{Committed, RaftNode};
use crate::message::Message;
use crate::storage::Record;
use crate::types::{Configuration, LogPosition, NodeId, MAX_SNAPSHOT_BYTES};
use std::time::Duration;

/// Maximum size of a snapshot chunk in one packet, in bytes.
pub(super) const SNAPSHOT_CHUNK_BYTES: usize = 400;

/// A snapshot that is being received.
pub(super) struct IncomingSnapshot {
    /// Position of the last entry included in the snapshot.
    last: LogPosition,
    /// The bytes received so far.
    data: Vec<u8>,
}

/// A received chunk of a snapshot; see [`Message::SnapshotRequest`].
pub(super) struct SnapshotChunk {
    pub(super) last: LogPosition,
    pub(super) configuration: Configuration,
    pub(super) offset: u32,
    pub(super) total_length: u32,
    pub(super) data: Vec<u8>,
}

impl RaftNode {
    /// Sends the next snapshot chunk to a node that is missing entries which only the snapshot
    /// contains.
    pub(super) fn send_snapshot_chunk(&mut self, id: &NodeId) {
        let last = self.log.snapshot_position();
        let Some(progress) = self.progress.get_mut(id) else {
            return;
        };
        if progress.snapshot_index != last.index {
            progress.snapshot_index = last.index;
            progress.snapshot_offset = 0;
        }
        let offset = progress.snapshot_offset;
        let request = Message::SnapshotRequest {
            last,
            configuration: self.log.snapshot_configuration().clone(),
            offset,
            total_length: self.log.snapshot_data().len() as u32,
            data: self
                .log
                .snapshot_chunk(offset as usize, SNAPSHOT_CHUNK_BYTES),
            round: self.round,
        };
        self.send(id, request);
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        now: Duration,
        from: &NodeId,
        last: LogPosition,
        received: u32,
        round: u64,
    ) {
        let snapshot_position = self.log.snapshot_position();
        let Some(progress) = self.record_response(now, from, round) else {
            return;
        };
        if last == snapshot_position {
            progress.snapshot_index = last.index;
            progress.snapshot_offset = received;
            self.send_append(from);
        }
    }

    pub(super) fn handle_snapshot_request(
        &mut self,
        from: &NodeId,
        chunk: SnapshotChunk,
        round: u64,
    ) {
        let last = chunk.last;
        if last.index <= self.commit_index {
            let matched = Ok(self.commit_index);
            self.send(from, Message::AppendResponse { matched, round });
            return;
        }
        let mut data = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.last == last => incoming.data,
            _ => Vec::new(),
        };
        let total_length = chunk.total_length as usize;
        if chunk.offset as usize == data.len() && total_length <= MAX_SNAPSHOT_BYTES {
            data.extend_from_slice(&chunk.data);
        }
        if data.len() < total_length {
            let received = data.len() as u32;
            self.incoming_snapshot = Some(IncomingSnapshot { last, data });
            let response = Message::SnapshotResponse {
                last,
                received,
                round,
            };
            self.send(from, response);
            return;
        }
        self.install_snapshot(last, chunk.configuration, data);
        let matched = Ok(last.index);
        self.send(from, Message::AppendResponse { matched, round });
    }

    fn install_snapshot(
        &mut self,
        last: LogPosition,
        configuration: Configuration,
        state: Vec<u8>,
    ) {
        let keeps_entries = self.log.install_snapshot(last, &configuration, &state);
        if !keeps_entries {
            self.persistence.limit_durable_index(last.index);
        }
        self.persistence.push(Record::Snapshot {
            last,
            configuration,
            state: state.clone(),
        });
        self.commit_index = last.index;
        self.snapshot_to_apply = Some(Committed::Snapshot {
            last_index: last.index,
            state,
        });
    }
}
