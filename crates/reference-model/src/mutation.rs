//! Mutations: each breaks one rule on purpose, between the decisions and the simulation, and the model must catch it.

use limewing_decision::interface::{
    Action, ClassId, DeduplicationScope, Endpoint, Idempotency, PodId, PodState, RequestId,
    RoutingKey, SidecarConfig,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// A pod younger than this counts as cold for [`Mutation::FloodsColdPods`].
const COLD_FOR: Duration = Duration::from_secs(3);
/// One in so many turns exceeds the cap.
const CAP_TURNS: u64 = 2;
/// One in so many turns ignores guarded stages. Rare, or the cap is broken first.
const GUARDED_TURNS: u64 = 20;
/// One in so many requests ignores its routing key.
const KEY_REQUESTS: u64 = 2;
/// Pods are numbered from 1, as they come; runs have fewer than this.
const MAX_PODS: u64 = 1000;

/// How a sidecar misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Not at all.
    None,
    /// Drops final answers. Breaks rule 1.
    DropsAnswers,
    /// Answers twice. Breaks rule 1.
    AnswersTwice,
    /// Starts an attempt after the answer. Breaks rule 1.
    StartsAfterAnswer,
    /// Sends non-idempotent requests to two pods. Breaks rule 2.
    RepeatsNonIdempotent,
    /// Rejects what may have run. Breaks rule 2.
    RejectsAll,
    /// Repeats a keyed request at a pod that does not know its key. Breaks rule 2.
    LeavesDeduplicationScope,
    /// Sends to pods that have left the list. Breaks rule 3.
    UsesRemovedPods,
    /// Sends everything to the youngest pod. Breaks rule 4.
    FloodsColdPods,
    /// Sends most to the newest build. Breaks rule 5.
    ExceedsCap,
    /// Sends non-idempotent requests to the newest build. Breaks rule 5.
    IgnoresGuardedStages,
    /// Sends keyed requests to the oldest build. Breaks rule 5.
    IgnoresStickyKeys,
    /// Sends each idempotent request twice. Breaks the retry budget.
    DoublesAttempts,
    /// Never asks for the endpoint list again. Breaks rule 3.
    NeverWatches,
    /// Writes an attempt without asking whether it may begin. Breaks rule 3.
    SkipsPermission,
    /// Asks on the first connection of an attempt alone. Breaks rule 3.
    SkipsPermissionOnRedial,
    /// Relies without end on a list of which nothing is heard. Breaks rule 3.
    IgnoresEndpointLease,
}

/// What a mutation knows of the sidecar whose actions it changes.
pub(crate) struct MutationContext<'a> {
    /// Counts the turns of all sidecars.
    pub(crate) turn: u64,
    pub(crate) now: Duration,
    pub(crate) config: &'a SidecarConfig,
    /// The endpoint list as the sidecar has it, without pods that are gone.
    pub(crate) endpoints: &'a [Endpoint],
    pub(crate) requests: &'a BTreeMap<RequestId, RequestKind>,
}

/// What a mutation knows of a request.
#[derive(Clone, Copy)]
pub(crate) struct RequestKind {
    pub(crate) class: ClassId,
    pub(crate) routing_key: Option<RoutingKey>,
}

impl Mutation {
    /// Whether the host asks before the first byte of an attempt, on a connection after so many that broke.
    pub(crate) fn asks_before_first_byte(self, broken_connections: u8) -> bool {
        match self {
            Mutation::SkipsPermission => false,
            Mutation::SkipsPermissionOnRedial => broken_connections == 0,
            _ => true,
        }
    }

    /// The actions that the sidecar carries out in place of its own.
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
                if context.turn.is_multiple_of(CAP_TURNS) && !is_non_idempotent =>
            {
                attempt_at(request, context.newest_build())
                    .into_iter()
                    .collect()
            }
            Mutation::IgnoresGuardedStages
                if context.turn.is_multiple_of(GUARDED_TURNS) && is_non_idempotent =>
            {
                attempt_at(request, context.newest_build())
                    .into_iter()
                    .collect()
            }
            Mutation::IgnoresStickyKeys
                if request.0.is_multiple_of(KEY_REQUESTS)
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

    /// A ready pod that does not share the memory of idempotency keys with the chosen one.
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

    /// The first pod that is no longer listed, though a later one is.
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

    /// The youngest cold pod of the oldest build: with a newer one the cap would be broken first.
    fn youngest_cold_pod(&self) -> Option<PodId> {
        let base_build = self.oldest_build()?.build;
        self.ready_endpoints()
            .filter(|endpoint| endpoint.build == base_build)
            .filter(|endpoint| {
                endpoint
                    .started_at
                    .is_some_and(|started_at| self.now < started_at + COLD_FOR)
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

/// An action, followed by an attempt at a pod if there is one.
fn with_attempt(action: Action, request: RequestId, endpoint: Option<&Endpoint>) -> Vec<Action> {
    let mut actions = vec![action];
    actions.extend(attempt_at(request, endpoint));
    actions
}
