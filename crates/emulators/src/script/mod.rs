//! The file format of a day: the fleet, the requests, the releases, and the faults with their times. JSON; times are in seconds.
//!
//! Names in files differ from those in the code, as they are part of the format. An empty description hides a comment from the schema.

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

/// The script of a day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct DayScript {
    /// The name of the day.
    #[schemars(description = "")]
    pub name: String,
    /// The seed of all random numbers.
    #[schemars(description = "")]
    pub seed: u64,
    /// How long requests arrive; afterwards, open requests are completed.
    #[serde(rename = "lasts")]
    pub duration: Seconds,
    /// The mean request rate of all clients.
    #[serde(rename = "hits_per_s")]
    #[schemars(description = "")]
    pub requests_per_second: f64,
    /// The fleet of pods.
    #[schemars(description = "")]
    pub fleet: FleetScript,
    /// The zone of each sidecar.
    #[serde(rename = "sidecars")]
    pub sidecar_zones: Vec<String>,
    /// The request classes.
    #[serde(rename = "groups")]
    #[schemars(description = "")]
    pub classes: Vec<ClassScript>,
    /// The tenants that send the requests.
    #[serde(rename = "customers", default)]
    #[schemars(description = "")]
    pub tenants: Vec<TenantScript>,
    /// The behaviour of the clients.
    #[schemars(description = "")]
    pub clients: ClientScript,
    /// The limits of the sidecars.
    #[schemars(description = "")]
    pub limits: Limits,
    /// The limits of the rules.
    #[schemars(description = "")]
    pub rules: SafetyLimits,
    /// How builds are rolled out.
    #[schemars(description = "")]
    pub releases: RolloutSettings,
    /// The builds that are rolled out during the day.
    #[serde(default)]
    #[schemars(description = "")]
    pub offers: Vec<BuildOffer>,
    /// The faults and their times.
    #[serde(rename = "troubles", default)]
    #[schemars(description = "")]
    pub faults: Vec<ScheduledFault>,
    /// The relative share of requests that each sidecar receives; equal if absent.
    #[serde(rename = "traffic", default)]
    pub traffic_shares: Vec<f64>,
    /// The communication between the sidecars; if absent, they don't know of each other.
    #[serde(default)]
    pub peers: Option<PeersScript>,
    /// The maintenance of machines, which needs `peers`. A machine is named by its first slot: `node-0` and so on.
    #[serde(rename = "work", default)]
    pub maintenance: Option<MaintenanceScript>,
}

impl DayScript {
    /// The factor by which work takes longer on a build.
    #[must_use]
    pub fn slowdown_of(&self, build: u16) -> f64 {
        self.offers
            .iter()
            .find(|offer| offer.build == build)
            .map_or(1.0, |offer| offer.slowdown)
    }

    /// Which pods share the memory of a request class's idempotency keys, and how long they remember them; `None` for classes without keys.
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

    /// The longest client timeout of all request classes.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self
            .classes
            .iter()
            .map(|class| Duration::from(class.class.client_timeout));
        timeouts.max().unwrap_or_default()
    }

    /// The machine of a slot, identified by the number of the machine's first slot.
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
