//! The events of a simulation run.

use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, BuildId, ClassId, Endpoint, Event, PodId, RequestId, RoutingKey,
};
use std::time::Duration;

/// Identifies one incarnation of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SidecarRef {
    pub(super) index: usize,
    pub(super) incarnation: u32,
}

/// Identifies one attempt of a request.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) sidecar: SidecarRef,
    pub(super) request: RequestId,
    pub(super) index: AttemptIndex,
    pub(super) class: ClassId,
    pub(super) pod: PodId,
}

/// A request as sent by a client.
#[derive(Clone, Copy)]
pub(super) struct ClientRequest {
    pub(super) class: ClassId,
    pub(super) routing_key: Option<RoutingKey>,
    /// The number of retries left.
    pub(super) retries: u8,
}

/// The state of the emulated list service.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryState {
    Answers,
    Refuses,
    Silent,
}

/// A scheduled event.
pub(super) enum SimulationEvent {
    /// A sidecar's host receives an event.
    Deliver(SidecarRef, Event),
    /// The connection for an attempt is established.
    ConnectionReady {
        attempt: Attempt,
        broken_connections: u8,
    },
    /// An attempt arrives at its pod.
    ReachesPod {
        pod_index: usize,
        attempt: Attempt,
    },
    /// The host receives the outcome of an attempt.
    AttemptEnds {
        attempt: Attempt,
        outcome: AttemptOutcome,
    },
    /// An attempt reaches the deadline of its request.
    AttemptTimesOut(Attempt),
    StreamEnds {
        attempt: Attempt,
        outcome: AttemptOutcome,
    },
    ClientArrives,
    ClientRetries(ClientRequest),
    ClientDisconnects {
        sidecar: SidecarRef,
        request: RequestId,
    },
    PodCrashes(usize),
    /// A crashed pod restarts, with the current build of the rollout if `build` is `None`.
    PodRestarts {
        pod_index: usize,
        build: Option<BuildId>,
    },
    /// A drained pod is removed.
    PodRemoved(usize),
    /// Endpoints change in the list service.
    ListChanges(Vec<Endpoint>),
    PodHangs {
        pod_index: usize,
        hangs: bool,
    },
    /// The service time of a pod is multiplied by `factor`.
    PodSlows {
        pod_index: usize,
        factor: f64,
    },
    PodLosesAnswers {
        pod_index: usize,
        loses: bool,
    },
    /// A sidecar's call arrives at the list service.
    WatchCall(SidecarRef),
    WatchCallTimesOut(SidecarRef),
    WatchBreaks(usize),
    DiscoveryChanges(DiscoveryState),
    SidecarStalls {
        sidecar: usize,
        stalls: bool,
    },
    SidecarCrashes(usize),
    SidecarStarts(usize),
    /// List updates are delayed by this time.
    ListDelayed(Duration),
    /// Stage updates are delayed by this time.
    StageDelayed(Duration),
    RolloutServiceDown(bool),
    CapLowered,
    /// The rollout service advances the rollout, unless its state has changed since.
    RolloutAdvances {
        state: u64,
    },
    /// The request rate is multiplied by this factor.
    Overload(f64),
}
