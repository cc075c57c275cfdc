//! What is scheduled in a run.

use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, BuildId, ClassId, Endpoint, Event, PodId, RequestId, RoutingKey,
};
use std::time::Duration;

/// One incarnation of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SidecarRef {
    pub(super) index: usize,
    pub(super) incarnation: u32,
}

/// One attempt of a request.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) sidecar: SidecarRef,
    pub(super) request: RequestId,
    pub(super) index: AttemptIndex,
    pub(super) class: ClassId,
    pub(super) pod: PodId,
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub(super) struct ClientRequest {
    pub(super) class: ClassId,
    pub(super) routing_key: Option<RoutingKey>,
    /// How often the client asks again when it gets no answer.
    pub(super) retries: u8,
}

/// How the list service behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryState {
    Answers,
    Refuses,
    Silent,
}

/// Something that falls due.
pub(super) enum SimulationEvent {
    /// A sidecar's host learns of an event.
    Deliver(SidecarRef, Event),
    /// The connection of an attempt is established.
    ConnectionReady {
        attempt: Attempt,
        broken_connections: u8,
    },
    /// An attempt arrives at its pod.
    ReachesPod {
        pod_index: usize,
        attempt: Attempt,
    },
    /// The result of an attempt comes back.
    AttemptEnds {
        attempt: Attempt,
        outcome: AttemptOutcome,
    },
    /// The client of an attempt waits no longer.
    AttemptTimesOut(Attempt),
    StreamEnds {
        attempt: Attempt,
        outcome: AttemptOutcome,
    },
    ClientArrives,
    ClientRetries(ClientRequest),
    ClientLeaves {
        sidecar: SidecarRef,
        request: RequestId,
    },
    PodDies(usize),
    /// A pod that died starts again; with no build given, with the one that is rolled out.
    PodRestarts {
        pod_index: usize,
        build: Option<BuildId>,
    },
    /// A pod that drained goes.
    PodRemoved(usize),
    /// Rows of the endpoint list change.
    ListChanges(Vec<Endpoint>),
    PodHangs {
        pod_index: usize,
        hangs: bool,
    },
    /// A pod needs so many times as long.
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
    SidecarDies(usize),
    SidecarStarts(usize),
    /// The endpoint list arrives later by so much.
    ListDelayed(Duration),
    /// Stage updates arrive later by so much.
    StageDelayed(Duration),
    InstallerDown(bool),
    CapLowered,
    /// The installer looks whether the rollout goes on, if it is still in that state.
    RolloutStep {
        state: u64,
    },
    /// Clients arrive so many times as often.
    Overload(f64),
}
