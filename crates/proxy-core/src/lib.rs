//! What both proxies share, whatever protocol they speak. Nothing is decided here.
//!
//! - [`in_flight`]: requests in flight and their attempts
//! - [`connection_pool`]: idle connections to pods
//! - [`idle_timeout`]: how long a connection may stay idle
//! - [`send_permit`]: permission to write an attempt to its pod
//! - [`descriptor_budget`]: how file descriptors are shared out
//! - [`backoff`]: delays between attempts to reach a control service
//! - [`clock`]: the monotonic clock and the time of day
//! - [`event_loop`]: when an event loop wakes
//! - [`signals`]: the signals that a sidecar reacts to
//! - [`shutdown`]: the steps of a graceful shutdown, and the listener that it closes
//! - [`eviction`]: closing idle connections where descriptors run out
//! - [`vote_call`]: one vote at the rollout service

pub mod backoff;
pub mod clock;
pub mod connection_pool;
pub mod descriptor_budget;
pub mod event_loop;
pub mod eviction;
pub mod idle_timeout;
pub mod in_flight;
pub mod send_permit;
pub mod shutdown;
pub mod signals;
pub mod vote_call;
