//! What both proxies share, whatever protocol they speak. Nothing is decided here.
//!
//! - [`in_flight`]: requests in flight and their attempts
//! - [`connection_pool`]: idle connections to pods
//! - [`idle_timeout`]: how long a connection may stay idle
//! - [`send_permit`]: permission to write an attempt to its pod
//! - [`descriptor_budget`]: how file descriptors are shared out
//! - [`backoff`]: delays between attempts to reach a control service
//! - [`clock`]: the monotonic clock and the time of day
//! - [`shutdown`]: the steps of a graceful shutdown

pub mod backoff;
pub mod clock;
pub mod connection_pool;
pub mod descriptor_budget;
pub mod idle_timeout;
pub mod in_flight;
pub mod send_permit;
pub mod shutdown;
