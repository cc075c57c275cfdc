//! The control-plane services that a sidecar calls.

use crate::seconds::Seconds;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The service that serves the endpoint list: Consul's catalog-health API.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct ListService")]
#[schemars(rename = "ListService")]
pub struct EndpointListService {
    /// Address of the service.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// Name of the service whose pods are requested.
    #[schemars(description = "")]
    pub service: String,
    /// Maximum wait of one blocking query.
    #[serde(default = "default_wait")]
    pub wait: Seconds,
}

/// The service that rolls builds out in stages and receives votes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Installer")]
#[schemars(rename = "Installer")]
pub struct RolloutService {
    /// Address of the service.
    #[schemars(description = "")]
    pub address: SocketAddr,
    /// A stream of stage updates that is silent for this long is requested again.
    #[serde(default = "default_silence_timeout", rename = "quiet_at_most")]
    pub silence_timeout: Seconds,
}

fn default_wait() -> Seconds {
    Seconds::constant(30.0)
}

fn default_silence_timeout() -> Seconds {
    Seconds::constant(30.0)
}
