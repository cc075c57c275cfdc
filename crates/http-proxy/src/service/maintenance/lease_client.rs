//! Renews this sidecar's own lease: when to request it, and from whom.

use limewing_maintenance::Lease;
use std::time::Duration;

/// Unanswered requests after which the lease is requested from all possible leaders.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// The lease, and the sidecar that last granted it.
pub(super) struct LeaseClient {
    lease: Lease,
    next_request: Duration,
    leader: Option<String>,
    unanswered_requests: u32,
}

impl LeaseClient {
    /// Starts without a lease; the first request is due at once.
    pub(super) fn new(now: Duration, duration: Duration) -> Self {
        Self {
            lease: Lease::new(now, duration),
            next_request: now,
            leader: None,
            unanswered_requests: 0,
        }
    }

    /// Returns the lease.
    pub(super) fn lease(&self) -> &Lease {
        &self.lease
    }

    /// When the next request is due.
    pub(super) fn next_request(&self) -> Duration {
        self.next_request
    }

    /// Name of the sidecar that last granted the lease.
    pub(super) fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Makes the next request due at once, because the request also reports changes to the leader.
    pub(super) fn request_at_once(&mut self, now: Duration) {
        self.next_request = self.next_request.min(now);
    }

    /// Begins a request. Returns its number.
    pub(super) fn begin_request(&mut self, now: Duration) -> u64 {
        self.next_request = now + self.lease.request_interval();
        self.lease.request(now)
    }

    /// Returns the receivers of the current request: the known leader while it responds, otherwise all `candidates`.
    pub(super) fn receivers(&mut self, candidates: Vec<String>) -> Vec<String> {
        let leader_responds = self.unanswered_requests < MAX_UNANSWERED_REQUESTS;
        let leader = self.leader.clone().filter(|_| leader_responds);
        self.unanswered_requests += 1;
        match leader {
            Some(leader) => vec![leader],
            None => candidates,
        }
    }

    /// Records that this sidecar granted its own request as leader.
    pub(super) fn granted_locally(&mut self, request: u64, commit_index: u64) {
        self.lease.granted(request, commit_index);
    }

    /// Records that another sidecar granted a request.
    pub(super) fn granted_by(&mut self, leader: &str, request: u64, commit_index: u64) {
        self.lease.granted(request, commit_index);
        self.leader = Some(leader.to_owned());
        self.unanswered_requests = 0;
    }
}
