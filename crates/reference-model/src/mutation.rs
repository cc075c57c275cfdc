//! Mutations that change the engine's actions to violate one rule each. The model has to detect every one of them.

use limewing_decision::interface::{
    Action, ClassId, DeduplicationScope, Endpoint, EndpointUpdate, Event, Idempotency, PodId,
    PodState, RequestId, RoutingKey, SidecarConfig,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pod younger than this counts as cold for [`Mutation::FloodsColdPods`].
const COLD_DURATION: Duration = Duration::from_secs(3);
/// [`Mutation::ExceedsCap`] applies to one in this many turns.
const CAP_TURN_INTERVAL: u64 = 2;
/// [`Mutation::IgnoresGuardedStages`] applies to one in this many turns. At a higher rate the cap would be exceeded
/// first.
const GUARDED_TURN_INTERVAL: u64 = 20;
/// [`Mutation::IgnoresStickyKeys`] applies to one in this many requests.
const KEY_REQUEST_INTERVAL: u64 = 2;
/// An upper bound of pod IDs, which are assigned sequentially from 1.
const MAX_PODS: u64 = 1000;

/// A deliberate fault in the behaviour of the sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No fault.
    None,
    /// Drops final answers. Violates rule 1.
    DropsAnswers,
    /// Answers a request twice. Violates rule 1.
    AnswersTwice,
    /// Starts an attempt after the answer. Violates rule 1.
    StartsAfterAnswer,
    /// Sends non-idempotent requests to two pods. Violates rule 2.
    RepeatsNonIdempotent,
    /// Rejects requests that may have run. Violates rule 2.
    RejectsAll,
    /// Repeats a keyed request at a pod that does not share its deduplication state. Violates rule 2.
    LeavesDeduplicationScope,
    /// Sends to pods that were removed from the endpoint list. Violates rule 3.
    UsesRemovedPods,
    /// Sends all requests to the most recently started pod. Violates rule 4.
    FloodsColdPods,
    /// Sends most requests to the newest build. Violates rule 5.
    ExceedsCap,
    /// Sends non-idempotent requests to the newest build. Violates rule 5.
    IgnoresGuardedStages,
    /// Sends requests with a routing key to the oldest build. Violates rule 5.
    IgnoresStickyKeys,
    /// Sends each idempotent request twice. Violates the retry budget.
    DoublesAttempts,
    /// Never calls the list service again. Violates rule 3.
    NeverWatches,
    /// Sends an attempt without asking the engine whether it may begin. Violates rule 3.
    SkipsSendPermit,
    /// Asks the engine only on the first connection of an attempt. Violates rule 3.
    SkipsSendPermitOnReconnect,
    /// Keeps using the endpoint list after its lease has expired. Violates rule 3.
    IgnoresEndpointLease,
    /// Takes the list from before its start for the present one. Violates rule 3.
    TrustsCachedList,
}

/// The state of the sidecar whose actions are mutated.
pub(crate) struct MutationContext<'a> {
    /// The number of turns of all sidecars so far.
    pub(crate) turn: u64,
    pub(crate) now: Duration,
    pub(crate) config: &'a SidecarConfig,
    /// The sidecar's endpoint list without pods that are gone.
    pub(crate) endpoints: &'a [Endpoint],
    pub(crate) requests: &'a BTreeMap<RequestId, RequestKind>,
}

/// The properties of a request that mutations depend on.
#[derive(Clone, Copy)]
pub(crate) struct RequestKind {
    pub(crate) class: ClassId,
    pub(crate) routing_key: Option<RoutingKey>,
}

impl Mutation {
    /// Returns the events that the engine receives.
    pub(crate) fn mutate_events(self, events: Vec<Event>) -> Vec<Event> {
        if self != Self::TrustsCachedList {
            return events;
        }
        let trust = |event| match event {
            Event::Endpoints(EndpointUpdate::Cached(list)) => {
                Event::Endpoints(EndpointUpdate::Snapshot(list))
            }
            other => other,
        };
        events.into_iter().map(trust).collect()
    }

    /// Whether the host asks the engine before it sends the first byte of an attempt, given the number of broken
    /// connections.
    pub(crate) fn requests_send_permit(self, broken_connections: u8) -> bool {
        match self {
            Mutation::SkipsSendPermit => false,
            Mutation::SkipsSendPermitOnReconnect => broken_connections == 0,
            _ => true,
        }
    }

    /// Returns the actions that replace those of the engine.
    pub(crate) fn apply(self, actions: Vec<Action>, context: &MutationContext<'_>) -> Vec<Action> {
        actions
            .into_iter()
            .flat_map(|action| match &action {
                Action::StartAttempt { request, pod, .. } => {
                    let (request, pod) = (*request, *pod);
                    self.change_attempt(action, request, pod, context)
                }
                Action::Reject { request, .. } => {
                    let request = *request;
                    self.change_rejection(action, request, context)
                }
                Action::Fail { request } => self.change_failure(*request),
                Action::WatchEndpoints if self == Mutation::NeverWatches => Vec::new(),
                _ => vec![action],
            })
            .collect()
    }

    fn change_rejection(
        self,
        action: Action,
        request: RequestId,
        context: &MutationContext<'_>,
    ) -> Vec<Action> {
        match self {
            Mutation::DropsAnswers => Vec::new(),
            Mutation::AnswersTwice => vec![Action::Fail { request }, action],
            Mutation::StartsAfterAnswer => {
                let first = context.ready_endpoints().next();
                with_attempt(action, request, first)
            }
            _ => vec![action],
        }
    }

