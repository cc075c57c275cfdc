//! The response to `GET /limewing/state`.

use limewing_replication::{Log, Origin};
use serde::{Deserialize, Serialize};

/// One sidecar's view of the replicated state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicationView {
    /// Name of the sidecar.
    pub name: String,
    /// Incarnation of its process: its start, in milliseconds since 1970.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Whether it has received the entries that other sidecars published before it started.
    pub caught_up: bool,
    /// Total size of the packets sent since startup, in bytes.
    pub bytes_sent: u64,
    /// Number of routing keys that a build has served.
    pub keys: usize,
    /// Number of requests that may have run.
    #[serde(rename = "hits")]
    pub requests: usize,
    /// Number of records dropped because a limit was reached.
    #[serde(rename = "left_out")]
    pub dropped_records: u64,
    /// The replicated logs, one for each process of each sidecar.
    pub logs: Vec<LogView>,
    /// The rollout stage that each sidecar has announced, as text.
    pub stages: Vec<String>,
    /// The rollout stage that this sidecar applies, as text.
    pub stage: Option<String>,
}

/// The replicated log of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogView {
    /// Name of the sidecar that published the entries.
    pub name: String,
    /// Incarnation of its process.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// Sequence number through which the replica is complete.
    #[serde(rename = "upto")]
    pub contiguous_through: u64,
    /// Number of entries that have not expired.
    #[serde(rename = "live")]
    pub live_entries: usize,
    /// Number of entries evicted because a limit was reached.
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
