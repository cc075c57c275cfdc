//! What the engine and its host exchange, free of any wire format. Times are spans since the start of the
//! host's clock.

use std::collections::BTreeSet;
use std::time::Duration;

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

/// Whether a request of a class may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It has an idempotency key, by which pods drop repeats.
    Keyed {
        /// The pods that know of each other's requests.
        deduplicated_by: DeduplicationScope,
        /// For how long they know of them.
        window: Duration,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// The pods that share a memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All pods.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// The configuration of a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether its requests may run again.
    pub idempotency: Idempotency,
    /// The latency that its requests should have at most.
    pub latency_objective: Duration,
    /// How long its clients wait for an answer.
    pub client_timeout: Duration,
    /// The worth of an answer in time, against that of other classes.
    pub priority_weight: f64,
    /// The worth of an answer past the latency objective.
    pub late_weight: f64,
    /// Whether answers are streamed.
    pub streaming: bool,
}

/// How votes act on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Votes promote the build.
    Votes,
    /// A clock does, unless votes hold the stage.
    Clock,
}

/// The configuration of rollouts.
#[derive(Clone, Debug)]
pub struct RolloutConfig {
    /// What promotes a build from stage to stage.
    pub control: Control,
    /// The share of requests that the build on trial should get in each stage.
    pub stage_shares: Vec<f64>,
    /// The share of requests that it may get at most in each stage (rule 5).
    pub exposure_caps: Vec<f64>,
    /// The window over which those caps are counted.
    pub exposure_window: Duration,
    /// Attempts in a window that are free of the cap.
    pub exposure_free: f64,
    /// Whether the caps are counted for each class by itself.
    pub exposure_per_class: bool,
    /// The number of first stages in which the build gets idempotent requests only.
    pub guarded_stages: u8,
    /// Whether a routing key stays with the newest build that served it.
    pub sticky_keys: bool,
    /// For how long a vote counts.
    pub vote_ttl: Duration,
    /// How long the answer to a vote may take.
    pub vote_timeout: Duration,
    /// How many sidecars it takes to roll a build back.
    pub rollback_quorum: u32,
    /// How many sidecars it takes to hold a stage.
    pub hold_quorum: u32,
    /// How many sidecars it takes to promote a build.
    pub promote_quorum: u32,
    /// Votes a second that are taken from all sidecars together, of twice that many at one time. None: all are.
    pub vote_rate_limit: Option<f64>,
}

/// The limits of rules 1 and 4.
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// For how long a pod may still get requests after this sidecar was notified that it drains or is gone.
    pub drain_grace: Duration,
    /// The share of its capacity that a pod has when it starts.
    pub slow_start_from: f64,
    /// How long a pod takes to warm up.
    pub slow_start_duration: Duration,
    /// The multiple of its present capacity at which a pod that is warming up fails.
    pub overload_multiple: f64,
    /// The window over which that load is counted.
    pub overload_window: Duration,
}

/// The configuration of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarConfig {
    /// The seed of its random number generator.
    pub seed: u64,
    /// The number of sidecars of the fleet.
    pub sidecar_count: u32,
    /// This one's index among them.
    pub sidecar_index: u32,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The classes of requests, by their ids.
    pub classes: Vec<RequestClass>,
    /// Whether the list of endpoints is watched only when the engine asks for it.
    pub watch_on_request: bool,
    /// Lists come from an agent of this sidecar's own: what the agent has counts as notified, heard or not.
    pub endpoints_pushed: bool,
    /// For how long a list that is no longer heard of may be relied on; none: for good.
    pub endpoint_lease: Option<Duration>,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a request may have several attempts in flight.
    pub hedging: bool,
    /// After what time rejected clients are asked to retry; none: at once.
    pub retry_after: Option<Duration>,
    /// The number of attempts that a request may have.
    pub max_attempts: u16,
    /// The limits of the rules.
    pub safety: SafetyLimits,
    /// The configuration of rollouts.
    pub rollout: RolloutConfig,
}

/// The state of a pod in the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
    /// It has left.
    Gone,
}

/// A row of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The pod.
    pub pod: PodId,
    /// Its state.
    pub state: PodState,
    /// The build that it runs.
    pub build: BuildId,
    /// Its capacity, against that of other pods.
    pub weight: f64,
    /// When this incarnation of it started, if known.
    pub started_at: Option<Duration>,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell that it runs in.
    pub cell: CellId,
    /// The type of its machine.
    pub machine_type: MachineTypeId,
}

/// News of the list of endpoints.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// Rows that changed.
    Delta(Vec<Endpoint>),
    /// The complete list.
    Snapshot(Vec<Endpoint>),
    /// The list as it was cached before a restart; it may be old.
    Cached(Vec<Endpoint>),
    /// A call for the list failed, or the watch on it ended: later changes are not heard.
    WatchLost(WatchLoss),
}

/// How the watch on the list of endpoints was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchLoss {
    /// For how long nothing had been heard by then.
    pub silent_for: Duration,
    /// Why it was lost.
    pub cause: WatchLossCause,
}

/// Why the watch on the list of endpoints was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchLossCause {
    /// A watch ended or fell silent, or a call failed otherwise.
    #[default]
    Ended,
    /// There is no service, or its answer can't be read.
    NoService,
    /// A call was not answered in time.
    TimedOut,
    /// The service answered that it can't take the call now.
    Refused,
}

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

/// Where the rollout of a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is on trial.
    OnTrial,
    /// It is being rolled back.
    RollingBack,
    /// It is released.
    Released,
    /// It was rolled back.
    RolledBack,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUpdate {
    /// The newest build.
    pub build: BuildId,
    /// The stage that it is in.
    pub stage: StageIndex,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The share of requests that it may get at most.
    pub cap: f64,
    /// How long it has been so, by the clock of the rollout service.
    pub age: Duration,
}

impl StageUpdate {
    /// A number that no other cycle of this or another stage has.
    pub fn cycle_key(&self, cycle: u32) -> u64 {
        u64::from(self.build.0) << 48 | u64::from(self.stage.0) << 40 | u64::from(cycle)
    }
}

/// The rollout service's answer to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    /// It counts.
    Counted,
    /// It is about a stage that is over.
    Moot,
    /// Too many votes came at one time.
    Full,
    /// The call failed.
    Failed,
    /// There was no answer.
    Unanswered,
}

/// A sidecar's verdict on the build on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None.
    Abstain,
    /// The build may get more requests.
    Promote,
    /// The stage must not end yet.
    Hold,
    /// The build must be withdrawn.
    RollBack,
}

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
