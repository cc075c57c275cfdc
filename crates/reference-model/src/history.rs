//! The model's complete history of the events and actions of each sidecar. Nothing is aggregated or evicted, so each
//! check scans the raw records.

use limewing_decision::interface::{
    AttemptOutcome, BuildId, ClassId, Endpoint, EndpointUpdate, PodId, PodState, Request,
    RequestId, SidecarConfig, StageUpdate,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt, from the decision to its outcome.
pub(crate) struct AttemptHistory {
    /// The pod's entry in the sidecar's endpoint list when the attempt was decided.
    pub(crate) endpoint: Endpoint,
    pub(crate) decided_at: Duration,
    /// The evidence for the pod, if the lease of the endpoint list had expired when the attempt was decided.
    pub(crate) expired_lease: Option<ExpiredLeaseEvidence>,
    pub(crate) outcome: Option<AttemptOutcome>,
    /// The turn in which the sidecar was notified of the outcome, or 0 if it has not been notified.
    pub(crate) outcome_turn: usize,
}

/// The evidence for a pod that was chosen after the lease of the endpoint list had expired.
#[derive(Clone, Copy)]
pub(crate) struct ExpiredLeaseEvidence {
    /// The chosen pod served a request sent within the lease.
    pub(crate) served_within_lease: bool,
    /// An eligible pod of the same build that served a request sent within the lease.
    pub(crate) alternative: Option<PodId>,
}

/// A request and its attempts.
pub(crate) struct RequestHistory {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<AttemptHistory>,
    /// The latest time of the answer: the deadline, or the time of resumption if the sidecar was paused at the
    /// deadline.
    pub(crate) answer_deadline: Duration,
    /// The turn in which the sidecar generated the answer.
    pub(crate) answered_turn: Option<usize>,
    /// The turn in which the sidecar was notified that the request had finished.
    pub(crate) finished_turn: Option<usize>,
    /// The turn in which the sidecar was notified that the response had started to stream.
    pub(crate) stream_turn: Option<usize>,
}

/// A version of an endpoint, and when the sidecar received it.
pub(crate) struct EndpointRecord {
    pub(crate) received_at: Duration,
    pub(crate) endpoint: Endpoint,
}

/// A stage update, and when the sidecar received it.
pub(crate) struct StageRecord {
    pub(crate) received_at: Duration,
    pub(crate) update: StageUpdate,
}

/// The arrival of a request, counted against the limits.
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) class: ClassId,
}

/// The decision to start an attempt, counted against the limits.
pub(crate) struct AttemptStart {
    pub(crate) at: Duration,
    pub(crate) build: BuildId,
    pub(crate) class: ClassId,
}

/// The history of one incarnation of a sidecar.
pub(crate) struct SidecarHistory {
    pub(crate) config: SidecarConfig,
    /// The number of event batches delivered to the sidecar.
    pub(crate) turn: usize,
    pub(crate) requests: BTreeMap<RequestId, RequestHistory>,
    /// All versions of each endpoint that the sidecar received, oldest first.
    pub(crate) endpoints: BTreeMap<PodId, Vec<EndpointRecord>>,
    pub(crate) stages: Vec<StageRecord>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) attempt_starts: Vec<AttemptStart>,
    /// When the sidecar last received data or a keep-alive from the list service.
    pub(crate) last_list_contact: Duration,
    /// When the sidecar started, if it has received no list since.
    pub(crate) without_list_since: Option<Duration>,
    /// When the sidecar last called the list service.
    pub(crate) last_list_call: Duration,
    /// The last call to the list service failed.
    pub(crate) list_call_failed: bool,
    /// The sidecar has an open watch on the endpoint list.
    pub(crate) is_watching: bool,
}

/// The latest start of a pod, and the attempts at the pod since.
pub(crate) struct PodStart {
    pub(crate) at: Duration,
    /// Requests per second that the pod can serve after slow start.
    pub(crate) capacity: f64,
    pub(crate) attempts: Vec<AttemptAtPod>,
}

/// An attempt at a pod by any of the sidecars.
pub(crate) struct AttemptAtPod {
    pub(crate) at: Duration,
    /// The sidecar's endpoint list had this start of the pod.
    pub(crate) sidecar_knew_start: bool,
}

/// All versions of the endpoint list in the list service.
#[derive(Default)]
pub(crate) struct AuthoritativeList {
    versions: Vec<ListVersion>,
}

struct ListVersion {
    since: Duration,
    endpoints: Vec<Endpoint>,
}

/// An attempt to be checked against the rules before it is recorded.
pub(crate) struct ProposedAttempt<'a> {
    pub(crate) sidecar: &'a SidecarHistory,
    pub(crate) request: &'a RequestHistory,
    /// The pod's entry in the sidecar's endpoint list.
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) now: Duration,
}

