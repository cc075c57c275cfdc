//! What a sidecar is told at its start: read from JSON, checked, and turned into start terms.

mod read;
mod sidecar;
mod terms;
mod work;

pub use read::{findings, read, read_text, Checked, Misfit, Unusable};
pub use sidecar::*;
pub use work::{Select, WorkLimits, WorkList, WorkWindow};
