//! Coordinates with other sidecars which pods to use and to health-check (`limewing_coordination`). This module
//! observes the events of the decision engine, exchanges load reports through membership, and passes the resulting view
//! to the decision engine.

use super::view::EndpointSelectionView;
use limewing_coordination::{
    stable_key, Coordinator, LoadReport, OutlierObservation, Pod, Service,
};
use limewing_decision::interface::{
    AttemptOutcome, AttemptResult, Endpoint, EndpointUpdate, Event, FleetView, PodId, PodState,
};
use limewing_membership::Membership;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A ready pod and its fleet-wide key.
struct KnownPod {
    endpoint: Endpoint,
    /// Derived from the pod's address, so it is the same on all sidecars.
    key: u64,
}

/// The coordinator, which identifies pods by key, and the pods with these keys.
pub(super) struct EndpointCoordination {
    coordinator: Coordinator,
    pods: BTreeMap<PodId, KnownPod>,
    /// Whether `pods` changed since they were last passed to the coordinator.
    pods_changed: bool,
    view: Option<FleetView>,
}

impl EndpointCoordination {
    /// Creates the coordination of the named sidecar in its zone.
    pub(super) fn new(now: Duration, name: &str, zone: u16) -> Self {
        Self {
            coordinator: Coordinator::new(now, stable_key(name), zone),
            pods: BTreeMap::new(),
            pods_changed: false,
            view: None,
        }
    }

    /// When [`Self::update`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.coordinator.next_deadline()
    }

    /// Records whether a control service answered its last poll, or whether its watch is established.
    pub(super) fn record_poll(&mut self, now: Duration, service: Service, answered: bool) {
        if answered {
            self.coordinator.record_poll_success(service);
        } else {
            self.coordinator.record_poll_failure(now, service);
        }
    }

    /// When this sidecar may poll a service: `now`, or a later time at which to call this method again.
    pub(super) fn next_poll(&self, now: Duration, service: Service) -> Duration {
        self.coordinator.next_poll(now, service)
    }

    /// Observes an event for the decision engine. `address` returns a pod's address.
    pub(super) fn observe_event(
        &mut self,
        now: Duration,
        event: &Event,
        address: &impl Fn(PodId) -> Option<SocketAddr>,
    ) {
        match event {
            Event::RequestArrived(_) => self.coordinator.record_request(),
            Event::AttemptFinished(result) => self.attempt_finished(now, result),
            Event::Endpoints(update) => self.endpoints_updated(update, address),
            _ => {}
        }
    }

    fn attempt_finished(&mut self, now: Duration, result: &AttemptResult) {
        let Some(observation) = observation_of(result) else {
            return;
        };
        if let Some(pod) = self.pods.get(&result.pod) {
            self.coordinator.record_outcome(now, pod.key, observation);
        }
    }

    fn endpoints_updated(
        &mut self,
        update: &EndpointUpdate,
        address: &impl Fn(PodId) -> Option<SocketAddr>,
    ) {
        let endpoints = match update {
            EndpointUpdate::Snapshot(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.pods.clear();
                self.pods_changed = true;
                endpoints
            }
            EndpointUpdate::Delta(endpoints) | EndpointUpdate::FormerDelta(endpoints) => endpoints,
            EndpointUpdate::WatchLost(_) => return,
        };
        for endpoint in endpoints {
            self.endpoint_updated(endpoint, address(endpoint.pod));
            self.pods_changed = true;
        }
    }

    fn endpoint_updated(&mut self, endpoint: &Endpoint, address: Option<SocketAddr>) {
        match address {
            Some(address) if endpoint.state == PodState::Ready => {
                let pod = KnownPod {
                    endpoint: endpoint.clone(),
                    key: stable_key(&address.to_string()),
                };
                self.pods.insert(endpoint.pod, pod);
            }
            _ => {
                self.pods.remove(&endpoint.pod);
            }
        }
    }

    /// Publishes the load report if it is due. Returns the view for the decision engine if it changed; `Some(None)`
    /// means that no other sidecar is known any more.
    pub(super) fn update(
        &mut self,
        now: Duration,
        membership: &mut Membership,
    ) -> Option<Option<FleetView>> {
        if now < self.coordinator.next_deadline() {
            return None;
        }
        if std::mem::take(&mut self.pods_changed) {
            let pods = self.pods.values().map(|pod| Pod {
                key: pod.key,
                zone: pod.endpoint.zone.0,
                capacity: pod.endpoint.weight,
            });
            self.coordinator.set_pods(pods.collect());
        }
        if let Some(report) = self.coordinator.take_report(now) {
            membership.publish(now, report.encode());
        }
        let peers = membership.active_members().map(|member| {
            let name = &member.update.name;
            let published = membership.published_by(name);
            let report = published
                .and_then(|(bytes, at)| LoadReport::decode(bytes).ok().map(|report| (report, at)));
            (stable_key(&name.to_string()), report)
        });
        self.coordinator.set_peers(peers);
        let view = self.coordinator.take_view(now)?;
        self.view = view.map(|view| self.to_fleet_view(&view));
        self.log_view();
        Some(self.view.clone())
    }

    fn to_fleet_view(&self, view: &limewing_coordination::FleetView) -> FleetView {
        let pods_by_key: BTreeMap<u64, PodId> =
            self.pods.iter().map(|(id, pod)| (pod.key, *id)).collect();
        let to_pod = |key: &u64| pods_by_key.get(key).copied();
        FleetView {
            preference: view.preference.iter().filter_map(to_pod).collect(),
            min_endpoints: view.min_endpoints,
            probed_by_peers: view.probed_by_peers.iter().filter_map(to_pod).collect(),
        }
    }

    fn log_view(&self) {
        let view = self.view.as_ref();
        let min_endpoints = view.map_or(0, |view| view.min_endpoints);
        let probed_by_peers = view.map_or(0, |view| view.probed_by_peers.len());
        tracing::info!(
            min_endpoints,
            probed_by_peers,
            "endpoint selection of the fleet changed"
        );
    }

    /// Returns the selection for `GET /limewing/fleet`. `address` returns a pod's address.
    pub(super) fn selection(
        &self,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<EndpointSelectionView> {
        let view = self.view.as_ref()?;
        let to_text = |pod: &PodId| address(*pod).map(|address| address.to_string());
        let used = view.preference.iter().take(view.min_endpoints);
        Some(EndpointSelectionView {
            used: used.filter_map(to_text).collect(),
            probed_by_peers: view.probed_by_peers.iter().filter_map(to_text).collect(),
        })
    }
}

/// Returns what the result of an attempt reveals about its pod, or `None` if it reveals nothing.
fn observation_of(result: &AttemptResult) -> Option<OutlierObservation> {
    let seconds = result.duration.as_secs_f64();
    match result.outcome {
        AttemptOutcome::Succeeded | AttemptOutcome::Failed => {
            Some(OutlierObservation::Answered(seconds))
        }
        AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset => {
            Some(OutlierObservation::NoResponse)
        }
        AttemptOutcome::ConnectFailed => Some(OutlierObservation::ConnectFailed),
        AttemptOutcome::Rejected => Some(OutlierObservation::Rejected),
        AttemptOutcome::Cancelled => Some(OutlierObservation::Cancelled(seconds)),
        AttemptOutcome::NeverSent => None,
    }
}
