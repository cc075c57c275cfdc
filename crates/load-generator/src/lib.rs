//! Load on one machine.
//!
//! - [`generator`]: sends requests on a schedule, and measures each from the moment it was due, so that a stall counts for all
//!   requests that it delayed
//! - [`compare`]: the same load straight to a pod, through a bare relay, and through a sidecar
//! - [`idle_connections`]: what an idle connection costs a sidecar
//! - [`pods`] and [`relay`]: what the load goes to, or through
//! - [`sidecar_settings`]: settings of a sidecar that knows such pods
//! - `child_process`: a process of the comparison, and what the system tells of it
//! - [`error`]: what can go wrong

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
