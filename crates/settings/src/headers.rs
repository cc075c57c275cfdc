//! The header fields of requests that a sidecar reads.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The header fields that say what a hit is.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Headers {
    /// Names the tenant.
    #[serde(default, rename = "customer")]
    #[schemars(description = "")]
    pub tenant: Option<String>,
    /// Holds the routing key.
    #[serde(default, rename = "key")]
    #[schemars(description = "")]
    pub routing_key: Option<String>,
    /// Milliseconds that the client still waits.
    #[serde(default)]
    pub deadline_ms: Option<String>,
}
