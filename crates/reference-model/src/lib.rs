//! The five rules once more, written to be read and slow: a model that keeps whole histories and recounts them at each
//! step, beside a simulation that steps the real decisions. Of their code only the interface is used.
//!
//! - [`model`]: what is recorded, and which rule checks what
//! - [`violation`]: the rules, and how a broken one is reported
//! - [`coverage`]: how often the rules were put to the test
//! - [`world`]: a fleet and its faults, drawn from a seed
//! - [`mutation`]: sidecars that break a rule on purpose

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod coverage;
mod history;
pub mod model;
pub mod mutation;
mod rules;
pub mod violation;
pub mod world;
