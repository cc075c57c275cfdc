//! Protocol-independent components shared by both proxies. Routing decisions are made elsewhere.
//!
//! - [`in_flight`]: requests in flight and their attempts
//! - [`connection_pool`]: idle connections to pods
//! - [`idle_timeout`]: how long a connection may stay idle
//! - [`send_permit`]: permission to write an attempt to its pod
//! - [`descriptor_budget`]: limits on connections
//! - [`backoff`]: reconnect delays for control services
//! - [`clock`]: the monotonic clock and the wall clock
//! - [`event_loop`]: deadlines of an event loop
//! - [`signals`]: the signals that a sidecar handles
//! - [`shutdown`]: the steps of a graceful shutdown, and the listener that it closes
//! - [`eviction`]: eviction of idle connections when file descriptors run out
//! - [`memory_budget`]: a limit on the bytes held for clients
//! - [`request_ids`]: the ids of requests in flight and of those that must not run again
//! - [`vote_call`]: the call that sends one vote to the rollout service

pub mod backoff;
pub mod clock;
pub mod connection_pool;
pub mod descriptor_budget;
pub mod event_loop;
pub mod eviction;
pub mod idle_timeout;
pub mod in_flight;
pub mod memory_budget;
pub mod request_ids;
pub mod send_permit;
pub mod shutdown;
pub mod signals;
pub mod vote_call;
