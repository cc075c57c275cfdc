//! The settings of one sidecar. Durations are in seconds.

use crate::error::{ConfigError, ValidateConfig};
use crate::fleet::Fleet;
use crate::headers::Headers;
use crate::limits::Limits;
use crate::maintenance::MaintenanceSettings;
use crate::peers::PeerSettings;
use crate::request_class::{self, RequestClass};
use crate::rollout::RolloutSettings;
use crate::router::Router;
use crate::safety_limits::SafetyLimits;
use crate::services::{EndpointListService, RolloutService};
use crate::tenant::Tenant;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of one sidecar.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct SidecarSettings {
    /// Name of this sidecar in `Via` and `Proxy-Status`: letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// Address on which clients are served; with port 0 the system chooses a port, which is printed to standard output.
    pub listen: SocketAddr,
    /// File in which the last endpoint list is kept across restarts.
    #[serde(default)]
    pub state_file: Option<PathBuf>,
    /// Seed of the sidecar's random numbers; taken from the system if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The service that serves the endpoint list.
    #[serde(rename = "list")]
    #[schemars(description = "")]
    pub endpoint_list: EndpointListService,
    /// The rollout service; without it the sidecar learns of no build on trial and sends no votes.
    #[serde(default, rename = "installer")]
    pub rollout_service: Option<RolloutService>,
    /// The sidecars that share the requests.
    #[schemars(description = "")]
    pub fleet: Fleet,
    /// The request header fields that the sidecar reads.
    #[schemars(description = "")]
    pub headers: Headers,
    /// The request classes; a class id is an index into this list.
    #[serde(rename = "path_groups")]
    #[schemars(description = "")]
    pub classes: Vec<RequestClass>,
    /// The tenants; a tenant id is an index into this list.
    #[serde(default, rename = "customers")]
    #[schemars(description = "")]
    pub tenants: Vec<Tenant>,
    /// Limits on attempts, connections and buffers.
    #[schemars(description = "")]
    pub limits: Limits,
    /// Parameters of the five safety rules.
    #[serde(rename = "rules")]
    #[schemars(description = "")]
    pub safety: SafetyLimits,
    /// How builds are rolled out.
    #[serde(rename = "releases")]
    #[schemars(description = "")]
    pub rollout: RolloutSettings,
    /// The other sidecars; without it this sidecar knows of no others and opens no socket for them.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Machines go out of service for maintenance in an order that the sidecars agree on; without it none do. Needs `peers`.
    #[serde(default, rename = "work")]
    pub maintenance: Option<MaintenanceSettings>,
}

impl SidecarSettings {
    fn has_valid_name(&self) -> bool {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !self.name.is_empty() && self.name.chars().all(is_allowed)
    }
}

impl ValidateConfig for SidecarSettings {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut validator = Validator::default();
        validator.require(
            self.has_valid_name(),
            "/name",
            "letters, digits, '-', '_' or '.'",
        );
        self.fleet.validate(&mut validator);
        request_class::validate_all(&self.classes, &mut validator);
        self.limits.validate(&mut validator);
        self.safety.validate(&mut validator);
        self.rollout.validate(&mut validator);
        if let Some(peers) = &self.peers {
            peers.validate(&self.name, &mut validator);
        }
        if let Some(maintenance) = &self.maintenance {
            maintenance.validate(&self.name, self.peers.is_some(), &mut validator);
        }
        if let Err(error) = Router::new(&self.classes) {
            validator.push(error);
        }
        validator.into_errors()
    }
}
