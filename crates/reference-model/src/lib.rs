//! A reference model of the five rules, written for clarity rather than speed. It keeps the full history and scans it
//! at each step of a simulation that runs the real decision engine. It uses only the interface of the engine.
//!
//! - [`model`]: records events and actions, and checks them against the rules
//! - [`violation`]: the rules and the reports of their violations
//! - [`coverage`]: counts how often each rule is exercised
//! - [`simulation`]: a simulated fleet with faults, generated from a seed
//! - [`event_queue`]: a queue of events ordered by due time
//! - [`mutation`]: deliberate rule violations that the model has to detect

pub mod coverage;
pub mod event_queue;
mod history;
pub mod model;
pub mod mutation;
mod rules;
pub mod simulation;
pub mod violation;