impl AttemptHistory {
    /// Whether the pod may have run the request, i.e. the outcome does not prove that it did not.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(
                AttemptOutcome::Rejected
                    | AttemptOutcome::ConnectFailed
                    | AttemptOutcome::NeverSent
            )
        )
    }
}

impl RequestHistory {
    pub(crate) fn new(request: Request, now: Duration) -> Self {
        Self {
            answer_deadline: request.deadline.max(now),
            request,
            attempts: Vec::new(),
            answered_turn: None,
            finished_turn: None,
            stream_turn: None,
        }
    }

    pub(crate) fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &AttemptHistory> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
    }
}

impl SidecarHistory {
    pub(crate) fn new(config: SidecarConfig, now: Duration) -> Self {
        Self {
            config,
            turn: 0,
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            stages: Vec::new(),
            arrivals: Vec::new(),
            attempt_starts: Vec::new(),
            last_list_contact: now,
            without_list_since: Some(now),
            last_list_call: now,
            list_call_failed: false,
            is_watching: false,
        }
    }

    /// The latest known version of a pod's endpoint.
    pub(crate) fn endpoint(&self, pod: PodId) -> Option<&Endpoint> {
        let latest = self.endpoints.get(&pod)?.last()?;
        Some(&latest.endpoint)
    }

    /// The latest known version of each endpoint.
    pub(crate) fn latest_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter_map(|records| records.last())
            .map(|record| &record.endpoint)
    }

    /// Whether the sidecar has known for longer than the grace period that a pod is draining or gone.
    pub(crate) fn knows_drained_past_grace(&self, pod: PodId, now: Duration) -> bool {
        self.known_draining_since(pod)
            .is_some_and(|since| now > since + self.config.safety.drain_grace)
    }

    fn known_draining_since(&self, pod: PodId) -> Option<Duration> {
        let records = self.endpoints.get(&pod)?;
        let first_not_ready = records
            .iter()
            .rev()
            .take_while(|record| record.endpoint.state != PodState::Ready)
            .last()?;
        Some(first_not_ready.received_at)
    }

    /// Records an update of the endpoint list.
    pub(crate) fn record_list(&mut self, now: Duration, update: &EndpointUpdate) {
        let changed = match update {
            EndpointUpdate::WatchLost(_) => return self.record_watch_lost(now),
            EndpointUpdate::Delta(changed) | EndpointUpdate::FormerDelta(changed) => {
                changed.clone()
            }
            EndpointUpdate::Snapshot(all) | EndpointUpdate::Cached(all) => {
                let mut changed = self.removed_by_snapshot(all);
                changed.extend(all.iter().cloned());
                changed
            }
        };
        if matches!(
            update,
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_)
        ) {
            self.last_list_contact = now;
            self.without_list_since = None;
            self.list_call_failed = false;
            self.is_watching = true;
        }
        for endpoint in changed {
            let records = self.endpoints.entry(endpoint.pod).or_default();
            records.push(EndpointRecord {
                received_at: now,
                endpoint,
            });
        }
    }

    fn record_watch_lost(&mut self, now: Duration) {
        // Until now the watch kept the list current, which counts as a call.
        if self.is_watching {
            self.last_list_call = now;
        }
        self.is_watching = false;
        self.list_call_failed = true;
    }

    /// Known endpoints that a full snapshot omits, with their state set to gone.
    fn removed_by_snapshot(&self, all: &[Endpoint]) -> Vec<Endpoint> {
        self.latest_endpoints()
            .filter(|known| known.state != PodState::Gone)
            .filter(|known| all.iter().all(|endpoint| endpoint.pod != known.pod))
            .map(|known| Endpoint {
                state: PodState::Gone,
                ..known.clone()
            })
            .collect()
    }
}

impl PodStart {
    pub(crate) fn new(at: Duration, capacity: f64) -> Self {
        Self {
            at,
            capacity,
            attempts: Vec::new(),
        }
    }
}

impl AuthoritativeList {
    pub(crate) fn record(&mut self, since: Duration, endpoints: Vec<Endpoint>) {
        self.versions.push(ListVersion { since, endpoints });
    }

    /// The list version in effect at a time, and when it took effect.
    pub(crate) fn at(&self, time: Duration) -> Option<(Duration, &[Endpoint])> {
        self.versions
            .iter()
            .rev()
            .find(|version| version.since <= time)
            .map(|version| (version.since, &version.endpoints[..]))
    }

    /// Since when a pod has been draining or gone.
    pub(crate) fn not_ready_since(&self, pod: PodId) -> Option<Duration> {
        self.versions
            .iter()
            .rev()
            .take_while(|version| !is_ready_in(&version.endpoints, pod))
            .last()
            .map(|version| version.since)
    }
}

fn is_ready_in(endpoints: &[Endpoint], pod: PodId) -> bool {
    endpoints
        .iter()
        .any(|endpoint| endpoint.pod == pod && endpoint.state == PodState::Ready)
}
