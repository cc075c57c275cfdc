//! The decision engine with actions changed to violate a rule.

use crate::mutation::Mutation;
use limewing_decision::interface::{
    Action, AttemptIndex, BuildId, ClassId, Endpoint, EndpointUpdate, Event, Idempotency, Phase,
    PodId, PodState, RequestId, SidecarConfig, StageUpdate,
};
use limewing_decision::DecisionEngine;
use limewing_http_proxy::service::Decisions;
use limewing_proxy_core::send_permit::SendAuthority;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// [`Mutation::DropsRequests`] drops one in this many attempts.
const DROP_INTERVAL: u64 = 40;
/// [`Mutation::RejectsInFlight`] rejects one in this many attempts.
const REJECT_INTERVAL: u64 = 5;
/// [`Mutation::ExceedsCap`] sends one in this many attempts to the build on trial.
const TRIAL_INTERVAL: u64 = 3;
/// The time after the grace period from which [`Mutation::UsesDrainedPods`] uses a draining pod. It exceeds the
/// tolerance of the rule checker.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// A pod younger than this counts as cold for [`Mutation::FloodsColdPods`].
const COLD_DURATION: Duration = Duration::from_secs(2);

/// The decisions of a sidecar that violates a rule.
pub(crate) struct MutatedDecisions {
    engine: DecisionEngine,
    mutation: Mutation,
    drain_grace: Duration,
    /// Whether requests are non-idempotent, by request class.
    is_non_idempotent: Vec<bool>,
    classes: BTreeMap<RequestId, ClassId>,
    endpoints: BTreeMap<PodId, Endpoint>,
    /// When the sidecar was notified that a pod is draining.
    draining_since: BTreeMap<PodId, Duration>,
    stage: Option<StageUpdate>,
    /// Requests with at least one attempt.
    attempted: BTreeSet<RequestId>,
    attempt_count: u64,
}

/// An attempt that the engine decided to start.
#[derive(Clone, Copy)]
struct Attempt {
    request: RequestId,
    pod: PodId,
    timeout: Duration,
}

impl Attempt {
    fn with_pod(self, pod: PodId) -> Self {
        Self { pod, ..self }
    }

    fn into_action(self) -> Action {
        Action::StartAttempt {
            request: self.request,
            pod: self.pod,
            timeout: self.timeout,
        }
    }
}

impl MutatedDecisions {
    pub(crate) fn new(now: Duration, config: SidecarConfig, mutation: Mutation) -> Self {
        let is_non_idempotent = config
            .classes
            .iter()
            .map(|class| class.idempotency == Idempotency::NonIdempotent)
            .collect();
        Self {
            mutation,
            drain_grace: config.safety.drain_grace,
            is_non_idempotent,
            engine: DecisionEngine::new(now, config),
            classes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            stage: None,
            attempted: BTreeSet::new(),
            attempt_count: 0,
        }
    }

    /// Stores the parts of the events that the mutations depend on.
    fn observe(&mut self, now: Duration, events: &[Event]) {
        for event in events {
            match event {
                Event::RequestArrived(request) => {
                    self.classes.insert(request.id, request.class);
                }
                Event::Endpoints(
                    EndpointUpdate::Snapshot(endpoints)
                    | EndpointUpdate::Delta(endpoints)
                    | EndpointUpdate::Cached(endpoints),
                ) => self.observe_endpoints(now, endpoints),
                Event::Stage {
                    update: Some(update),
                    ..
                } => self.stage = Some(*update),
                _ => {}
            }
        }
    }

