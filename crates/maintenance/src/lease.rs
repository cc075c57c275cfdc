//! The lease of a sidecar, which permits it to send requests to machines on lists.

use crate::schedule::MaintenanceSchedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of remembered requests without a response.
const MAX_PENDING_REQUESTS: usize = 64;
/// Number of lease requests per lease duration, so that a lease survives lost requests.
const REQUESTS_PER_LEASE: u32 = 4;
/// Time after its start at which a sidecar without a lease stops waiting and relies on the endpoint
/// list alone. Otherwise sidecars that start while there is no quorum of voters would serve
/// nothing. A machine in maintenance that the endpoint list reports as ready receives requests in
/// that case.
pub const MAX_START_WAIT: Duration = Duration::from_secs(5);

/// The lease of a sidecar. It is counted from the time at which the request was sent, so it expires
/// here before it expires at the leader.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Duration,
    /// Send times of the requests without a response.
    pending_requests: BTreeMap<u64, Duration>,
    last_request: u64,
    expires_at: Option<Duration>,
    /// The lease is valid only for a sidecar that has applied the log up to this index.
    required_index: u64,
    started_at: Duration,
}

impl Lease {
    /// Creates the state of a sidecar that starts now, without a lease.
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

    /// Returns the interval between lease requests.
    pub fn request_interval(&self) -> Duration {
        self.duration / REQUESTS_PER_LEASE
    }

    /// Records that a request is sent now, and returns its number.
    pub fn request(&mut self, now: Duration) -> u64 {
        self.last_request += 1;
        self.pending_requests.insert(self.last_request, now);
        if self.pending_requests.len() > MAX_PENDING_REQUESTS {
            self.pending_requests.pop_first();
        }
        self.last_request
    }

    /// Records that the leader granted a request. The leader had committed the log up to
    /// `commit_index`.
    pub fn granted(&mut self, request: u64, commit_index: u64) {
        let Some(sent_at) = self.pending_requests.remove(&request) else {
            return;
        };
        self.expires_at = self.expires_at.max(Some(sent_at + self.duration));
        self.required_index = self.required_index.max(commit_index);
    }

    /// Returns whether a sidecar that has applied the log up to `applied_index` holds the lease.
    pub fn is_held(&self, now: Duration, applied_index: u64) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
            && applied_index >= self.required_index
    }

    /// Returns whether the sidecar is still waiting for its first lease.
    pub fn awaits_first_grant(&self, now: Duration) -> bool {
        self.expires_at.is_none() && now < self.started_at + MAX_START_WAIT
    }

    /// Returns the names of the machines that this sidecar must not send to, or `None` if it must
    /// not send to any.
    ///
    /// With a lease these are the granted machines. Without a lease they are all machines on lists,
    /// because any of them may have been granted in the meantime. While the sidecar waits for its
    /// first lease, it must not send to any machine.
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
