//! The tenants that a sidecar tells apart.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Customer")]
#[schemars(rename = "Customer", description = "")]
pub struct Tenant {
    /// As the header field has it.
    #[schemars(description = "")]
    pub name: String,
}
