//! A soak of the decisions: days of simulated events, without sockets and without sleep. Two rollouts a day replace all
//! pods, each request has a routing key of its own, nights are idle, and for hours the endpoint list is unavailable.
//!
//! Time is simulated; only the caller's stopwatch reads the machine's clock.

mod config;
mod simulation;

pub use config::SoakConfig;
pub use simulation::{DayTotals, Soak};
