//! The form in which discovery lists pods.

use limewing_decision::interface::BuildId;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// One object of a watch: the complete list, or what changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointListing {
    /// The list's version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether pods that are not in it are gone.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Its entries, each usable or not.
    #[serde(rename = "hosts", deserialize_with = "deserialize_entries")]
    pub entries: Vec<Result<ListedEndpoint, UnusableEntry>>,
}

/// An entry that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct UnusableEntry {
    /// Its host, if that can be read.
    pub host: Option<String>,
    /// Why it can't be used.
    pub error: String,
}

/// The state of a pod.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// It takes requests.
    InService,
    /// It drains.
    Terminating,
    /// It is gone.
    Terminated,
}

/// A pod as it is listed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListedEndpoint {
    /// Its name.
    pub host: String,
    /// Where it is reached.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// The name of its machine's type.
    #[serde(default, rename = "class")]
    pub machine_type: String,
    /// The cell that it is in.
    #[serde(default, rename = "block")]
    pub cell: u16,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ServiceState,
    /// Its size, relative to other pods.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
    /// When it started, in milliseconds since 1970; 0 if that is not known.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
    /// The build that it runs.
    #[serde(default, rename = "version_no")]
    pub build: u16,
}

impl ListedEndpoint {
    /// What distinguishes this start of the pod from others.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            address: self.address,
            started_at_ms: self.started_at_ms,
            build: BuildId(self.build),
        }
    }
}

/// One start of a pod at one address: connections and attempts that were meant for another one are of no use to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Where it is reached.
    pub address: SocketAddr,
    /// When it started, in milliseconds since 1970; 0 if that is not known.
    pub started_at_ms: u64,
    /// The build that it runs.
    pub build: BuildId,
}

fn default_weight() -> f64 {
    1.0
}

/// The part of an entry by which one that can't be used is named.
#[derive(Deserialize)]
struct EntryName {
    host: String,
}

/// One entry that can't be parsed spoils none of the others.
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
