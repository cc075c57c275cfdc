//! Emulators of everything that a sidecar communicates with, and the scripted days that they play.
//!
//! `pod_model`, `deduplication` and `rollout` are models without I/O. `script` defines the file format of a day; `day` runs the models on
//! one event loop, with the sidecars as separate processes, and writes the record. `platform` emulates the services of the PostgreSQL
//! platform, for tests. `fleet` runs scripts of faults between sidecars, both as processes and in simulated time.

pub mod day;
pub mod deduplication;
pub mod fleet;
mod locks;
pub mod platform;
pub mod pod_model;
pub mod rollout;
pub mod script;
