//! Heap statistics of the process.

use crate::HEAP;

/// Returns the number of bytes currently allocated.
pub(crate) fn allocated_bytes() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Returns the number of allocations since the start of the process.
pub(crate) fn allocation_count() -> usize {
    HEAP.stats().allocations
}
