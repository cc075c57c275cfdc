//! Merge of the records of all origins.
//!
//! Each rule is commutative and idempotent: records may arrive in any order and any number of
//! times. No record makes an answer less restrictive, except an origin's own later proof about its
//! own attempts.
//!
//! | record | rule |
//! | --- | --- |
//! | a build served a key | the newest build that served it, as long as any of the records is live |
//! | a request may have run | until each origin that sent it proves later that it never ran, or the record expires |
//! | a rollout stage | the latest one of each sidecar; see [`most_restrictive_stage`](crate::most_restrictive_stage) |

use crate::message::Origin;
use crate::record::{ExecutionMark, Record, Stage};
use crate::replica::MAX_LOGS;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of keys, and of requests, which bounds memory. Records of further ones are
/// counted and dropped, as if nobody had published them.
const MAX_IDENTIFIERS: usize = 500_000;

#[derive(Clone, Copy, Debug, PartialEq)]
struct ServedKey {
    newest_build: u16,
    expires_at: Duration,
}

/// Latest record of one origin about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ExecutionReport {
    sequence: u64,
    mark: ExecutionMark,
    expires_at: Duration,
}

/// Orders a sidecar's records across its processes.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct RecordVersion {
    incarnation: u64,
    sequence: u64,
}

/// Subject of an expiry; at equal times keys sort before requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Identifier {
    Key(u64),
    Request(u64),
}

/// Merged records of all origins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedState {
    dropped_records: u64,
    keys: BTreeMap<u64, ServedKey>,
    /// Keyed by the hash of the idempotency key, then by origin.
    executions: BTreeMap<u64, BTreeMap<Origin, ExecutionReport>>,
    /// Keyed by the sidecar's name.
    stages: BTreeMap<String, (RecordVersion, Stage)>,
    expiries: BTreeSet<(Duration, Identifier)>,
}

impl MergedState {
    /// Merges a record that expires at `expires_at`. Returns whether it adds anything new.
    pub fn apply(
        &mut self,
        origin: &Origin,
        sequence: u64,
        expires_at: Duration,
        record: &Record,
    ) -> bool {
        if self.is_full_for(origin, record) {
            self.dropped_records += 1;
            return false;
        }
        match *record {
            Record::KeyServed { key, build } => self.apply_key_served(key, build, expires_at),
            Record::Execution {
                idempotency_key,
                mark,
            } => {
                let report = ExecutionReport {
                    sequence,
                    mark,
                    expires_at,
                };
                self.apply_execution(idempotency_key, origin, report)
            }
            Record::Stage(stage) => self.apply_stage(origin, sequence, stage),
        }
    }

    fn is_full_for(&self, origin: &Origin, record: &Record) -> bool {
        match record {
            Record::KeyServed { key, .. } => {
                self.keys.len() >= MAX_IDENTIFIERS && !self.keys.contains_key(key)
            }
            Record::Execution {
                idempotency_key, ..
            } => {
                self.executions.len() >= MAX_IDENTIFIERS
                    && !self.executions.contains_key(idempotency_key)
            }
            Record::Stage(_) => {
                self.stages.len() >= MAX_LOGS && !self.stages.contains_key(&origin.name)
            }
        }
    }

    fn apply_key_served(&mut self, key: u64, build: u16, expires_at: Duration) -> bool {
        self.expiries.insert((expires_at, Identifier::Key(key)));
        let Some(known) = self.keys.get_mut(&key) else {
            let served = ServedKey {
                newest_build: build,
                expires_at,
            };
            self.keys.insert(key, served);
            return true;
        };
        let is_new = known.newest_build < build;
        known.newest_build = known.newest_build.max(build);
        known.expires_at = known.expires_at.max(expires_at);
        is_new
    }

    fn apply_execution(&mut self, request: u64, origin: &Origin, report: ExecutionReport) -> bool {
        self.expiries
            .insert((report.expires_at, Identifier::Request(request)));
        let reports = self.executions.entry(request).or_default();
        let unnumbered = ExecutionReport {
            sequence: 0,
            ..report
        };
        let known = reports.entry(origin.clone()).or_insert(unnumbered);
        let is_new = known.sequence < report.sequence;
        if is_new {
            *known = report;
        }
        is_new
    }

    fn apply_stage(&mut self, origin: &Origin, sequence: u64, stage: Stage) -> bool {
        let version = RecordVersion {
            incarnation: origin.incarnation,
            sequence,
        };
        let is_new = self
            .stages
            .get(&origin.name)
            .is_none_or(|(known, _)| *known < version);
        if is_new {
            self.stages.insert(origin.name.clone(), (version, stage));
        }
        is_new
    }

    /// Returns the newest build that served a key, given as its hash.
    pub fn newest_build_served(&self, now: Duration, key: u64) -> Option<u16> {
        self.keys
            .get(&key)
            .filter(|served| now < served.expires_at)
            .map(|served| served.newest_build)
    }

    /// Returns whether a request, given as the hash of its idempotency key, may have run through
    /// any sidecar.
    pub fn may_have_run(&self, now: Duration, idempotency_key: u64) -> bool {
        self.executions
            .get(&idempotency_key)
            .into_iter()
            .flat_map(BTreeMap::values)
            .any(|report| report.mark == ExecutionMark::MayHaveRun && now < report.expires_at)
    }

    /// Returns the latest stage of each sidecar with the sidecar's name.
    pub fn stages(&self) -> impl Iterator<Item = (&str, &Stage)> {
        self.stages
            .iter()
            .map(|(name, (_, stage))| (name.as_str(), stage))
    }

    /// Returns the number of records dropped because the state was full.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Returns the number of stored keys and of stored requests.
    pub fn key_and_request_counts(&self) -> (usize, usize) {
        (self.keys.len(), self.executions.len())
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Duration) {
        while let Some((expires_at, identifier)) = self.expiries.first().copied() {
            if expires_at > now {
                return;
            }
            self.expiries.remove(&(expires_at, identifier));
            match identifier {
                Identifier::Key(key) => self.expire_key(now, key),
                Identifier::Request(request) => self.expire_request(now, request),
            }
        }
    }

    fn expire_key(&mut self, now: Duration, key: u64) {
        if self
            .keys
            .get(&key)
            .is_some_and(|served| served.expires_at <= now)
        {
            self.keys.remove(&key);
        }
    }

    fn expire_request(&mut self, now: Duration, request: u64) {
        let Some(reports) = self.executions.get_mut(&request) else {
            return;
        };
        reports.retain(|_, report| now < report.expires_at);
        if reports.is_empty() {
            self.executions.remove(&request);
        }
    }
}
