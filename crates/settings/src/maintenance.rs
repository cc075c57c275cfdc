//! Consensus among the sidecars on which machine goes out of service for maintenance, and when.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Allowed numbers of voters: odd, so that a majority is as small as possible. One voter is meant for test setups.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];
/// The longest sidecar name that fits into a log entry, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Allowed election timeouts, in seconds.
const ELECTION_TIMEOUT_RANGE_S: RangeInclusive<f64> = 0.05..=60.0;
/// The minimum lease, in election timeouts, so that a lease outlasts an election.
const MIN_LEASE_ELECTIONS: f64 = 2.0;
/// The maximum lease, in seconds.
const MAX_LEASE_S: f64 = 600.0;

/// How the sidecars agree on which machine goes out of service for maintenance, and when (docs/work.md).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Work")]
#[schemars(rename = "Work")]
pub struct MaintenanceSettings {
    /// Names of the sidecars that vote on it: three, five or seven, the same in the settings of all sidecars. The others follow.
    pub voters: Vec<String>,
    /// Directory of a voter's persistent state. It must outlive the process, or the voter comes back as a new one. A sidecar
    /// that has a directory and is not among `voters` may be given a vote later.
    #[serde(default, rename = "folder")]
    pub state_directory: Option<PathBuf>,
    /// Election timeout: a voter that hears from no leader for a random time between this and twice this stands for election.
    #[serde(default = "default_election_timeout", rename = "patience")]
    pub election_timeout: Seconds,
    /// A sidecar that no other sidecar has heard from for this long sends no requests to machines on a work list.
    #[serde(default = "default_lease_duration", rename = "lease")]
    pub lease_duration: Seconds,
}

impl MaintenanceSettings {
    pub(crate) fn validate(&self, sidecar_name: &str, has_peers: bool, validator: &mut Validator) {
        validator.require(has_peers, "/work", "`peers` to be set as well");
        validator.require(
            sidecar_name.len() <= MAX_NAME_BYTES,
            "/name",
            "at most 32 bytes where `work` is set",
        );
        let distinct: BTreeSet<&String> = self.voters.iter().collect();
        let is_valid_count = VOTER_COUNTS.contains(&self.voters.len());
        validator.require(
            is_valid_count && distinct.len() == self.voters.len(),
            "/work/voters",
            "three, five or seven names",
        );
        let is_voter = self.voters.iter().any(|voter| voter == sidecar_name);
        validator.require(
            !is_voter || self.state_directory.is_some(),
            "/work/folder",
            "a folder, as this sidecar is a voter",
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
