//! Codec of the simulator wire: batches of events in, replies of actions out.

mod read;
mod start;
mod write;

pub use read::{read_batch, Batch, ListHow, Record, Trouble};
pub use start::{socket_terms, start_terms, SocketTerms};
pub use write::Reply;

/// The largest frame that is taken, in bytes.
pub const LARGEST_FRAME: u32 = 256 << 20;
