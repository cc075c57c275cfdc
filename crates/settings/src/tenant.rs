//! The tenants that a sidecar distinguishes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A tenant.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Customer")]
#[schemars(rename = "Customer", description = "")]
pub struct Tenant {
    /// The tenant's name, as in the header field.
    #[schemars(description = "")]
    pub name: String,
}
