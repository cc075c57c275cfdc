//! Load generation and measurement on one machine.
//!
//! - [`generator`]: sends requests on a schedule, and measures each from its scheduled time, so that a stall counts for every
//!   request that it delayed
//! - [`compare`]: compares direct connections to a pod with a plain TCP relay and a sidecar
//! - [`idle_connections`]: measures the cost of idle connections to a sidecar
//! - [`pods`] and [`relay`]: static pods, and a plain TCP relay
//! - [`sidecar_settings`]: settings of a sidecar with a fixed set of pods
//! - `child_process`: child processes and their resource usage
//! - [`error`]: errors of measurements

mod child_process;
pub mod compare;
pub mod error;
pub mod generator;
pub mod idle_connections;
pub mod pods;
pub mod relay;
mod request;
pub mod sidecar_settings;

pub use error::LoadError;
