//! The fleet of sidecars, and the place of one sidecar in it.

use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The sidecars that share the requests, and this sidecar's place among them.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct Fleet {
    /// Number of sidecars that share the requests.
    #[serde(rename = "sidecars")]
    pub sidecar_count: u32,
    /// Index of this sidecar among them, starting at 0.
    #[serde(rename = "own_number")]
    pub sidecar_index: u32,
    /// All zones in which pods may run.
    pub zones: Vec<String>,
    /// The zone of this sidecar.
    pub zone: String,
}

impl Fleet {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        validator.require(
            self.sidecar_index < self.sidecar_count,
            "/fleet/own_number",
            "a number below /fleet/sidecars",
        );
        validator.require(
            self.zones.contains(&self.zone),
            "/fleet/zone",
            "one of /fleet/zones",
        );
    }
}
