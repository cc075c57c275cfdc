//! The messages that the components of the engine send each other.

use crate::candidate::Candidate;
use crate::endpoint_table::EndpointSnapshot;
use crate::interface::{
    AttemptIndex, AttemptResult, BuildId, ClassId, Endpoint, EndpointUpdate, PodId, Request,
    RequestId, RoutingKey, StageUpdate, TenantId, VoteAnswer,
};
use std::time::Duration;

/// The components that have a mailbox.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Component {
    /// There is one outlier detector for each pod.
    OutlierDetector(PodId),
    LoadBalancer,
    AdmissionControl,
    CanaryAnalysis,
    EndpointTracker,
}

/// A message from one component, or from the host, to another.
#[derive(Clone)]
pub(crate) enum Message {
    /// The list of endpoints, as the host got it.
    EndpointsUpdated(EndpointUpdate),
    /// One row of that list.
    EndpointChanged(Endpoint),
    /// A pod that has been gone for long.
    EndpointForgotten(PodId),
    RequestArrived(Request),
    /// From the load balancer: start an attempt at the best candidate of this tier that the rules admit. The
    /// candidates of other tiers have to wait.
    AttemptProposed {
        request: RequestId,
        candidates: Vec<Candidate>,
        tier: u8,
    },
    /// From admission control: none of that tier was admitted; these candidates are left.
    AttemptRefused(RequestId, Vec<Candidate>),
    AttemptStarted {
        request: RequestId,
        attempt: AttemptIndex,
        pod: PodId,
    },
    /// The host's account of an attempt that ended.
    AttemptFinished(AttemptResult),
    /// The same, with what admission control knows of the attempt.
    AttemptEnded(AttemptEnded),
    StreamStarted(RequestId),
    /// From the load balancer: no further attempt is worth it.
    RequestGivenUp(RequestId),
    RequestClosed(RequestId),
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

/// An attempt that ended, with what admission control knew of it.
#[derive(Clone)]
pub(crate) struct AttemptEnded {
    pub(crate) result: AttemptResult,
    pub(crate) class: ClassId,
    pub(crate) build: BuildId,
    pub(crate) sent_at: Duration,
    /// The request still waits for its final answer.
    pub(crate) request_open: bool,
    pub(crate) tenant: Option<TenantId>,
    /// The requests of this tenant fail where those of others succeed.
    pub(crate) tenant_outlier: bool,
}

/// Why admission control refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is closed, past its deadline, streaming or out of attempts.
    RequestClosed,
    /// An earlier attempt may have taken effect, and this one could repeat it.
    MayHaveRun,
    /// The pod drains or is gone, and the grace is over.
    EndpointDrained,
    /// The pod is warming up and has had its part.
    SlowStart,
    /// The build on trial has had its part of the requests.
    ExposureCap,
    /// A newer build has served this routing key.
    StickyKey,
}
