//! The emulated list service: a log of changes, and watches that deliver them late, in batches or not at all.

use super::event::{DiscoveryState, SidecarRef, SimulationEvent};
use super::sidecars::by_pod;
use super::Simulation;
use limewing_decision::interface::{
    Endpoint, EndpointUpdate, Event, PodId, PodState, WatchLoss, WatchLossCause,
};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The timeout of a silent watch, and of a call without a response.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// The state of the list service.
pub(super) struct Discovery {
    state: DiscoveryState,
    /// The extra delay of list updates.
    pub(super) delay: Duration,
    log: Vec<ListChange>,
}

struct ListChange {
    at: Duration,
    endpoints: Vec<Endpoint>,
}

impl Discovery {
    pub(super) fn new() -> Self {
        Self {
            state: DiscoveryState::Answers,
            delay: Duration::ZERO,
            log: Vec::new(),
        }
    }

    pub(super) fn record(&mut self, at: Duration, endpoints: Vec<Endpoint>) {
        self.log.push(ListChange { at, endpoints });
    }

    pub(super) fn latest_list(&self) -> Vec<Endpoint> {
        self.list_at(self.log.len())
    }

    /// Returns the list after the first `position` changes.
    fn list_at(&self, position: usize) -> Vec<Endpoint> {
        let mut latest: BTreeMap<PodId, &Endpoint> = BTreeMap::new();
        for endpoint in self.log[..position]
            .iter()
            .flat_map(|change| &change.endpoints)
        {
            latest.insert(endpoint.pod, endpoint);
        }
        latest
            .into_values()
            .filter(|endpoint| endpoint.state != PodState::Gone)
            .cloned()
            .collect()
    }

    /// Returns the changes between two positions of the log.
    fn changes(&self, from: usize, to: usize) -> Vec<Endpoint> {
        self.log[from..to]
            .iter()
            .flat_map(|change| change.endpoints.clone())
            .collect()
    }

    /// Returns the number of changes that are at least as old as `lag`.
    fn position_behind(&self, now: Duration, lag: Duration) -> usize {
        self.log
            .iter()
            .take_while(|change| change.at + lag <= now)
            .count()
    }
}

impl Simulation {
    pub(super) fn list_changes(&mut self, endpoints: Vec<Endpoint>) {
        let current: Vec<Endpoint> = endpoints
            .into_iter()
            .filter(|endpoint| !self.has_restarted_since(endpoint))
            .collect();
        if current.is_empty() {
            return;
        }
        self.discovery.record(self.now, current);
        let list = self.discovery.latest_list();
        self.model.list_changed(self.now, list);
    }

    /// Whether an endpoint that reports a pod as gone is outdated because the pod has restarted.
    fn has_restarted_since(&self, endpoint: &Endpoint) -> bool {
        let running = self
            .pods
            .iter()
            .find(|pod| pod.endpoint.pod == endpoint.pod && pod.is_running);
        endpoint.state == PodState::Gone
            && running.is_some_and(|pod| pod.endpoint.started_at != endpoint.started_at)
    }

    /// Delivers the changes that have arrived by now, over a watch or by push.
    pub(super) fn deliver_list(&mut self, sidecar: usize) {
        let host = &self.sidecars[sidecar];
        let needs_watch = self.config.watch_on_request;
        if !host.is_up() || (needs_watch && !host.is_watching) {
            return;
        }
        if needs_watch && !self.check_watch(sidecar) {
            return;
        }
        let to = self.list_position(sidecar);
        let from = self.sidecars[sidecar].list_position;
        if to <= from {
            return;
        }
        let update = if self.rng.random_bool(0.1) {
            EndpointUpdate::Snapshot(self.discovery.list_at(to))
        } else {
            EndpointUpdate::Delta(self.discovery.changes(from, to))
        };
        self.deliver_update(sidecar, to, update);
    }

