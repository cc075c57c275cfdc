//! This sidecar's own lease: when it is requested, and of whom.

use limewing_maintenance::Lease;
use std::time::Duration;

/// After so many requests without a response all sidecars that may lead are asked.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// The lease, and the sidecar that granted it last.
pub(super) struct LeaseClient {
    lease: Lease,
    next_request: Duration,
    leader: Option<String>,
    unanswered_requests: u32,
}

impl LeaseClient {
    /// A sidecar that starts now, without a lease.
    pub(super) fn new(now: Duration, duration: Duration) -> Self {
        Self {
            lease: Lease::new(now, duration),
            next_request: now,
            leader: None,
            unanswered_requests: 0,
        }
    }

    /// The lease.
    pub(super) fn lease(&self) -> &Lease {
        &self.lease
    }

    /// When the lease is to be requested next.
    pub(super) fn next_request(&self) -> Duration {
        self.next_request
    }

    /// The sidecar that granted the lease last.
    pub(super) fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Requests the lease now: with the request this sidecar reports what has changed.
    pub(super) fn request_at_once(&mut self, now: Duration) {
        self.next_request = self.next_request.min(now);
    }

    /// A request is sent now. Returns its number.
    pub(super) fn begin_request(&mut self, now: Duration) -> u64 {
        self.next_request = now + self.lease.request_interval();
        self.lease.request(now)
    }

    /// Whom to send the request to that has begun: the known leader, or else all `candidates`.
    pub(super) fn receivers(&mut self, candidates: Vec<String>) -> Vec<String> {
        let answers = self.unanswered_requests < MAX_UNANSWERED_REQUESTS;
        let leader = self.leader.clone().filter(|_| answers);
        self.unanswered_requests += 1;
        match leader {
            Some(leader) => vec![leader],
            None => candidates,
        }
    }

    /// This sidecar leads and granted its own request.
    pub(super) fn granted_locally(&mut self, request: u64, commit_index: u64) {
        self.lease.granted(request, commit_index);
    }

    /// Another sidecar granted a request.
    pub(super) fn granted_by(&mut self, leader: &str, request: u64, commit_index: u64) {
        self.lease.granted(request, commit_index);
        self.leader = Some(leader.to_owned());
        self.unanswered_requests = 0;
    }
}
