//! The pods of a day, and the communication between its sidecars.

use limewing_fault_injection::Script;
use limewing_settings::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The fleet of pods.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct FleetScript {
    /// The zones; slots are assigned to them in turn.
    #[schemars(description = "")]
    pub zones: Vec<String>,
    /// The number of slots for pods.
    #[schemars(description = "")]
    pub pods: usize,
    /// The number of cores of a pod.
    #[schemars(description = "")]
    pub cores: usize,
    /// The number of requests that may be queued at a pod.
    #[serde(rename = "waiting")]
    pub queue_limit: usize,
    /// The number of neighbouring slots in a cell, whose pods share a memory of idempotency keys.
    #[serde(rename = "cell", default = "default_pods_per_cell")]
    pub pods_per_cell: usize,
    /// The time that a new pod takes to start.
    #[serde(rename = "starts_within")]
    pub startup_time: Seconds,
    /// The delay of the endpoint list.
    #[serde(rename = "list_lag")]
    pub list_delay: Seconds,
    /// The time after which a draining pod exits.
    #[serde(rename = "drains_for")]
    pub drain_duration: Seconds,
    /// The interval at which stage updates are repeated.
    #[serde(rename = "told_every", default)]
    pub stage_update_interval: Option<Seconds>,
}

fn default_pods_per_cell() -> usize {
    4
}

/// The communication between sidecars.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct PeersScript {
    /// Whether sidecars coordinate their choices of pods.
    #[serde(rename = "choices")]
    pub coordination: bool,
    /// Whether sidecars replicate each other's important state.
    #[serde(rename = "replicas", default)]
    pub replication: bool,
    /// The interval between two probes.
    #[serde(rename = "period")]
    pub probe_interval: Seconds,
    /// The script of faults of the sidecars and the links between them; its members are the day's sidecars.
    pub faults: Script,
}
