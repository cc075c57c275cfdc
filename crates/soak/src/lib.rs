//! Soak test of the decision engine: days of simulated events, without sockets and without sleeping. Two rollouts per day
//! replace all pods, each request has a unique routing key, nights are idle, and the endpoint list is unavailable for
//! hours.
//!
//! Time is simulated. Only the caller's stopwatch reads the system clock.

mod config;
mod simulation;

pub use config::SoakConfig;
pub use simulation::{DayTotals, Soak};
