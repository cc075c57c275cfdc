//! The pods, and how the sidecars know of each other.

use limewing_fault_injection::Script;
use limewing_settings::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The pods.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct FleetScript {
    /// The zones; slots are dealt to them in turn.
    #[schemars(description = "")]
    pub zones: Vec<String>,
    /// Slots for pods.
    #[schemars(description = "")]
    pub pods: usize,
    /// Cores of a pod.
    #[schemars(description = "")]
    pub cores: usize,
    /// Hits that may wait at a pod.
    #[serde(rename = "waiting")]
    pub queue_limit: usize,
    /// Pods of a cell are neighbours that share a memory of marks.
    #[serde(rename = "cell", default = "default_pods_per_cell")]
    pub pods_per_cell: usize,
    /// How long a new pod takes to run.
    #[serde(rename = "starts_within")]
    pub startup_time: Seconds,
    /// How late the node list is.
    #[serde(rename = "list_lag")]
    pub list_delay: Seconds,
    /// A pod that drains goes after this.
    #[serde(rename = "drains_for")]
    pub drain_duration: Seconds,
    /// Stage news is told again every so often.
    #[serde(rename = "told_every", default)]
    pub stage_update_interval: Option<Seconds>,
}

fn default_pods_per_cell() -> usize {
    4
}

/// What passes between sidecars.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct PeersScript {
    /// Whether what they know of each other moves their choices.
    #[serde(rename = "choices")]
    pub coordination: bool,
    /// Whether they keep each other's state that matters.
    #[serde(rename = "replicas", default)]
    pub replication: bool,
    /// Between two probes.
    #[serde(rename = "period")]
    pub probe_interval: Seconds,
    /// Faults of the links between them and of the sidecars; its members are the day's sidecars.
    pub faults: Script,
}
