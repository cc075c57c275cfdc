//! Limits that the five rules are checked against, as stated in the first line of a record. The names in `serde` attributes are part of
//! the file format, and appear in the reader's error messages.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Repeat")]
pub enum Idempotency {
    /// Running it again is harmless.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Pods drop a duplicate by its idempotency key, if they share the memory of the key.
    #[serde(rename = "tagged")]
    Keyed {
        /// Which pods share the memory.
        #[serde(rename = "reach")]
        deduplicated_by: DeduplicationScope,
        /// How long these pods remember a key.
        #[serde(rename = "memory")]
        window: Duration,
    },
    /// It must not run more than once.
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
    /// Name of the class in the day's settings.
    pub name: String,
    /// Whether requests of the class may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Time from the first attempt within which an answer counts with the weight.
    #[serde(rename = "target_latency")]
    pub latency_objective: Duration,
    /// Weight of an answer within the latency objective.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
}

/// Limits of the five rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Terms")]
pub struct RuleLimits {
    /// Request classes; events refer to them by index.
    #[serde(rename = "groups")]
    pub classes: Vec<RequestClass>,
    /// How long after the client's timeout an answer may still arrive.
    pub answer_slack: Duration,
    /// How long attempts may still arrive after a sidecar was notified of a drain or a lower cap.
    pub drain_grace: Duration,
    /// Fraction of its capacity that a pod has when it starts.
    #[serde(rename = "cold_from")]
    pub slow_start_from: f64,
    /// Time from its start until a pod has its full capacity.
    #[serde(rename = "cold_for")]
    pub slow_start_duration: Duration,
    /// Load at which a pod that is warming up fails, as a multiple of its current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Window over which that load is measured.
    #[serde(rename = "fall_within")]
    pub overload_window: Duration,
    /// Share of the requests that a canary may receive, by stage.
    #[serde(rename = "caps")]
    pub exposure_caps: Vec<f64>,
    /// Window over which a cap is measured.
    #[serde(rename = "cap_window")]
    pub exposure_window: Duration,
    /// Attempts that are allowed in addition to a cap.
    #[serde(rename = "cap_free")]
    pub exposure_free: f64,
    /// Whether a cap applies to each request class separately.
    #[serde(rename = "cap_by_group")]
    pub exposure_per_class: bool,
    /// Number of first stages in which a canary receives idempotent requests only.
    pub guarded_stages: u8,
    /// Whether a routing key that a newer build has served must stay with that build.
    #[serde(rename = "keys_stay")]
    pub sticky_keys: bool,
}
