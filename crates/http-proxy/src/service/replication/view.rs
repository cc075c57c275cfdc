//! The answer to `GET /limewing/state`.

use limewing_replication::{Log, Origin};
use serde::{Deserialize, Serialize};

/// One sidecar's replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicationView {
    /// Name of the sidecar.
    pub name: String,
    /// Number of its process: milliseconds since 1970 at its start.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Whether it has the entries that other sidecars published before it started.
    pub caught_up: bool,
    /// Bytes of packets sent since the start.
    pub bytes_sent: u64,
    /// Routing keys that a build has served.
    pub keys: usize,
    /// Requests that may have run.
    #[serde(rename = "hits")]
    pub requests: usize,
    /// Records that were dropped because a bound was reached.
    #[serde(rename = "left_out")]
    pub dropped_records: u64,
    /// The replicas, one for each process of each sidecar.
    pub logs: Vec<LogView>,
    /// The rollout stage that each sidecar has announced, as text.
    pub stages: Vec<String>,
    /// The rollout stage that this sidecar applies, as text.
    pub stage: Option<String>,
}

/// The replica of one process's entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogView {
    /// Name of the sidecar that published the entries.
    pub name: String,
    /// Number of its process.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The replica is complete through this sequence number.
    #[serde(rename = "upto")]
    pub contiguous_through: u64,
    /// Entries that have not expired.
    #[serde(rename = "live")]
    pub live_entries: usize,
    /// Entries that were evicted because a bound was reached.
    #[serde(rename = "given_up")]
    pub evicted_entries: u64,
}

impl LogView {
    pub(super) fn new(origin: &Origin, log: &Log) -> Self {
        Self {
            name: origin.name.clone(),
            incarnation: origin.incarnation,
            contiguous_through: log.contiguous_through(),
            live_entries: log.live_entries(),
            evicted_entries: log.evicted_entries(),
        }
    }
}
