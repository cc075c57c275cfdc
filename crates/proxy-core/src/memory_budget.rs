//! A limit on the bytes that a proxy holds for its clients.
//!
//! Bytes are counted while they are held, so that many connections with small requests fit within
//! the same limit as a few with large ones.

use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Clients may use the memory limit divided by this.
const CLIENT_MEMORY_DIVISOR: usize = 2;

/// Counts the bytes held for clients, up to a limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget for a process that may use `memory` bytes.
    #[must_use]
    pub fn for_process(memory: usize) -> Self {
        Self {
            limit: memory / CLIENT_MEMORY_DIVISOR,
            reserved: Arc::default(),
        }
    }

    /// Returns the maximum number of bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes in all reservations.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    #[must_use]
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            bytes: 0,
            limit: self.limit,
            reserved: Arc::clone(&self.reserved),
        }
    }
}

/// Bytes of a [`MemoryBudget`], which are returned when the reservation is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    bytes: usize,
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl MemoryReservation {
    /// Sets the reservation to `bytes` if the budget allows it, where `held_elsewhere` bytes count
    /// against the same limit without a reservation. Otherwise, releases all of it. Returns whether
    /// it was allowed.
    #[must_use]
    pub fn resize_or_release(&mut self, bytes: usize, held_elsewhere: usize) -> bool {
        let others = self.reserved.load(Ordering::Relaxed) - self.bytes;
        let total = others.saturating_add(held_elsewhere).saturating_add(bytes);
        let is_allowed = total <= self.limit;
        self.resize(if is_allowed { bytes } else { 0 });
        is_allowed
    }

    /// Sets the reservation to `bytes`, even beyond the limit.
    pub fn resize(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            self.reserved
                .fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            self.reserved
                .fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Returns this reservation, and leaves an empty one in its place.
    #[must_use]
    pub fn take(&mut self) -> Self {
        let taken = Self {
            bytes: self.bytes,
            limit: self.limit,
            reserved: Arc::clone(&self.reserved),
        };
        self.bytes = 0;
        taken
    }

    /// Returns the same bytes, which keep the reservation for as long as any part of them is held.
    #[must_use]
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes with the reservation for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
