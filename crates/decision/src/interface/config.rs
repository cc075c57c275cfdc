//! The configuration of a sidecar.

use super::ZoneId;
use std::time::Duration;

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request has an idempotency key by which pods discard duplicates.
    Keyed {
        /// The pods that share their record of idempotency keys.
        deduplicated_by: DeduplicationScope,
        /// How long pods remember a key.
        window: Duration,
    },
    /// The request must not be executed twice.
    NonIdempotent,
}

/// The set of pods that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All pods share one record.
    All,
    /// The pods of one zone share a record.
    Zone,
    /// The pods of one cell share a record.
    Cell,
}

/// The configuration of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// The target latency of requests of the class.
    pub latency_objective: Duration,
    /// How long clients wait for a response.
    pub client_timeout: Duration,
    /// The value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The value of a response after the latency objective.
    pub late_weight: f64,
    /// Whether responses are streamed.
    pub streaming: bool,
}

/// How a stage is controlled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Votes promote the build.
    Votes,
    /// A clock promotes the build, unless votes hold the stage.
    Clock,
}

/// The configuration of rollouts.
#[derive(Clone, Debug)]
pub struct RolloutConfig {
    /// What promotes a build from one stage to the next.
    pub control: Control,
    /// The target share of requests for the build on trial in each stage.
    pub stage_shares: Vec<f64>,
    /// The maximum share of requests for the build on trial in each stage (rule 5).
    pub exposure_caps: Vec<f64>,
    /// The window over which exposure caps are measured.
    pub exposure_window: Duration,
    /// The number of attempts per window that are exempt from the cap.
    pub exposure_free: f64,
    /// Whether caps apply to each request class separately.
    pub exposure_per_class: bool,
    /// The number of initial stages in which the build receives only idempotent requests.
    pub guarded_stages: u8,
    /// Whether a routing key stays with the newest build that served it.
    pub sticky_keys: bool,
    /// How long a vote counts.
    pub vote_ttl: Duration,
    /// The time limit for a reply to a vote.
    pub vote_timeout: Duration,
    /// The number of sidecars required to roll a build back.
    pub rollback_quorum: u32,
    /// The number of sidecars required to hold a stage.
    pub hold_quorum: u32,
    /// The number of sidecars required to promote a build.
    pub promote_quorum: u32,
    /// The number of votes per second that are accepted from all sidecars together, with a burst of
    /// twice that many; `None` if votes are not limited.
    pub vote_rate_limit: Option<f64>,
}

/// The limits for rules 3 and 4.
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// How long a pod may still receive requests after this sidecar was notified that it is
    /// draining or gone.
    pub drain_grace: Duration,
    /// The share of its full capacity that a pod has when it starts.
    pub slow_start_from: f64,
    /// How long a pod takes to warm up.
    pub slow_start_duration: Duration,
    /// The load, as a multiple of its current capacity, at which a pod that is warming up fails.
    pub overload_multiple: f64,
    /// The window over which that load is measured.
    pub overload_window: Duration,
}

/// The configuration of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarConfig {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of sidecars in the fleet.
    pub sidecar_count: u32,
    /// The index of this sidecar in the fleet.
    pub sidecar_index: u32,
    /// The zone that the sidecar runs in.
    pub zone: ZoneId,
    /// The request classes, indexed by class id.
    pub classes: Vec<RequestClass>,
    /// Whether the endpoint list is watched only when the engine requests it.
    pub watch_on_request: bool,
    /// Whether endpoint lists come from this sidecar's own agent. If so, an update counts as
    /// notified once the agent has it, whether or not the sidecar received it.
    pub endpoints_pushed: bool,
    /// How long an endpoint list remains valid without updates; `None` if it remains valid
    /// indefinitely.
    pub endpoint_lease: Option<Duration>,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether a request may have several attempts in flight.
    pub hedging: bool,
    /// How long rejected clients are asked to wait before they retry; `None` if they may retry
    /// immediately.
    pub retry_after: Option<Duration>,
    /// The maximum number of attempts per request.
    pub max_attempts: u16,
    /// The limits of the safety rules.
    pub safety: SafetyLimits,
    /// The configuration of rollouts.
    pub rollout: RolloutConfig,
}
