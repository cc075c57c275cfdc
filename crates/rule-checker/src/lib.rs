//! Checks from the record of a day whether the five rules were kept. The record ([`record`]) says what crossed the sockets, as the
//! emulators at their far ends saw it; the checks share no code and no state with the decisions that they judge.

pub mod balance;
pub mod checker;
pub mod cross_sidecar;
pub mod maintenance;
pub mod record;
pub mod report;
mod rules;
mod service;
mod stalls;
