//! The pods' side: attempts, and the connections that carry them.
//!
//! What proves that an attempt never ran: no connection was established, not one byte of it was written, or the pod says
//! so. A pod that closes an idle connection just as a request is written to it proves nothing: the bytes may have arrived.
//!
//! - `attempts` starts and ends attempts
//! - `request_writer` writes a request to a pod
//! - `connections` is the life of a connection, in use and idle
//! - `exchange` reads one response off a connection's bytes
//! - `responses` passes responses on to clients

mod attempts;
mod connections;
mod exchange;
mod request_writer;
mod responses;

use super::attempt_token::AttemptTokens;
use exchange::Exchange;
use limewing_decision::interface::PodId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::connection_pool::ConnectionPool;
use limewing_proxy_core::descriptor_budget::DescriptorBudget;

/// The connections to pods that carry nothing, and what attempts need.
pub(super) struct Upstream {
    pool: ConnectionPool,
    budget: DescriptorBudget,
    /// Tokens of attempts.
    pub(super) tokens: AttemptTokens,
}

impl Upstream {
    /// No connection yet.
    pub(super) fn new(budget: DescriptorBudget, tokens: AttemptTokens) -> Self {
        Self {
            pool: ConnectionPool::default(),
            budget,
            tokens,
        }
    }
}

/// A connection to a pod.
pub(super) struct UpstreamConnection {
    pod: PodId,
    /// Runs until the connection is established.
    connect_timer: Option<TimerKey>,
    /// The attempt that it carries.
    exchange: Option<Exchange>,
}