    /// Returns the position in the log up to which changes have arrived at a sidecar.
    fn list_position(&self, sidecar: usize) -> usize {
        let host = &self.sidecars[sidecar];
        let lag = host.list_lag + self.discovery.delay;
        self.discovery
            .position_behind(self.now, lag)
            .max(host.list_position)
    }

    /// Returns whether a watch receives data or a keep-alive in this step. A watch past its silence timeout is closed.
    fn check_watch(&mut self, sidecar: usize) -> bool {
        let host = &mut self.sidecars[sidecar];
        let answers = self.discovery.state == DiscoveryState::Answers;
        if answers && !host.is_stalled {
            host.last_list_contact = self.now;
            self.model.list_service_contacted(sidecar, self.now);
        }
        if !answers && self.now >= host.last_list_contact + WATCH_TIMEOUT {
            self.lose_watch(sidecar, WatchLossCause::Ended);
        }
        answers
    }

    /// Notifies the engine that a watch ended or a call failed.
    fn lose_watch(&mut self, sidecar: usize, cause: WatchLossCause) {
        let host = &mut self.sidecars[sidecar];
        host.is_watching = false;
        let loss = WatchLoss {
            cause,
            ..WatchLoss::default()
        };
        host.inbox
            .push(Event::Endpoints(EndpointUpdate::WatchLost(loss)));
    }

    fn deliver_update(&mut self, sidecar: usize, position: usize, update: EndpointUpdate) {
        let list = self.discovery.list_at(position);
        let host = &mut self.sidecars[sidecar];
        host.list_position = position;
        host.endpoints = by_pod(list);
        host.inbox.push(Event::Endpoints(update));
    }

    /// Responds to a call with the missed changes, with a full snapshot, or not at all.
    pub(super) fn answer_watch_call(&mut self, caller: SidecarRef) {
        let sidecar = caller.index;
        if !self.is_current(caller) {
            return;
        }
        match self.discovery.state {
            DiscoveryState::Refuses => return self.lose_watch(sidecar, WatchLossCause::Refused),
            DiscoveryState::Silent => {
                let timeout = SimulationEvent::WatchCallTimesOut(caller);
                return self.schedule_in(WATCH_TIMEOUT, timeout);
            }
            DiscoveryState::Answers => {}
        }
        if self.rng.random_bool(0.15) {
            return self.lose_watch(sidecar, WatchLossCause::Ended);
        }
        self.sidecars[sidecar].is_watching = true;
        let from = self.sidecars[sidecar].list_position;
        let to = self.list_position(sidecar);
        let update = if self.rng.random_bool(0.3) {
            EndpointUpdate::Snapshot(self.discovery.list_at(to))
        } else {
            EndpointUpdate::Delta(self.discovery.changes(from, to))
        };
        self.deliver_update(sidecar, to, update);
    }

    pub(super) fn watch_call_times_out(&mut self, caller: SidecarRef) {
        if self.is_current(caller) {
            self.lose_watch(caller.index, WatchLossCause::Ended);
        }
    }

    pub(super) fn watch_breaks(&mut self, sidecar: usize) {
        if self.sidecars[sidecar].is_up() && self.config.watch_on_request {
            self.lose_watch(sidecar, WatchLossCause::Ended);
        }
    }

    /// Changes the state of the list service. When it starts to refuse calls, it also closes the open watches. When it
    /// becomes silent, sidecars have to detect it by timeout.
    pub(super) fn discovery_changes(&mut self, state: DiscoveryState) {
        self.discovery.state = state;
        if state != DiscoveryState::Refuses {
            return;
        }
        for sidecar in 0..self.sidecars.len() {
            if self.sidecars[sidecar].is_watching {
                self.lose_watch(sidecar, WatchLossCause::Ended);
            }
        }
    }

    fn is_current(&self, sidecar: SidecarRef) -> bool {
        let host = &self.sidecars[sidecar.index];
        host.incarnation == sidecar.incarnation && host.is_up()
    }
}
