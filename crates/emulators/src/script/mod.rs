//! A day as its file says: the fleet, the requests, the releases, and what goes wrong when. JSON; times in seconds.
//!
//! Names in files differ from the names here, and descriptions in the schema from the comments here: both are formats.

mod clients;
mod faults;
mod fleet;
mod maintenance;
mod rule_limits;
mod schema;
mod validation;

pub use clients::{ClassScript, ClientScript, TenantScript};
pub use faults::{BuildFault, BuildOffer, DayFault, ScheduledFault};
pub use fleet::{FleetScript, PeersScript};
pub use maintenance::{MaintenanceScript, MaintenanceStep, OperatorAction};

use limewing_settings::{
    DeduplicationScope, Idempotency, Limits, RolloutSettings, SafetyLimits, Seconds,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The build that runs when a day starts.
pub const FIRST_BUILD: u16 = 1;

/// A day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct DayScript {
    /// The name of the day.
    #[schemars(description = "")]
    pub name: String,
    /// Seed of all that is drawn.
    #[schemars(description = "")]
    pub seed: u64,
    /// Hits come for so long; then what is open is settled.
    #[serde(rename = "lasts")]
    pub duration: Seconds,
    /// The mean rate of all clients.
    #[serde(rename = "hits_per_s")]
    #[schemars(description = "")]
    pub requests_per_second: f64,
    /// The pods.
    #[schemars(description = "")]
    pub fleet: FleetScript,
    /// The zone of each sidecar.
    #[serde(rename = "sidecars")]
    pub sidecar_zones: Vec<String>,
    /// The request classes.
    #[serde(rename = "groups")]
    #[schemars(description = "")]
    pub classes: Vec<ClassScript>,
    /// Whose requests they are.
    #[serde(rename = "customers", default)]
    #[schemars(description = "")]
    pub tenants: Vec<TenantScript>,
    /// How clients behave.
    #[schemars(description = "")]
    pub clients: ClientScript,
    /// Limits of the sidecars.
    #[schemars(description = "")]
    pub limits: Limits,
    /// What the rules are held to.
    #[schemars(description = "")]
    pub rules: SafetyLimits,
    /// How builds are rolled out.
    #[schemars(description = "")]
    pub releases: RolloutSettings,
    /// Builds that are rolled out during the day.
    #[serde(default)]
    #[schemars(description = "")]
    pub offers: Vec<BuildOffer>,
    /// What goes wrong.
    #[serde(rename = "troubles", default)]
    #[schemars(description = "")]
    pub faults: Vec<ScheduledFault>,
    /// The parts of the hits that the sidecars get; alike if absent.
    #[serde(rename = "traffic", default)]
    pub traffic_shares: Vec<f64>,
    /// The sidecars know of each other, through links of this script; none: they don't.
    #[serde(default)]
    pub peers: Option<PeersScript>,
    /// Machines go out for work; needs `peers`. A machine is a place of the fleet: `node-0` and so on.
    #[serde(rename = "work", default)]
    pub maintenance: Option<MaintenanceScript>,
}

impl DayScript {
    /// How many times as long a build's work takes.
    #[must_use]
    pub fn slowdown_of(&self, build: u16) -> f64 {
        self.offers
            .iter()
            .find(|offer| offer.build == build)
            .map_or(1.0, |offer| offer.slowdown)
    }

    /// Which pods share the memory of idempotency keys of a request class, and how long they remember; none for classes without keys.
    #[must_use]
    pub fn deduplication(&self, class: usize) -> Option<(DeduplicationScope, Duration)> {
        match self.classes[class].class.idempotency {
            Idempotency::Keyed {
                deduplicated_by,
                window,
            } => Some((deduplicated_by, window.into())),
            _ => None,
        }
    }

    /// The longest time that a client waits for an answer.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self
            .classes
            .iter()
            .map(|class| Duration::from(class.class.client_timeout));
        timeouts.max().unwrap_or_default()
    }

    /// The machine that a slot is on, by the number of its first slot.
    #[must_use]
    pub fn machine_of(&self, slot: usize) -> usize {
        let zones = self.fleet.zones.len().max(1);
        let pods_per_machine = self
            .maintenance
            .as_ref()
            .map_or(1, |maintenance| maintenance.pods_per_machine);
        (slot / zones / pods_per_machine * pods_per_machine) * zones + slot % zones
    }

    /// The slots of a machine.
    #[must_use]
    pub fn slots_of(&self, machine: usize) -> Vec<usize> {
        (0..self.fleet.pods)
            .filter(|slot| self.machine_of(*slot) == machine)
            .collect()
    }
}
