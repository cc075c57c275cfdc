//! What a sidecar is told at its start: read from JSON, checked, and turned into start terms.

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
mod sidecar;
mod terms;
mod work;

pub use read::{findings, read, read_text, Checked, ConfigError, ConfigFileError};
pub use sidecar::*;
pub use work::{Select, WorkLimits, WorkList, WorkWindow};
