//! Requests and the outcomes of their attempts.

use super::{AttemptIndex, ClassId, PodId, RequestId, RoutingKey, TenantId};
use std::time::Duration;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, which no other open request has.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// Its routing key, if it has one.
    pub routing_key: Option<RoutingKey>,
    /// When its client stops waiting.
    pub deadline: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The pod answered, and the answer was passed on.
    Succeeded,
    /// The pod answered with an error.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The connection broke before the answer was complete.
    ConnectionReset,
    /// It was cancelled.
    Cancelled,
    /// The pod rejected it without running it.
    Rejected,
    /// There was no connection to the pod.
    ConnectFailed,
    /// It was not sent.
    NeverSent,
}

impl AttemptOutcome {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        )
    }
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Its request.
    pub request: RequestId,
    /// Its index among the attempts of that request.
    pub attempt: AttemptIndex,
    /// The pod that it went to.
    pub pod: PodId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub duration: Duration,
    /// The request is closed, by this outcome or before it.
    pub request_over: bool,
}
