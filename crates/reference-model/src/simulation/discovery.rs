//! The list service: a log of changes, and watches that deliver them late, in parts or not at all.

use super::event::{DiscoveryState, SidecarRef, SimulationEvent};
use super::sidecars::by_pod;
use super::Simulation;
use limewing_decision::interface::{
    Endpoint, EndpointUpdate, Event, PodId, PodState, WatchLoss, WatchLossCause,
};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// A watch that says nothing for this long, or a call that has no answer by then, is given up.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// The list service.
pub(super) struct Discovery {
    state: DiscoveryState,
    /// How much later than usual changes arrive.
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

    /// The list after so many changes.
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

    /// What changed between two positions.
    fn changes(&self, from: usize, to: usize) -> Vec<Endpoint> {
        self.log[from..to]
            .iter()
            .flat_map(|change| change.endpoints.clone())
            .collect()
    }

    /// How many changes are at least as old as `lag`.
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

    /// Whether a row that says that a pod is gone comes too late: it runs again.
    fn has_restarted_since(&self, endpoint: &Endpoint) -> bool {
        let running = self
            .pods
            .iter()
            .find(|pod| pod.endpoint.pod == endpoint.pod && pod.is_running);
        endpoint.state == PodState::Gone
            && running.is_some_and(|pod| pod.endpoint.started_at != endpoint.started_at)
    }

    /// Delivers the changes that have arrived by now, over a watch or as they are pushed.
    pub(super) fn deliver_list(&mut self, sidecar: usize) {
        let host = &self.sidecars[sidecar];
        let needs_watch = self.config.watch_on_request;
        if !host.is_up() || (needs_watch && !host.is_watching) {
            return;
        }
        if needs_watch && !self.hears_watch(sidecar) {
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

    /// How much of the log has arrived at a sidecar.
    fn list_position(&self, sidecar: usize) -> usize {
        let host = &self.sidecars[sidecar];
        let lag = host.list_lag + self.discovery.delay;
        self.discovery
            .position_behind(self.now, lag)
            .max(host.list_position)
    }

    /// Whether a watch says anything in this step; one that has been silent for too long is given up.
    fn hears_watch(&mut self, sidecar: usize) -> bool {
        let host = &mut self.sidecars[sidecar];
        let answers = self.discovery.state == DiscoveryState::Answers;
        if answers && !host.is_stalled {
            host.list_heard_at = self.now;
            self.model.list_heard(sidecar, self.now);
        }
        if !answers && self.now >= host.list_heard_at + WATCH_TIMEOUT {
            self.lose_watch(sidecar, WatchLossCause::Ended);
        }
        answers
    }

    /// The host notifies the decisions that a watch or a call was lost.
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

    /// The list service answers a call: with the changes missed, with all of the list, or not at all.
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

    /// A service that refuses closes the watches that are open; one that falls silent leaves that to be found out.
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
