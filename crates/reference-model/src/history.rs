//! What the model remembers: all that a sidecar was told and did. Nothing is summed up or forgotten, so that each question
//! is answered by going through it.

use limewing_decision::interface::{
    AttemptOutcome, BuildId, ClassId, Endpoint, EndpointUpdate, PodId, PodState, Request,
    RequestId, SidecarConfig, StageUpdate,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// One attempt.
pub(crate) struct AttemptHistory {
    /// The pod as the sidecar's list had it at the decision.
    pub(crate) endpoint: Endpoint,
    pub(crate) decided_at: Duration,
    /// What spoke for the pod, if the lease of the endpoint list had expired by then.
    pub(crate) expired_lease: Option<ExpiredLease>,
    pub(crate) outcome: Option<AttemptOutcome>,
    /// The turn in which the sidecar was notified of the outcome; 0 before.
    pub(crate) outcome_turn: usize,
}

/// What spoke for the pod of a decision made after the lease of the endpoint list had expired.
#[derive(Clone, Copy)]
pub(crate) struct ExpiredLease {
    /// The pod itself had served a request sent within the lease.
    pub(crate) served: bool,
    /// Another pod of its build that had, and could have taken the attempt.
    pub(crate) better: Option<PodId>,
}

/// One request.
pub(crate) struct RequestHistory {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<AttemptHistory>,
    /// Until when it must be answered: its deadline, or later if the sidecar did not run then.
    pub(crate) answer_due: Duration,
    /// The turn in which the sidecar answered it itself.
    pub(crate) answered_turn: Option<usize>,
    /// The turn in which the sidecar was notified that the request is over.
    pub(crate) over_turn: Option<usize>,
    /// The turn in which the sidecar was notified that its response streams.
    pub(crate) stream_turn: Option<usize>,
}

/// A row of the endpoint list, as a sidecar learned it.
pub(crate) struct EndpointRecord {
    pub(crate) learned_at: Duration,
    pub(crate) endpoint: Endpoint,
}

/// A state of the rollout, as a sidecar learned it.
pub(crate) struct StageRecord {
    pub(crate) learned_at: Duration,
    pub(crate) update: StageUpdate,
}

/// A request that arrived, for counting.
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) class: ClassId,
}

/// An attempt that was decided on, for counting.
pub(crate) struct AttemptStart {
    pub(crate) at: Duration,
    pub(crate) build: BuildId,
    pub(crate) class: ClassId,
}

/// One incarnation of a sidecar.
pub(crate) struct SidecarHistory {
    pub(crate) config: SidecarConfig,
    /// How often it was given events.
    pub(crate) turn: usize,
    pub(crate) requests: BTreeMap<RequestId, RequestHistory>,
    /// All that it learned of each pod, oldest first.
    pub(crate) endpoints: BTreeMap<PodId, Vec<EndpointRecord>>,
    pub(crate) stages: Vec<StageRecord>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) attempt_starts: Vec<AttemptStart>,
    /// When anything was last heard of the endpoint list.
    pub(crate) list_heard_at: Duration,
    /// When it last asked for the list.
    pub(crate) list_asked_at: Duration,
    /// That call failed.
    pub(crate) list_call_failed: bool,
    /// It watches the list.
    pub(crate) is_watching: bool,
}

/// A start of a pod, and the attempts at it since.
pub(crate) struct PodStart {
    pub(crate) at: Duration,
    /// Requests a second that it can serve when warm.
    pub(crate) capacity: f64,
    pub(crate) attempts: Vec<AttemptAtPod>,
}

/// An attempt at a pod, by any sidecar.
pub(crate) struct AttemptAtPod {
    pub(crate) at: Duration,
    /// The sidecar knew of this start of the pod.
    pub(crate) was_informed: bool,
}

/// The endpoint list as the list service holds it.
#[derive(Default)]
pub(crate) struct TrueList {
    versions: Vec<ListVersion>,
}

struct ListVersion {
    since: Duration,
    endpoints: Vec<Endpoint>,
}

/// A decision to start an attempt, before it is recorded.
pub(crate) struct ProposedAttempt<'a> {
    pub(crate) sidecar: &'a SidecarHistory,
    pub(crate) request: &'a RequestHistory,
    /// The pod as the sidecar's list has it.
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) now: Duration,
}

impl AttemptHistory {
    /// Whether the pod may have run the request: its outcome does not prove otherwise.
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
            answer_due: request.deadline.max(now),
            request,
            attempts: Vec::new(),
            answered_turn: None,
            over_turn: None,
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
            list_heard_at: now,
            list_asked_at: now,
            list_call_failed: false,
            is_watching: false,
        }
    }

    /// What it last learned of a pod.
    pub(crate) fn endpoint(&self, pod: PodId) -> Option<&Endpoint> {
        let latest = self.endpoints.get(&pod)?.last()?;
        Some(&latest.endpoint)
    }

    /// What it last learned of each pod.
    pub(crate) fn latest_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter_map(|records| records.last())
            .map(|record| &record.endpoint)
    }

    /// Whether it has known for longer than the grace that a pod drains or is gone.
    pub(crate) fn knows_past_grace(&self, pod: PodId, now: Duration) -> bool {
        self.known_to_drain_since(pod)
            .is_some_and(|since| now > since + self.config.safety.drain_grace)
    }

    fn known_to_drain_since(&self, pod: PodId) -> Option<Duration> {
        let records = self.endpoints.get(&pod)?;
        let first_not_ready = records
            .iter()
            .rev()
            .take_while(|record| record.endpoint.state != PodState::Ready)
            .last()?;
        Some(first_not_ready.learned_at)
    }

    /// Records news of the endpoint list.
    pub(crate) fn record_list(&mut self, now: Duration, update: &EndpointUpdate) {
        let changed = match update {
            EndpointUpdate::WatchLost(_) => return self.record_watch_lost(now),
            EndpointUpdate::Delta(changed) => changed.clone(),
            EndpointUpdate::Snapshot(all) | EndpointUpdate::Cached(all) => {
                let mut changed = self.missing_from(all);
                changed.extend(all.iter().cloned());
                changed
            }
        };
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.list_heard_at = now;
            self.list_call_failed = false;
            self.is_watching = true;
        }
        for endpoint in changed {
            let records = self.endpoints.entry(endpoint.pod).or_default();
            records.push(EndpointRecord {
                learned_at: now,
                endpoint,
            });
        }
    }

    fn record_watch_lost(&mut self, now: Duration) {
        // What a watch would have told until now is known.
        if self.is_watching {
            self.list_asked_at = now;
        }
        self.is_watching = false;
        self.list_call_failed = true;
    }

    /// The known pods that a complete list leaves out, as gone.
    fn missing_from(&self, all: &[Endpoint]) -> Vec<Endpoint> {
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

impl TrueList {
    pub(crate) fn record(&mut self, since: Duration, endpoints: Vec<Endpoint>) {
        self.versions.push(ListVersion { since, endpoints });
    }

    /// The list at that time, and since when it was so.
    pub(crate) fn at(&self, time: Duration) -> Option<(Duration, &[Endpoint])> {
        self.versions
            .iter()
            .rev()
            .find(|version| version.since <= time)
            .map(|version| (version.since, &version.endpoints[..]))
    }

    /// Since when a pod drains or is gone.
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
