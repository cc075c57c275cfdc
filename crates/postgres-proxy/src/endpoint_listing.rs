//! The format in which discovery lists pods.

use limewing_decision::interface::BuildId;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// One object of a watch: the complete list, or the changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListing {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether pods that it does not contain are gone.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Its entries, each usable or not.
    #[serde(rename = "hosts", deserialize_with = "deserialize_entries")]
    pub entries: Vec<Result<ListedEndpoint, UnusableEntry>>,
}

/// An unusable entry.
#[derive(Clone, Debug, PartialEq)]
pub struct UnusableEntry {
    /// Its host, if that can be parsed.
    pub host: Option<String>,
    /// Why it is unusable.
    pub error: String,
}

/// The state of a pod.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// It accepts requests.
    InService,
    /// It is draining.
    Terminating,
    /// It is gone.
    Terminated,
}

/// A listed pod.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
    /// Its name.
    pub host: String,
    /// Its address.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// The name of its machine type.
    #[serde(default, rename = "class")]
    pub machine_type: String,
    /// The cell to which it belongs.
    #[serde(default, rename = "block")]
    pub cell: u16,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ServiceState,
    /// Its capacity, relative to other pods.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
    /// When it started, in milliseconds since the Unix epoch (1970); 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
    /// The build that it is running.
    #[serde(default, rename = "version_no")]
    pub build: u16,
}

impl ListedEndpoint {
    /// Returns what distinguishes this start of the pod from others.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            started_at_ms: self.started_at_ms,
            build: BuildId(self.build),
        }
    }
}

/// One start of a pod at one address. Connections and attempts to another incarnation are not valid
/// for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Its address.
    pub address: SocketAddr,
    /// When it started, in milliseconds since the Unix epoch (1970); 0 if unknown.
    pub started_at_ms: u64,
    /// The build that it is running.
    pub build: BuildId,
}

fn default_weight() -> f64 {
    1.0
}

/// The part of an entry that identifies it in errors.
#[derive(Deserialize)]
struct EntryName {
    host: String,
}

/// Parses each entry separately, so that an invalid one does not affect the others.
fn deserialize_entries<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Result<ListedEndpoint, UnusableEntry>>, D::Error> {
    let entries = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    Ok(entries.into_iter().map(|raw| parse_entry(&raw)).collect())
}

fn parse_entry(raw: &RawValue) -> Result<ListedEndpoint, UnusableEntry> {
    serde_json::from_str(raw.get()).map_err(|error| {
        let name: Option<EntryName> = serde_json::from_str(raw.get()).ok();
        let host = name.map(|name| name.host);
        let error = format!("host {}: {error}", host.as_deref().unwrap_or("unknown"));
        UnusableEntry { host, error }
    })
}
