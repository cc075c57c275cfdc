//! limewing: a front tier that watches over software updates.
//!
//! `choice` holds every decision, `interface` the words it speaks with its host; `inbox` and `ledger` are
//! plain containers.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod choice;
pub mod figures;
pub mod inbox;
pub mod interface;
pub mod ledger;
pub mod notes;
pub mod sidecar;

pub use choice::WATCH_RETRY_DELAY;
pub use sidecar::DecisionEngine;
