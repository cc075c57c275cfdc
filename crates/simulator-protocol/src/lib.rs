//! Codec of the simulator wire: batches of events in, replies of actions out.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod read;
mod start;
mod write;

pub use read::{read_batch, Batch, ListHow, Record, Trouble};
pub use start::{socket_terms, start_terms, SocketTerms};
pub use write::Reply;

/// The largest frame that is taken, in bytes.
pub const LARGEST_FRAME: u32 = 256 << 20;
