//! What the engine and its host exchange, free of any wire format. Times are spans since the start of the
//! host's clock.

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
pub use rollout::{Phase, StageUpdate, Verdict, VoteAnswer};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    /// A request, as its host numbers it.
    RequestId(u64),
    /// A pod; a later incarnation of it may have the same id.
    PodId(u64),
    /// A class of requests: the index of its configuration.
    ClassId(u16),
    /// The tenant that a request belongs to.
    TenantId(u32),
    /// A key whose requests stay with the newest build that served one of them.
    RoutingKey(u64),
    /// A zone of the platform.
    ZoneId(u16),
    /// A cell of a zone.
    CellId(u16),
    /// A build; later builds have higher numbers.
    BuildId(u16),
    /// The index of an attempt among those of its request, from 0.
    AttemptIndex(u16),
    /// The index of a stage of a rollout, from 0.
    StageIndex(u8),
    /// A type of machine.
    MachineTypeId(u16),
);

/// What the host passes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of endpoints.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    RequestArrived(Request),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The first byte of an answer was passed on: the request can have no other answer.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// The client of a request is gone.
    ClientDisconnected(RequestId),
    /// News of the rollout.
    Stage {
        /// Its state, if that is news.
        update: Option<StageUpdate>,
        /// The answer to this sidecar's vote, if there is one.
        vote_answer: Option<VoteAnswer>,
    },
    /// An answer of a pod was found to be wrong.
    Flagged {
        /// The pod.
        pod: PodId,
        /// The class of the request.
        class: ClassId,
    },
    /// What is known of the other sidecars changed; none: no other is known.
    Fleet(Option<FleetView>),
    /// A routing key was served by a build, at another sidecar or in an earlier incarnation of this one.
    KeyServed(RoutingKey, BuildId),
}

/// What the other sidecars make of this one's choices. It widens nothing: no cap, budget or time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Pods, the one to use first at the front.
    pub preference: Vec<PodId>,
    /// How many of them to use at the least.
    pub min_endpoints: usize,
    /// Ejected pods whose health others are to check.
    pub probed_by_peers: BTreeSet<PodId>,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a pod.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The pod.
        pod: PodId,
        /// The time that it may take; zero: as long as the request.
        timeout: Duration,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// Its request.
        request: RequestId,
        /// Its index among the attempts of that request.
        attempt: AttemptIndex,
    },
    /// Answer a request as rejected: a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// After what time the client should retry.
        retry_after: Duration,
    },
    /// Answer a request as failed: it may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send a vote to the rollout service.
    Vote {
        /// The verdict.
        verdict: Verdict,
        /// The build that it is on.
        build: BuildId,
        /// The stage that it is on.
        stage: StageIndex,
    },
    /// Watch the list of endpoints.
    WatchEndpoints,
    /// Call `handle` then, with or without events.
    WakeAt {
        /// The time.
        at: Duration,
    },
    /// Write a line to the decision log.
    Log(String),
}
