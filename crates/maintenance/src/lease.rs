//! A sidecar's own lease, by which it may send to machines on lists.

use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests without a response that are remembered at most.
const MAX_PENDING_REQUESTS: usize = 64;
/// A lease is requested this many times in its duration, so that it outlives lost requests.
const REQUESTS_PER_LEASE: u32 = 4;
/// A sidecar that has just started and gets no lease within this time goes by the endpoint list alone. Otherwise sidecars that start
/// while there is no quorum of voters would serve nothing. A machine in maintenance that the endpoint list has as ready gets requests then.
pub const MAX_START_WAIT: Duration = Duration::from_secs(5);

/// A sidecar's own lease. It counts from when the request was sent, so it ends here before it ends at the leader.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Duration,
    /// When each request without a response was sent.
    pending_requests: BTreeMap<u64, Duration>,
    last_request: u64,
    expires_at: Option<Duration>,
    /// The lease holds for a sidecar that has applied the log through this index.
    required_index: u64,
    started_at: Duration,
}

impl Lease {
    /// A sidecar that starts now, without a lease.
    pub fn new(now: Duration, duration: Duration) -> Self {
        Self {
            duration,
            pending_requests: BTreeMap::new(),
            last_request: 0,
            expires_at: None,
            required_index: 0,
            started_at: now,
        }
    }

    /// How often the lease is to be requested.
    pub fn request_interval(&self) -> Duration {
        self.duration / REQUESTS_PER_LEASE
    }

    /// A request is sent now; returns its number.
    pub fn request(&mut self, now: Duration) -> u64 {
        self.last_request += 1;
        self.pending_requests.insert(self.last_request, now);
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        self.last_request
    }

    /// The leader granted a request; it had committed the log through `commit_index`.
    pub fn granted(&mut self, request: u64, commit_index: u64) {
        let Some(sent_at) = self.pending_requests.remove(&request) else {
            return;
        };
        self.expires_at = self.expires_at.max(Some(sent_at + self.duration));
        self.required_index = self.required_index.max(commit_index);
    }

    /// Whether a sidecar that has applied the log through `applied_index` holds the lease.
    pub fn is_held(&self, now: Duration, applied_index: u64) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
            && applied_index >= self.required_index
    }

    /// Whether the sidecar still waits for its first lease.
    pub fn awaits_first_grant(&self, now: Duration) -> bool {
        self.expires_at.is_none() && now < self.started_at + MAX_START_WAIT
    }

    /// The names of the machines that this sidecar must not send to; `None`: it must not send to any.
    ///
    /// These are the granted ones; without a lease all machines on lists, because any of them may have been granted meanwhile; and
    /// all while the sidecar waits for its first lease.
    pub fn closed_machines(
        &self,
        now: Duration,
        applied_index: u64,
        schedule: &MaintenanceSchedule,
    ) -> Option<BTreeSet<String>> {
        if self.awaits_first_grant(now) {
            return None;
        }
        let mut closed: BTreeSet<String> = schedule
            .closed_machines()
            .map(|(machine, _)| machine.name.clone())
            .collect();
        if self.is_held(now, applied_index) {
            return Some(closed);
        }
        for list in schedule.lists().values() {
            if !list.is_finished() {
                let names = list.machines.iter().map(|state| state.machine.name.clone());
                closed.extend(names);
            }
        }
        Some(closed)
    }
}
