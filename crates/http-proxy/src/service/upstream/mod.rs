//! The pod side: attempts, and the connections that carry them.
//!
//! An attempt provably never ran if no connection was established, if not one byte of it was written, or if the pod
//! says so. A pod that closes an idle connection just as a request is written to it proves nothing: the bytes may have
//! arrived.
//!
//! - `attempts` starts and ends attempts
//! - `request_writer` writes requests to pods
//! - `connections` manages connections, in use and idle
//! - `exchange` parses the response of one attempt
//! - `responses` passes responses to clients

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

/// Idle connections to pods, and resources that attempts share.
pub(super) struct Upstream {
    pool: ConnectionPool,
    budget: DescriptorBudget,
    /// Encodes and decodes attempt tokens.
    pub(super) tokens: AttemptTokens,
}

impl Upstream {
    /// Starts without connections.
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
    /// The connect timeout; `None` once the connection is established.
    connect_timer: Option<TimerKey>,
    /// The attempt that the connection carries; `None` if it is idle.
    exchange: Option<Exchange>,
}
