//! The messages exchanged by the components of the engine.

use crate::candidate::Candidate;
use crate::endpoint_table::EndpointSnapshot;
use crate::interface::{
    AttemptIndex, AttemptResult, BuildId, ClassId, Endpoint, EndpointUpdate, PodId, Request,
    RequestId, RoutingKey, StageUpdate, TenantId, VoteAnswer,
};
use std::time::Duration;

/// The components that receive messages.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    /// The outlier detector of one pod.
    OutlierDetector(PodId),
    LoadBalancer,
    AdmissionControl,
    CanaryAnalysis,
    EndpointTracker,
}

/// A message to a component, from another component or from the host.
#[derive(Clone)]
pub(crate) enum Message {
    /// An update of the endpoint list from the host.
    EndpointsUpdated(EndpointUpdate),
    /// One entry of that list.
    EndpointChanged(Endpoint),
    /// A pod that has been gone for long enough to be removed.
    EndpointRemoved(PodId),
    RequestArrived(Request),
    /// From the load balancer: starts an attempt at the best candidate of this tier that the rules
    /// allow. Candidates of other tiers are kept for later.
    AttemptProposed {
        request: RequestId,
        candidates: Vec<Candidate>,
        tier: u8,
    },
    /// From admission control: no candidate of the tier was admitted; the remaining candidates are
    /// returned.
    AttemptRefused(RequestId, Vec<Candidate>),
    AttemptStarted {
        request: RequestId,
        attempt: AttemptIndex,
        pod: PodId,
    },
    /// The host's report of an attempt that ended.
    AttemptFinished(AttemptResult),
    /// The same report with admission control's record of the attempt.
    AttemptEnded(AttemptEnded),
    StreamStarted(RequestId),
    /// From the load balancer: no further attempt is worthwhile.
    RequestAbandoned(RequestId),
    RequestClosed(RequestId),
    /// The host no longer has this request.
    RequestUnknown(RequestId),
    /// A routing key was served by a build.
    KeyServed(RoutingKey, BuildId),
    StageUpdated(StageUpdate),
    VoteAnswered(VoteAnswer),
    ResponseFlagged {
        pod: PodId,
        class: ClassId,
    },
    SnapshotPublished(EndpointSnapshot),
    HedgeCheckDue(RequestId, AttemptIndex, PodId),
    PlacementDue(RequestId),
    Tick,
    WatchDue,
}

/// An attempt that ended, with admission control's record of it.
#[derive(Clone)]
pub(crate) struct AttemptEnded {
    pub(crate) result: AttemptResult,
    pub(crate) class: ClassId,
    pub(crate) build: BuildId,
    pub(crate) sent_at: Duration,
    /// Whether the request still waits for its final response.
    pub(crate) request_open: bool,
    pub(crate) tenant: Option<TenantId>,
    /// Whether requests of this tenant fail where those of other tenants succeed.
    pub(crate) tenant_outlier: bool,
}

/// Why admission control refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is closed, past its deadline, streaming or out of attempts.
    RequestClosed,
    /// An earlier attempt may have taken effect, and this one could repeat the effect.
    MayHaveRun,
    /// The pod is draining or gone, and the drain grace period is over.
    EndpointDrained,
    /// The pod is warming up and its budget is used up.
    SlowStart,
    /// The cap of the build on trial is reached.
    ExposureCap,
    /// The routing key was served by a newer build.
    StickyKey,
}
