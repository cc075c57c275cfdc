//! Checks the record of a day against the five rules. The record ([`record`]) lists what crossed the sockets, as seen by the emulated
//! clients and pods at their other ends. The checks share neither code nor state with the routing decisions that they verify.

pub mod balance;
pub mod checker;
pub mod cross_sidecar;
pub mod maintenance;
pub mod record;
pub mod report;
mod rules;
mod service;
mod stalls;
