//! PostgreSQL's protocol 3, both sides, free of I/O: bytes in, messages out and back. Every length is checked
//! before a byte that it speaks of is kept. `docs/platform.md` says why no library reads these messages.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod frames;
pub mod read;
pub mod write;

pub use frames::{waiting, Frame, Frames, Refused};

/// The version of the protocol, as a startup message tells it.
pub const VERSION: u32 = 3 << 16;
