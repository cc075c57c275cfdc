//! The configuration of a sidecar.

use super::ZoneId;
use std::time::Duration;

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

/// The limits of rules 3 and 4.
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