    fn change_failure(self, request: RequestId) -> Vec<Action> {
        match self {
            Mutation::DropsAnswers => Vec::new(),
            Mutation::RejectsAll => vec![Action::Reject {
                request,
                retry_after: Duration::ZERO,
            }],
            _ => vec![Action::Fail { request }],
        }
    }

    fn change_attempt(
        self,
        action: Action,
        request: RequestId,
        pod: PodId,
        context: &MutationContext<'_>,
    ) -> Vec<Action> {
        let idempotency = context.idempotency(request);
        let is_idempotent = idempotency == Some(Idempotency::Idempotent);
        let is_non_idempotent = idempotency == Some(Idempotency::NonIdempotent);
        match self {
            Mutation::RepeatsNonIdempotent if is_non_idempotent => {
                let other = context
                    .ready_endpoints()
                    .find(|endpoint| endpoint.pod != pod);
                let mut actions: Vec<Action> = attempt_at(request, other).into_iter().collect();
                actions.push(action);
                actions
            }
            Mutation::LeavesDeduplicationScope => {
                with_attempt(action, request, context.outside_scope(request, pod))
            }
            Mutation::UsesRemovedPods => match context.removed_pod() {
                Some(removed) => vec![start_attempt(request, removed)],
                None => vec![action],
            },
            Mutation::FloodsColdPods => match context.youngest_cold_pod() {
                Some(cold) => vec![start_attempt(request, cold)],
                None => vec![action],
            },
            Mutation::ExceedsCap
                if context.turn.is_multiple_of(CAP_TURN_INTERVAL) && !is_non_idempotent =>
            {
                attempt_at(request, context.newest_build())
                    .into_iter()
                    .collect()
            }
            Mutation::IgnoresGuardedStages
                if context.turn.is_multiple_of(GUARDED_TURN_INTERVAL) && is_non_idempotent =>
            {
                attempt_at(request, context.newest_build())
                    .into_iter()
                    .collect()
            }
            Mutation::IgnoresStickyKeys
                if request.0.is_multiple_of(KEY_REQUEST_INTERVAL)
                    && is_idempotent
                    && context.has_routing_key(request) =>
            {
                attempt_at(request, context.oldest_build())
                    .into_iter()
                    .collect()
            }
            Mutation::DoublesAttempts if is_idempotent => vec![action.clone(), action],
            _ => vec![action],
        }
    }
}

impl MutationContext<'_> {
    fn idempotency(&self, request: RequestId) -> Option<Idempotency> {
        let kind = self.requests.get(&request)?;
        Some(self.config.classes[usize::from(kind.class.0)].idempotency)
    }

    fn has_routing_key(&self, request: RequestId) -> bool {
        self.requests
            .get(&request)
            .is_some_and(|kind| kind.routing_key.is_some())
    }

    fn ready_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.state == PodState::Ready)
    }

    fn newest_build(&self) -> Option<&Endpoint> {
        self.ready_endpoints().max_by_key(|endpoint| endpoint.build)
    }

    fn oldest_build(&self) -> Option<&Endpoint> {
        self.ready_endpoints().min_by_key(|endpoint| endpoint.build)
    }

    /// A ready pod that does not share deduplication state with the chosen pod.
    fn outside_scope(&self, request: RequestId, chosen: PodId) -> Option<&Endpoint> {
        let chosen = self
            .endpoints
            .iter()
            .find(|endpoint| endpoint.pod == chosen)?;
        let scope = match self.idempotency(request) {
            Some(Idempotency::Keyed {
                deduplicated_by, ..
            }) if self.config.hedging => deduplicated_by,
            _ => DeduplicationScope::All,
        };
        self.ready_endpoints().find(|endpoint| match scope {
            DeduplicationScope::All => false,
            DeduplicationScope::Zone => endpoint.zone != chosen.zone,
            DeduplicationScope::Cell => endpoint.cell != chosen.cell,
        })
    }

    /// The lowest pod ID that is not listed although a higher one is.
    fn removed_pod(&self) -> Option<PodId> {
        let unlisted = (1..MAX_PODS)
            .map(PodId)
            .find(|pod| self.endpoints.iter().all(|endpoint| endpoint.pod != *pod))?;
        let is_later_listed = self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.pod > unlisted);
        is_later_listed.then_some(unlisted)
    }

    /// The most recently started cold pod of the oldest build. With a newer build the cap would be exceeded first.
    fn youngest_cold_pod(&self) -> Option<PodId> {
        let base_build = self.oldest_build()?.build;
        self.ready_endpoints()
            .filter(|endpoint| endpoint.build == base_build)
            .filter(|endpoint| {
                endpoint
                    .started_at
                    .is_some_and(|started_at| self.now < started_at + COLD_DURATION)
            })
            .max_by_key(|endpoint| endpoint.started_at)
            .map(|endpoint| endpoint.pod)
    }
}

fn start_attempt(request: RequestId, pod: PodId) -> Action {
    Action::StartAttempt {
        request,
        pod,
        timeout: Duration::ZERO,
    }
}

fn attempt_at(request: RequestId, endpoint: Option<&Endpoint>) -> Option<Action> {
    endpoint.map(|endpoint| start_attempt(request, endpoint.pod))
}

/// Appends an attempt at the endpoint, if there is one, to an action.
fn with_attempt(action: Action, request: RequestId, endpoint: Option<&Endpoint>) -> Vec<Action> {
    let mut actions = vec![action];
    actions.extend(attempt_at(request, endpoint));
    actions
}
