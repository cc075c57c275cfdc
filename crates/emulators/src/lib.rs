//! Emulators of all that a sidecar speaks with, and the days that they play.
//!
//! `pod_model`, `deduplication` and `rollout` are models without I/O; `script` is what a day's file says; `day` drives them all on one
//! loop, with the sidecars as processes of their own, and writes the record. `platform` holds the parties of the PostgreSQL platform,
//! for tests; `fleet` plays scripts of faults between sidecars, with processes and in simulated time.

pub mod day;
pub mod deduplication;
pub mod fleet;
mod locks;
pub mod platform;
pub mod pod_model;
pub mod rollout;
pub mod script;
