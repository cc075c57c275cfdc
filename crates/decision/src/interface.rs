//! Types exchanged between the engine and its host, independent of any wire format. Times are
//! durations since the start of the host's clock.

use std::collections::BTreeSet;
use std::time::Duration;

mod config;
mod endpoint;
mod request;
mod rollout;

pub use config::{
    Control, DeduplicationScope, Idempotency, RequestClass, RolloutConfig, SafetyLimits,
    SidecarConfig,
};
pub use endpoint::{Endpoint, EndpointUpdate, PodState, WatchLoss, WatchLossCause};
pub use request::{AttemptOutcome, AttemptResult, Request};
pub use rollout::{Phase, StageOrder, StageUpdate, Verdict, VoteAnswer};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    /// Identifies a request, as numbered by the host.
    RequestId(u64),
    /// Identifies a pod; a later incarnation of the pod may have the same id.
    PodId(u64),
    /// Identifies a request class by the index of its configuration.
    ClassId(u16),
    /// Identifies the tenant that a request belongs to.
    TenantId(u32),
    /// A routing key, whose requests stay with the newest build that served one of them.
    RoutingKey(u64),
    /// Identifies a zone of the platform.
    ZoneId(u16),
    /// Identifies a cell within a zone.
    CellId(u16),
    /// Identifies a build; later builds have higher numbers.
    BuildId(u16),
    /// The index of an attempt within its request, from 0.
    AttemptIndex(u16),
    /// The index of a rollout stage, from 0.
    StageIndex(u8),
    /// Identifies one connection that streams stage updates, as numbered by the host.
    StageStreamId(u64),
    /// Identifies a machine type.
    MachineTypeId(u16),
);

/// An event that the host passes to the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed or its watch was lost.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The first byte of a response was forwarded to the client, so the request can get no other
    /// response.
    StreamStarted {
        /// The request whose response is being streamed.
        request: RequestId,
    },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// An attempt was started for a request that the host no longer has: its client disconnected, or
    /// it got its response, before the host executed the action. None of its attempts is active.
    RequestUnknown(RequestId),
    /// The rollout state changed or a vote was answered.
    Stage {
        /// The new state of the rollout, if it changed.
        update: Option<StageUpdate>,
        /// The reply to this sidecar's vote, if there is one.
        vote_answer: Option<VoteAnswer>,
    },
    /// A response of a pod was found to be incorrect.
    Flagged {
        /// The pod that sent the response.
        pod: PodId,
        /// The class of the request.
        class: ClassId,
    },
    /// The information about the other sidecars changed; `None` if no other sidecar is known.
    Fleet(Option<FleetView>),
    /// A routing key was served by a build, either at another sidecar or in an earlier incarnation
    /// of this one.
    KeyServed(RoutingKey, BuildId),
}

/// Preferences that the other sidecars derive for this one. They never relax a cap, budget or time
/// limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Pods in order of preference, most preferred first.
    pub preference: Vec<PodId>,
    /// The minimum number of pods to use.
    pub min_endpoints: usize,
    /// Ejected pods whose health is checked by other sidecars.
    pub probed_by_peers: BTreeSet<PodId>,
}

/// An action that the host must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a pod.
    StartAttempt {
        /// The request to send.
        request: RequestId,
        /// The pod to send it to.
        pod: PodId,
        /// The time limit of the attempt; zero if only the request's deadline applies.
        timeout: Duration,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The index of the attempt within the request.
        attempt: AttemptIndex,
    },
    /// Answer a request as rejected, which means that a retry is safe.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// Answer a request as failed, because it may have taken effect.
    Fail {
        /// The request to fail.
        request: RequestId,
    },
    /// Send a vote to the rollout service.
    Vote {
        /// The verdict to send.
        verdict: Verdict,
        /// The build that the vote is about.
        build: BuildId,
        /// The stage that the vote is about.
        stage: StageIndex,
    },
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Call `handle` at this time, with or without events.
    WakeAt {
        /// The time of the call.
        at: Duration,
    },
    /// Write a line to the decision log.
    Log(String),
}
