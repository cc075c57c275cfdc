//! Names of the request header fields that a sidecar reads.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Names of the request header fields that the sidecar reads.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Headers {
    /// Name of the header field with the tenant.
    #[serde(default, rename = "customer")]
    #[schemars(description = "")]
    pub tenant: Option<String>,
    /// Name of the header field with the routing key.
    #[serde(default, rename = "key")]
    #[schemars(description = "")]
    pub routing_key: Option<String>,
    /// Name of the header field with the time in milliseconds that the client still waits.
    #[serde(default)]
    pub deadline_ms: Option<String>,
}
