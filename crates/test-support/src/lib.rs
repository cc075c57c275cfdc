//! What the tests of several packages share. No program depends on it.
//!
//! - [`digest`]: one hash over all that a simulated run puts out
//! - [`golden`]: files that pin the bytes of a format

pub mod digest;
pub mod golden;
