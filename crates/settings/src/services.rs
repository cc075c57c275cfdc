//! The control services that a sidecar calls.

use crate::seconds::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The service that tells which pods there are: Consul's catalog-health API.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct ListService")]
#[schemars(rename = "ListService")]
pub struct EndpointListService {
    /// Where it listens.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// Name of the service whose pods are asked for.
    #[schemars(description = "")]
    pub service: String,
    /// How long one blocking query may wait.
    #[serde(default = "default_wait")]
    pub wait: Seconds,
}

/// The service that brings builds in by stages and takes votes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Installer")]
#[schemars(rename = "Installer")]
pub struct RolloutService {
    /// Where it listens.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// A stream of stage news that says nothing for so long is asked for again.
    #[serde(default = "default_silence_timeout", rename = "quiet_at_most")]
    pub silence_timeout: Seconds,
}

fn default_wait() -> Seconds {
    Seconds::constant(30.0)
}

fn default_silence_timeout() -> Seconds {
    Seconds::constant(30.0)
}
