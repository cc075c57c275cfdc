//! Stand-ins for all that a sidecar speaks with, and the days that they play.
//!
//! `pod_model`, `deduplication` and `rollout` are models without I/O; `script` is what a day's file says; `day` drives them
//! all on one loop, with the sidecars as processes of their own, and writes the record. `platform` holds the
//! platform's parties, for tests.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod day;
pub mod deduplication;
pub mod fleet;
pub mod platform;
pub mod pod_model;
pub mod rollout;
pub mod script;
