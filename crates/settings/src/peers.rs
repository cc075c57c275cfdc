//! Communication between the sidecars of a fleet.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Allowed times between two probes, in seconds.
const PERIOD_RANGE_S: std::ops::RangeInclusive<f64> = 0.01..=60.0;
/// The minimum rate with which members can still find each other, in bytes per second.
const MIN_BYTES_PER_S: u32 = 2000;
/// The maximum number of join addresses.
const MAX_JOIN_ADDRESSES: usize = 64;
/// The longest sidecar name that fits into a membership datagram, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// How the sidecars of a fleet communicate with each other: by datagrams that are sealed with a shared key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Peers")]
#[schemars(rename = "Peers")]
pub struct PeerSettings {
    /// Address on which datagrams are received.
    #[schemars(description = "")]
    pub listen: SocketAddr,
    /// Address at which the others reach this sidecar, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of some of the others, to be contacted at startup.
    pub join: Vec<SocketAddr>,
    /// File with the shared keys; it is reloaded on SIGHUP.
    pub key_file: PathBuf,
    /// Time between two probes.
    #[serde(default = "default_period")]
    pub period: Seconds,
    /// Maximum rate at which this sidecar sends to all others together, in bytes per second.
    #[serde(default = "default_bytes_per_s")]
    pub bytes_per_s: u32,
    /// Whether state received from the others influences which pods this sidecar chooses, and which ejected pods it probes.
    #[serde(default, rename = "choices")]
    pub coordination: bool,
    /// Whether important state is replicated to the others (docs/replicas.md).
    #[serde(default, rename = "replicas")]
    pub replication: bool,
}

impl PeerSettings {
    pub(crate) fn validate(&self, sidecar_name: &str, validator: &mut Validator) {
        validator.require(
            PERIOD_RANGE_S.contains(&self.period.value()),
            "/peers/period",
            "0.01 to 60 seconds",
        );
        validator.require(
            self.bytes_per_s >= MIN_BYTES_PER_S,
            "/peers/bytes_per_s",
            "2000 bytes a second or more",
        );
        validator.require(
            self.join.len() <= MAX_JOIN_ADDRESSES,
            "/peers/join",
            "at most 64 addresses",
        );
        validator.require(
            sidecar_name.len() <= MAX_NAME_BYTES,
            "/name",
            "at most 64 bytes where `peers` is set",
        );
        validator.require(
            self.is_reachable(),
            "/peers/advertise",
            "an address and port at which the others reach this sidecar",
        );
    }

    /// Whether the advertised address can be reached. Port 0 is allowed in `listen` only, as the sidecar learns from the
    /// system which port it got there.
    fn is_reachable(&self) -> bool {
        let advertised = self.advertise.unwrap_or(self.listen);
        let port_is_unknown = self.advertise.is_some() && advertised.port() == 0;
        !advertised.ip().is_unspecified() && !port_is_unknown
    }
}

fn default_period() -> Seconds {
    Seconds::constant(1.0)
}

fn default_bytes_per_s() -> u32 {
    16_384
}
