//! Records of requests kept by admission control and the load balancer.

use crate::interface::{
    AttemptIndex, AttemptOutcome, BuildId, CellId, ClassId, DeduplicationScope, Endpoint, PodId,
    Request, RoutingKey, TenantId, ZoneId,
};
use std::time::Duration;

/// Admission control's record of a request and its attempts.
pub(crate) struct RequestRecord {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) routing_key: Option<RoutingKey>,
    pub(crate) deadline: Duration,
    pub(crate) attempts: Vec<AttemptRecord>,
    /// Whether the request has its final response or no longer needs one.
    pub(crate) closed: bool,
    /// Whether the response is being streamed to the client.
    pub(crate) streaming: bool,
}

impl RequestRecord {
    pub(crate) fn new(request: &Request) -> Self {
        Self {
            class: request.class,
            tenant: request.tenant,
            routing_key: request.routing_key,
            deadline: request.deadline,
            attempts: Vec::new(),
            closed: false,
            streaming: false,
        }
    }

    /// Returns whether the request still lacks its final response, and the client waits for it.
    pub(crate) fn needs_response(&self, now: Duration) -> bool {
        !self.closed && !self.streaming && now < self.deadline
    }

    /// Records an attempt and returns its index.
    pub(crate) fn record_attempt(&mut self, to: &Endpoint, now: Duration) -> AttemptIndex {
        self.attempts.push(AttemptRecord {
            pod: to.pod,
            build: to.build,
            zone: to.zone,
            cell: to.cell,
            pod_started_at: to.started_at,
            sent_at: now,
            outcome: None,
        });
        AttemptIndex(self.attempts.len() as u16 - 1)
    }

    /// Returns an attempt if it has no outcome yet.
    pub(crate) fn open_attempt(&self, attempt: AttemptIndex) -> Option<&AttemptRecord> {
        self.attempts
            .get(usize::from(attempt.0))
            .filter(|record| record.outcome.is_none())
    }

    /// Returns all attempts but the given one.
    pub(crate) fn attempts_except(
        &self,
        attempt: AttemptIndex,
    ) -> impl Iterator<Item = &AttemptRecord> {
        (0u16..)
            .zip(&self.attempts)
            .filter(move |(index, _)| *index != attempt.0)
            .map(|(_, record)| record)
    }

    /// Returns the indices of all attempts without an outcome.
    pub(crate) fn open_attempts(&self) -> Vec<AttemptIndex> {
        (0u16..)
            .zip(&self.attempts)
            .filter(|(_, record)| record.outcome.is_none())
            .map(|(index, _)| AttemptIndex(index))
            .collect()
    }
}

/// An attempt that was sent, with its outcome.
pub(crate) struct AttemptRecord {
    pub(crate) build: BuildId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) pod: PodId,
    /// The start time of the pod incarnation that the attempt targets.
    pub(crate) pod_started_at: Option<Duration>,
    pub(crate) sent_at: Duration,
    pub(crate) outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// Returns whether `pod` would recognize and discard a repetition of this attempt if the
    /// attempt was executed.
    pub(crate) fn is_deduplicated_by(&self, pod: &Endpoint, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == pod.zone,
            DeduplicationScope::Cell => self.cell == pod.cell,
        }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// The load balancer's record of an open request.
pub(crate) struct OpenRequest {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    /// The pod of the latest attempt.
    pub(crate) last_pod: Option<PodId>,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) attempts_in_flight: u32,
    /// The pods at which an attempt ended.
    pub(crate) tried_pods: Vec<PodId>,
    /// Whether further attempts avoid the build on trial.
    pub(crate) avoids_trial: bool,
}

impl OpenRequest {
    pub(crate) fn new(request: &Request, arrived_at: Duration) -> Self {
        Self {
            class: request.class,
            tenant: request.tenant,
            last_pod: None,
            arrived_at,
            deadline: request.deadline,
            attempts_in_flight: 0,
            tried_pods: Vec::new(),
            avoids_trial: false,
        }
    }
}
