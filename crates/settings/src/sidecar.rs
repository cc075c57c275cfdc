//! The settings of one sidecar. Spans are in seconds.

use crate::error::{Checked, ConfigError};
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
    /// Names this sidecar in `Via` and `Proxy-Status`: letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// Where clients are served; port 0 lets the system choose, and the choice is told on standard output.
    pub listen: SocketAddr,
    /// Where the last node list is kept over a restart.
    #[serde(default)]
    pub state_file: Option<PathBuf>,
    /// Starts the sidecar's chance; the system's if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The service that serves the endpoint list.
    #[serde(rename = "list")]
    #[schemars(description = "")]
    pub endpoint_list: EndpointListService,
    /// Without it no build is ever on trial by news, and no vote is sent.
    #[serde(default, rename = "installer")]
    pub rollout_service: Option<RolloutService>,
    /// The sidecars that share the requests.
    #[schemars(description = "")]
    pub fleet: Fleet,
    /// The header fields that are read of a request.
    #[schemars(description = "")]
    pub headers: Headers,
    /// The request classes; their order numbers them.
    #[serde(rename = "path_groups")]
    #[schemars(description = "")]
    pub classes: Vec<RequestClass>,
    /// The tenants; their order numbers them.
    #[serde(default, rename = "customers")]
    #[schemars(description = "")]
    pub tenants: Vec<Tenant>,
    /// Bounds of attempts, connections and buffers.
    #[schemars(description = "")]
    pub limits: Limits,
    /// The figures of the five rules.
    #[serde(rename = "rules")]
    #[schemars(description = "")]
    pub safety: SafetyLimits,
    /// How builds are brought in.
    #[serde(rename = "releases")]
    #[schemars(description = "")]
    pub rollout: RolloutSettings,
    /// The other sidecars; none: this one knows of no other, and opens no socket for them.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Machines go out for work in an order that the sidecars settle among themselves; none: they don't. Needs `peers`.
    #[serde(default, rename = "work")]
    pub maintenance: Option<MaintenanceSettings>,
}

impl SidecarSettings {
    fn has_valid_name(&self) -> bool {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !self.name.is_empty() && self.name.chars().all(is_allowed)
    }
}

impl Checked for SidecarSettings {
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
