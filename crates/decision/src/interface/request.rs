//! Requests and the outcomes of their attempts.

use super::{AttemptIndex, ClassId, PodId, RequestId, RoutingKey, TenantId};
use std::time::Duration;

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id of the request, unique among open requests.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request, if any.
    pub tenant: Option<TenantId>,
    /// The routing key of the request, if any.
    pub routing_key: Option<RoutingKey>,
    /// When the client stops waiting.
    pub deadline: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The pod answered, and the response was forwarded to the client.
    Succeeded,
    /// The pod answered with an error.
    Failed,
    /// No response arrived in time.
    TimedOut,
    /// The connection was lost before the response was complete.
    ConnectionReset,
    /// The attempt was cancelled.
    Cancelled,
    /// The pod rejected the request without executing it.
    Rejected,
    /// No connection to the pod could be established.
    ConnectFailed,
    /// The attempt was not sent.
    NeverSent,
}

impl AttemptOutcome {
    /// Returns whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        )
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index of the attempt within the request.
    pub attempt: AttemptIndex,
    /// The pod that the attempt was sent to.
    pub pod: PodId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// How long the attempt took.
    pub duration: Duration,
    /// Whether the request is closed, by this outcome or earlier.
    pub request_closed: bool,
}
