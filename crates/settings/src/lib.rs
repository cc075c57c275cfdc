//! What a sidecar is told at its start: read from JSON, checked, and turned into start terms.

mod read;
mod sidecar;
mod terms;

pub use read::{read, read_text, Checked, Misfit, Unusable};
pub use sidecar::*;
