//! The five rules once more, written to be read and slow: a model that keeps whole histories and recounts them at each
//! step, beside a simulation that steps the real decisions. Of their code only the interface is used.
//!
//! - [`model`]: what is recorded, and which rule checks what
//! - [`violation`]: the rules, and how a broken one is reported
//! - [`coverage`]: how often the rules were put to the test
//! - [`simulation`]: a fleet and its faults, drawn from a seed
//! - [`event_queue`]: events by the time at which they fall due
//! - [`mutation`]: sidecars that break a rule on purpose

pub mod coverage;
pub mod event_queue;
mod history;
pub mod model;
pub mod mutation;
mod rules;
pub mod simulation;
pub mod violation;