    fn observe_endpoints(&mut self, now: Duration, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if endpoint.state == PodState::Draining {
                self.draining_since.entry(endpoint.pod).or_insert(now);
            }
            self.endpoints.insert(endpoint.pod, endpoint.clone());
        }
    }

    /// Changes the actions of the engine to violate the rule.
    fn mutate(&mut self, now: Duration, actions: Vec<Action>) -> Vec<Action> {
        let mut mutated = Vec::new();
        for action in actions {
            match action {
                Action::StartAttempt {
                    request,
                    pod,
                    timeout,
                } => {
                    let attempt = Attempt {
                        request,
                        pod,
                        timeout,
                    };
                    mutated.extend(self.mutate_attempt(now, attempt));
                }
                _ => mutated.push(action),
            }
        }
        mutated
    }

    fn mutate_attempt(&mut self, now: Duration, attempt: Attempt) -> Vec<Action> {
        self.attempt_count += 1;
        if self.mutation == Mutation::DropsRequests && self.is_nth_attempt(DROP_INTERVAL) {
            return Vec::new();
        }
        let request = attempt.request;
        let pod = self.replacement_pod(now, request).unwrap_or(attempt.pod);
        let attempt = attempt.with_pod(pod);
        let is_first = self.attempted.insert(request);
        let mut actions = vec![attempt.into_action()];
        match self.mutation {
            Mutation::RepeatsNonIdempotent if is_first && self.is_non_idempotent(request) => {
                let other = self.ready_endpoints().find(|other| other.pod != pod);
                actions.extend(other.map(|other| attempt.with_pod(other.pod).into_action()));
            }
            Mutation::RejectsInFlight
                if self.is_non_idempotent(request) && self.is_nth_attempt(REJECT_INTERVAL) =>
            {
                actions.push(Action::Reject {
                    request,
                    retry_after: Duration::ZERO,
                });
            }
            _ => {}
        }
        actions
    }

    /// Returns the pod that replaces the one chosen by the engine, if any.
    fn replacement_pod(&self, now: Duration, request: RequestId) -> Option<PodId> {
        match self.mutation {
            Mutation::ExceedsCap
                if !self.is_non_idempotent(request) && self.is_nth_attempt(TRIAL_INTERVAL) =>
            {
                self.pod_on_trial()
            }
            Mutation::UsesDrainedPods => self.drained_pod(now),
            Mutation::FloodsColdPods => self.cold_pod(now),
            _ => None,
        }
    }

    fn pod_on_trial(&self) -> Option<PodId> {
        let build = self.build_on_trial()?;
        self.ready_endpoints()
            .find(|endpoint| endpoint.build == build)
            .map(|endpoint| endpoint.pod)
    }

    fn build_on_trial(&self) -> Option<BuildId> {
        self.stage
            .filter(|stage| stage.phase == Phase::OnTrial)
            .map(|stage| stage.build)
    }

    fn drained_pod(&self, now: Duration) -> Option<PodId> {
        self.draining_since
            .iter()
            .find(|(_, since)| now > **since + self.drain_grace + GRACE_MARGIN)
            .map(|(pod, _)| *pod)
    }

    fn cold_pod(&self, now: Duration) -> Option<PodId> {
        self.ready_endpoints()
            .find(|endpoint| {
                endpoint
                    .started_at
                    .is_some_and(|started_at| now < started_at + COLD_DURATION)
            })
            .map(|endpoint| endpoint.pod)
    }

    fn ready_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.state == PodState::Ready)
    }

    fn is_non_idempotent(&self, request: RequestId) -> bool {
        self.classes
            .get(&request)
            .is_some_and(|class| self.is_non_idempotent[usize::from(class.0)])
    }

    fn is_nth_attempt(&self, interval: u64) -> bool {
        self.attempt_count.is_multiple_of(interval)
    }
}

impl SendAuthority for MutatedDecisions {
    fn may_send_first_byte(
        &self,
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        self.mutation.changes_attempts() || self.engine.may_send_first_byte(now, request, attempt)
    }
}

impl Decisions for MutatedDecisions {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.observe(now, &events);
        let actions = self.engine.apply_events(now, events);
        self.mutate(now, actions)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.observe(now, &events);
        let actions = self.engine.handle(now, events);
        self.mutate(now, actions)
    }
}
