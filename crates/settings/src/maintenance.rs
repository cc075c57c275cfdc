//! How the sidecars agree on which machine goes out for work when.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Counts of voters that are taken: odd, so that a majority is as small as can be. One is for trials.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];
/// The longest name of a sidecar that fits into the log's entries, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Bounds of the election timeout, in seconds.
const ELECTION_TIMEOUT_RANGE_S: RangeInclusive<f64> = 0.05..=60.0;
/// The shortest lease, in election timeouts: it outlasts an election.
const MIN_LEASE_ELECTIONS: f64 = 2.0;
/// The longest lease, in seconds.
const MAX_LEASE_S: f64 = 600.0;

/// How the sidecars settle which machine goes out for work when (docs/work.md).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Work")]
#[schemars(rename = "Work")]
pub struct MaintenanceSettings {
    /// The names of the sidecars that settle it: three, five or seven, the same at all. The others follow.
    pub voters: Vec<String>,
    /// Where a voter keeps what it has promised; it must outlive the process, or the voter comes back as a new one. One that has
    /// a folder and is not among `voters` may be given a vote later.
    #[serde(default, rename = "folder")]
    pub state_directory: Option<PathBuf>,
    /// A voter that hears no leader for so long, and up to twice that by chance, stands itself.
    #[serde(default = "default_election_timeout", rename = "patience")]
    pub election_timeout: Seconds,
    /// A sidecar that nobody hears for so long sends to no machine on a work list.
    #[serde(default = "default_lease_duration", rename = "lease")]
    pub lease_duration: Seconds,
}

impl MaintenanceSettings {
    pub(crate) fn validate(&self, sidecar_name: &str, has_peers: bool, validator: &mut Validator) {
        validator.require(has_peers, "/work", "`peers` beside it");
        validator.require(
            sidecar_name.len() <= MAX_NAME_BYTES,
            "/name",
            "32 letters at most where machines go out for work",
        );
        let distinct: BTreeSet<&String> = self.voters.iter().collect();
        let is_countable = VOTER_COUNTS.contains(&self.voters.len());
        validator.require(
            is_countable && distinct.len() == self.voters.len(),
            "/work/voters",
            "three, five or seven names",
        );
        let is_voter = self.voters.iter().any(|voter| voter == sidecar_name);
        validator.require(
            !is_voter || self.state_directory.is_some(),
            "/work/folder",
            "a folder, as this one is a voter",
        );
        let election_timeout = self.election_timeout.value();
        validator.require(
            ELECTION_TIMEOUT_RANGE_S.contains(&election_timeout),
            "/work/patience",
            "0.05 to 60 seconds",
        );
        let lease = self.lease_duration.value();
        validator.require(
            lease >= MIN_LEASE_ELECTIONS * election_timeout && lease <= MAX_LEASE_S,
            "/work/lease",
            "twice `patience` to 600 seconds",
        );
    }
}

fn default_election_timeout() -> Seconds {
    Seconds::constant(0.3)
}

fn default_lease_duration() -> Seconds {
    Seconds::constant(2.0)
}
