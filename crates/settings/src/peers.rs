//! How the sidecars of a fleet reach each other.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Seconds between two probes; at least the first, at most the second.
const PERIOD_RANGE_S: std::ops::RangeInclusive<f64> = 0.01..=60.0;
/// The least bytes a second with which members still find each other.
const MIN_BYTES_PER_S: u32 = 2000;
/// The most addresses that a sidecar joins by.
const MAX_JOIN_ADDRESSES: usize = 64;
/// The longest name that fits into the members' datagrams, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// How the sidecars of a fleet know of each other: by datagrams, sealed with a key that they share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Peers")]
#[schemars(rename = "Peers")]
pub struct PeerSettings {
    /// Where datagrams are received.
    #[schemars(description = "")]
    pub listen: SocketAddr,
    /// Where the others reach this one, if not where it listens.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where some of the others may be reached at the start.
    pub join: Vec<SocketAddr>,
    /// Read again on SIGHUP.
    pub key_file: PathBuf,
    /// Between two probes.
    #[serde(default = "default_period")]
    pub period: Seconds,
    /// Sent by this sidecar to all others together, at most.
    #[serde(default = "default_bytes_per_s")]
    pub bytes_per_s: u32,
    /// Whether what is known of the others moves this one's choice among pods, and which shut pods it proves.
    #[serde(default, rename = "choices")]
    pub coordination: bool,
    /// Whether state that matters is kept by the others too (docs/replicas.md).
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
            "64 addresses at most",
        );
        validator.require(
            sidecar_name.len() <= MAX_NAME_BYTES,
            "/name",
            "64 letters at most where there are peers",
        );
        validator.require(
            self.is_reachable(),
            "/peers/advertise",
            "an address and port where the others reach this sidecar",
        );
    }

    /// Whether the others are told an address that they can send to. The port may be open only where the sidecar listens, as it
    /// learns that one itself.
    fn is_reachable(&self) -> bool {
        let reached = self.advertise.unwrap_or(self.listen);
        let port_is_open = self.advertise.is_some() && reached.port() == 0;
        !reached.ip().is_unspecified() && !port_is_open
    }
}

fn default_period() -> Seconds {
    Seconds::constant(1.0)
}

fn default_bytes_per_s() -> u32 {
    16_384
}
