//! The bytes of one connection that the system has not accepted yet.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;

/// A part of the output.
struct Chunk {
    bytes: Bytes,
    /// The bytes belong to the owner of the connection as well, so the queue holds no copy of them.
    is_shared: bool,
}

/// Output waiting to be sent, in order.
#[derive(Default)]
pub(super) struct OutputQueue {
    chunks: VecDeque<Chunk>,
    /// Bytes waiting to be sent.
    length: usize,
    /// Bytes waiting to be sent that are not shared.
    copied: usize,
}

impl OutputQueue {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes that only this queue holds.
    pub(super) fn copied_bytes(&self) -> usize {
        self.copied
    }

    /// Appends a copy of `bytes`.
    pub(super) fn push_copy(&mut self, bytes: &[u8]) {
        self.copied += bytes.len();
        self.push(Bytes::copy_from_slice(bytes), false);
    }

    /// Appends `bytes` without copying them.
    pub(super) fn push_shared(&mut self, bytes: Bytes) {
        self.push(bytes, true);
    }

    fn push(&mut self, bytes: Bytes, is_shared: bool) {
        if bytes.is_empty() {
            return;
        }
        self.length += bytes.len();
        self.chunks.push_back(Chunk { bytes, is_shared });
    }

    /// The bytes to be sent next; empty if none are waiting.
    pub(super) fn front(&self) -> &[u8] {
        self.chunks.front().map_or(&[], |chunk| &chunk.bytes)
    }

    /// Removes the first `sent` bytes of [`front`](Self::front). A chunk is freed once all of it is sent.
    pub(super) fn advance(&mut self, sent: usize) {
        let Some(chunk) = self.chunks.front_mut() else {
            return;
        };
        chunk.bytes.advance(sent);
        self.length -= sent;
        if !chunk.is_shared {
            self.copied -= sent;
        }
        if chunk.bytes.is_empty() {
            self.chunks.pop_front();
        }
        if self.chunks.is_empty() {
            // Idle connections hold no memory.
            self.chunks = VecDeque::new();
        }
    }
}

#[cfg(test)]
mod tests;
