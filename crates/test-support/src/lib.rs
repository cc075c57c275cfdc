//! Test helpers shared by several packages. No program depends on this crate.
//!
//! - [`digest`]: a hash over the complete output of a simulated run
//! - [`golden`]: files that pin the encoding of a format

pub mod digest;
pub mod golden;
