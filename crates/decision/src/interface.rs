//! What the decision module and its host say to each other, free of any wire. Times are spans since the start
//! of the host's clock.

use std::collections::BTreeSet;
use std::time::Duration;

macro_rules! ids {
    ($($name:ident($of:ty)),* $(,)?) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    RequestId(u64),
    PodId(u64),
    ClassId(u16),
    TenantId(u32),
    RoutingKey(u64),
    ZoneId(u16),
    CellId(u16),
    BuildId(u16)
);
ids!(AttemptIndex(u16), StageIndex(u8), MachineTypeId(u16));

/// Whether a hit of a path group may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed {
        deduplicated_by: DeduplicationScope,
        window: Duration,
    },
    NonIdempotent,
}

/// The pods that share a memory of tagged hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct RequestClass {
    pub idempotency: Idempotency,
    pub latency_objective: Duration,
    pub client_timeout: Duration,
    pub priority_weight: f64,
    pub late_weight: f64,
    pub streaming: bool,
}

/// How votes act on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Votes move the build on.
    Votes,
    /// A clock does, unless votes hold it.
    Clock,
}

#[derive(Clone, Debug)]
pub struct RolloutConfig {
    pub control: Control,
    pub stage_shares: Vec<f64>,
    pub exposure_caps: Vec<f64>,
    pub exposure_window: Duration,
    pub exposure_free: f64,
    pub exposure_per_class: bool,
    pub guarded_stages: u8,
    pub sticky_keys: bool,
    pub vote_ttl: Duration,
    pub vote_timeout: Duration,
    /// How many sidecars it takes to send a build back, to hold a stage, and to move it on.
    pub rollback_quorum: u32,
    pub hold_quorum: u32,
    pub promote_quorum: u32,
    /// Calls a second that are taken from all sidecars together; of twice that many at one time. None: all are.
    pub vote_rate_limit: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct SafetyLimits {
    pub drain_grace: Duration,
    pub slow_start_from: f64,
    pub slow_start_duration: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
}

/// What a sidecar is told when it starts.
#[derive(Clone, Debug)]
pub struct SidecarConfig {
    pub seed: u64,
    pub sidecar_count: u32,
    /// This one's number among them.
    pub sidecar_index: u32,
    pub zone: ZoneId,
    pub classes: Vec<RequestClass>,
    pub watch_on_request: bool,
    /// Lists come from an agent of this sidecar's own: what the agent has counts as told, heard or not.
    pub endpoints_pushed: bool,
    /// For how long a list that is no longer heard of may be relied on; none: for good.
    pub endpoint_lease: Option<Duration>,
    pub cancellation: bool,
    pub hedging: bool,
    pub retry_after: Option<Duration>,
    pub max_attempts: u16,
    pub safety: SafetyLimits,
    pub rollout: RolloutConfig,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub pod: PodId,
    pub state: PodState,
    pub build: BuildId,
    pub weight: f64,
    pub started_at: Option<Duration>,
    pub zone: ZoneId,
    pub cell: CellId,
    /// The kind of machine.
    pub machine_type: MachineTypeId,
}

#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    Delta(Vec<Endpoint>),
    Snapshot(Vec<Endpoint>),
    /// The list as last held before a restart; it may be old.
    Cached(Vec<Endpoint>),
    /// A call for the list failed, or the watch on it ended: what changes from now on is not heard.
    WatchLost(WatchLoss),
}

/// How the list was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchLoss {
    /// For how long nothing had been heard by then.
    pub silent_for: Duration,
    pub cause: WatchLossCause,
}

/// What a list was lost by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchLossCause {
    /// A watch ended or fell silent, or a call failed otherwise.
    #[default]
    Ended,
    /// There is no service, or what it says can't be read.
    NoService,
    /// A call was not answered in time.
    TimedOut,
    /// The service answered that it can't take the call now.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub routing_key: Option<RoutingKey>,
    pub deadline: Duration,
}

/// How a forward ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    Failed,
    TimedOut,
    ConnectionReset,
    Cancelled,
    /// Turned away unseen.
    Rejected,
    /// No connection.
    ConnectFailed,
    /// Never sent.
    NeverSent,
}

impl AttemptOutcome {
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        )
    }
}

#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub request: RequestId,
    pub attempt: AttemptIndex,
    pub pod: PodId,
    pub outcome: AttemptOutcome,
    pub duration: Duration,
    /// The hit is over, by this outcome or before it.
    pub request_over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    RollingBack,
    Released,
    RolledBack,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUpdate {
    pub build: BuildId,
    pub stage: StageIndex,
    pub phase: Phase,
    pub cap: f64,
    /// How long ago, by whoever tells it, it came to stand so.
    pub age: Duration,
}

impl StageUpdate {
    /// A number of its own for each time that something of this stage comes round.
    pub fn cycle_key(&self, nth: u32) -> u64 {
        u64::from(self.build.0) << 48 | u64::from(self.stage.0) << 40 | u64::from(nth)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    Counted,
    Moot,
    Full,
    Failed,
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Abstain,
    Promote,
    Hold,
    RollBack,
}

#[derive(Clone, Debug)]
pub enum Event {
    Endpoints(EndpointUpdate),
    RequestArrived(Request),
    AttemptFinished(AttemptResult),
    StreamStarted {
        request: RequestId,
    },
    ClientDisconnected(RequestId),
    Stage {
        update: Option<StageUpdate>,
        vote_answer: Option<VoteAnswer>,
    },
    Flagged {
        pod: PodId,
        class: ClassId,
    },
    /// What is known of the other sidecars changed; none: nobody else is known.
    Fleet(Option<FleetView>),
    /// A routing key was answered by a build, at another sidecar or in an earlier life of this one.
    KeyServed(RoutingKey, BuildId),
}

/// What the other sidecars make of this one's choices. It widens nothing: no cap, budget or time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Pods, the one to use first at the front.
    pub preference: Vec<PodId>,
    /// How many of them to use at the least.
    pub min_endpoints: usize,
    /// Shut pods that others are to prove.
    pub probed_by_peers: BTreeSet<PodId>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    StartAttempt {
        request: RequestId,
        pod: PodId,
        timeout: Duration,
    },
    CancelAttempt {
        request: RequestId,
        attempt: AttemptIndex,
    },
    Reject {
        request: RequestId,
        retry_after: Duration,
    },
    Fail {
        request: RequestId,
    },
    Vote {
        verdict: Verdict,
        build: BuildId,
        stage: StageIndex,
    },
    WatchEndpoints,
    /// `handle` is to be called then, with or without events.
    WakeAt {
        at: Duration,
    },
    Log(String),
}
