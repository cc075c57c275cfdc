//! Records of pods kept by admission control and the endpoint tracker.

use crate::derived_config::DerivedConfig;
use crate::interface::{BuildId, Endpoint, PodId, PodState};
use crate::statistics::SlidingWindow;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Admission control's record of a pod.
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    /// When this sidecar was notified that the pod is draining or gone.
    pub(crate) leaving_since: Option<Duration>,
    /// The times of recent attempts sent to the pod.
    pub(crate) attempts: SlidingWindow,
    /// This sidecar's random draw for the fractional part of the pod's attempt budget, from 0 to 1.
    /// It is drawn again on each endpoint update for the pod.
    pub(crate) fractional_allowance: f64,
}

impl EndpointState {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.clone(),
            leaving_since: None,
            attempts: SlidingWindow::default(),
            fractional_allowance: 0.0,
        }
    }

    fn update(&mut self, endpoint: Endpoint, now: Duration, fractional_allowance: f64) {
        if endpoint.started_at != self.endpoint.started_at {
            self.attempts.clear();
        }
        self.fractional_allowance = fractional_allowance;
        self.leaving_since = match endpoint.state {
            PodState::Ready => None,
            PodState::Draining | PodState::Gone => self.leaving_since.or(Some(now)),
        };
        self.endpoint = endpoint;
    }

    /// Returns whether the drain grace period of a draining or gone pod is over.
    pub(crate) fn is_past_grace(&self, now: Duration, grace: Duration) -> bool {
        self.leaving_since
            .is_some_and(|notified_at| now >= notified_at + grace)
    }
}

/// Admission control's records of all pods, with cached values derived from them.
#[derive(Default)]
pub(crate) struct EndpointStates {
    states: BTreeMap<PodId, EndpointState>,
    /// The cached result of `lowest_build`.
    lowest_build: Cell<Option<Option<BuildId>>>,
    /// The cached result of `ready_capacity` and the time it was computed for.
    ready_capacity: Cell<Option<(Duration, f64)>>,
}

impl EndpointStates {
    pub(crate) fn get(&self, pod: PodId) -> Option<&EndpointState> {
        self.states.get(&pod)
    }

    pub(crate) fn get_mut(&mut self, pod: PodId) -> Option<&mut EndpointState> {
        self.states.get_mut(&pod)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &EndpointState> {
        self.states.values()
    }

    pub(crate) fn remove(&mut self, pod: PodId) {
        self.states.remove(&pod);
    }

    pub(crate) fn update(&mut self, endpoint: Endpoint, now: Duration, fractional_allowance: f64) {
        let state = self
            .states
            .entry(endpoint.pod)
            .or_insert_with(|| EndpointState::new(&endpoint));
        state.update(endpoint, now, fractional_allowance);
        self.lowest_build.set(None);
        self.ready_capacity.set(None);
    }

    /// Returns the lowest build running on a pod that is neither draining nor gone. The result is
    /// cached until the list changes.
    pub(crate) fn lowest_build(&self) -> Option<BuildId> {
        let compute = || {
            self.states
                .values()
                .filter(|state| state.leaving_since.is_none())
                .map(|state| state.endpoint.build)
                .min()
        };
        let lowest = self.lowest_build.get().unwrap_or_else(compute);
        self.lowest_build.set(Some(lowest));
        lowest
    }

    /// Returns the combined capacity of all ready pods. The result is cached for calls with the
    /// same time.
    pub(crate) fn ready_capacity(&self, now: Duration, config: &DerivedConfig) -> f64 {
        if let Some((_, cached)) = self.ready_capacity.get().filter(|(at, _)| *at == now) {
            return cached;
        }
        let capacity = self
            .states
            .values()
            .map(|state| &state.endpoint)
            .filter(|endpoint| endpoint.state == PodState::Ready)
            .map(|endpoint| endpoint.weight * config.capacity_factor(endpoint.started_at, now))
            .sum();
        self.ready_capacity.set(Some((now, capacity)));
        capacity
    }
}

/// An entry of the endpoint list.
struct KnownEndpoint {
    endpoint: Endpoint,
    gone_since: Option<Duration>,
}

/// The entries of the endpoint list as last received.
#[derive(Default)]
pub(crate) struct KnownEndpoints(BTreeMap<PodId, KnownEndpoint>);

impl KnownEndpoints {
    /// Stores an entry and returns whether it newly marks its pod as gone.
    pub(crate) fn insert(&mut self, endpoint: &Endpoint, now: Duration) -> bool {
        let before = self.gone_since(endpoint.pod);
        let gone_since = (endpoint.state == PodState::Gone).then(|| before.unwrap_or(now));
        let known = KnownEndpoint {
            endpoint: endpoint.clone(),
            gone_since,
        };
        self.0.insert(endpoint.pod, known);
        gone_since.is_some() && before.is_none()
    }

    /// Removes a pod that has been gone since `since` or longer, and returns whether it did.
    pub(crate) fn remove_if_gone_since(&mut self, pod: PodId, since: Duration) -> bool {
        let is_due = self
            .gone_since(pod)
            .is_some_and(|gone_since| gone_since <= since);
        if is_due {
            self.0.remove(&pod);
        }
        is_due
    }

    /// Returns the known entries that are absent from a complete list, marked as gone.
    pub(crate) fn missing_from(&self, list: &[Endpoint]) -> Vec<Endpoint> {
        let listed: BTreeSet<PodId> = list.iter().map(|endpoint| endpoint.pod).collect();
        self.0
            .values()
            .filter(|known| !listed.contains(&known.endpoint.pod))
            .map(|known| Endpoint {
                state: PodState::Gone,
                ..known.endpoint.clone()
            })
            .collect()
    }

    fn gone_since(&self, pod: PodId) -> Option<Duration> {
        self.0.get(&pod).and_then(|known| known.gone_since)
    }
}
