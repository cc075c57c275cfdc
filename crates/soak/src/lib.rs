//! A soak of the decision module: days of made events, with no sockets and no sleep. Two releases a day replace
//! all pods, each hit has a key of its own, nights are idle, and for hours the list fails.
//!
//! Time is the module's own; only the caller's stopwatch looks at the machine's clock.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod fleet;

pub use fleet::{Day, Soak, Terms};
