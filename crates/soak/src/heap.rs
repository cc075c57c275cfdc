//! What the process has allocated.

use crate::HEAP;

/// Bytes that are allocated now.
pub(crate) fn allocated_bytes() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Allocations since the start of the process.
pub(crate) fn allocation_count() -> usize {
    HEAP.stats().allocations
}
