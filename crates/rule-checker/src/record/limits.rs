//! The limits that the five rules are held to, as the first line of a record states them. The names in `serde` attributes are the file
//! format, and what its reader's errors say.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may happen when a request runs more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Repeat")]
pub enum Idempotency {
    /// Running it again does no harm.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Pods that share a memory of its key drop a repeat.
    #[serde(rename = "tagged")]
    Keyed {
        /// Which pods share the memory.
        #[serde(rename = "reach")]
        deduplicated_by: DeduplicationScope,
        /// How long they remember a key.
        #[serde(rename = "memory")]
        window: Duration,
    },
    /// It may run once only.
    #[serde(rename = "mutating")]
    NonIdempotent,
}

/// Which pods share the memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Reach", rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All pods of the fleet.
    All,
    /// The pods of one zone.
    Zone,
    /// The pods of one cell.
    Cell,
}

/// Requests that share an idempotency, a latency objective and a priority weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Group")]
pub struct RequestClass {
    /// The name in the day's settings.
    pub name: String,
    /// What a repeat does.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Until when, from the first attempt, an answer earns the weight.
    #[serde(rename = "target_latency")]
    pub latency_objective: Duration,
    /// What a timely answer earns.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
}

/// The limits of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Terms")]
pub struct RuleLimits {
    /// The request classes, in the order by which events name them.
    #[serde(rename = "groups")]
    pub classes: Vec<RequestClass>,
    /// How much later than the client's timeout an answer may come.
    pub answer_slack: Duration,
    /// How long after news of a drain, or of a lower cap, attempts may still arrive.
    pub drain_grace: Duration,
    /// The part of its capacity that a pod has when it starts.
    #[serde(rename = "cold_from")]
    pub slow_start_from: f64,
    /// How long it takes a pod to reach its whole capacity.
    #[serde(rename = "cold_for")]
    pub slow_start_duration: Duration,
    /// The load, as a multiple of a warming pod's capacity, at which the pod falls over.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The span over which that load counts.
    #[serde(rename = "fall_within")]
    pub overload_window: Duration,
    /// The share of requests that a canary may get, by stage.
    #[serde(rename = "caps")]
    pub exposure_caps: Vec<f64>,
    /// The span over which a cap counts.
    #[serde(rename = "cap_window")]
    pub exposure_window: Duration,
    /// Attempts that are allowed on top of a cap.
    #[serde(rename = "cap_free")]
    pub exposure_free: f64,
    /// Whether the cap holds for each request class by itself.
    #[serde(rename = "cap_by_group")]
    pub exposure_per_class: bool,
    /// The first stages, in which a canary gets idempotent requests only.
    pub guarded_stages: u8,
    /// Whether a routing key that a newer build has served stays with it.
    #[serde(rename = "keys_stay")]
    pub sticky_keys: bool,
}
