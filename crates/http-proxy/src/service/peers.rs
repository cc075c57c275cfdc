//! What the sidecars of a fleet share, as the event loop uses it: membership, replicated state and maintenance, each only
//! where the settings ask for it.

use super::direct_message;
use super::maintenance::{EndpointContext, Maintenance, MaintenanceRequest, TrafficTimings};
use super::membership::{FleetMembership, LocalMember, ReceivedMessage};
use super::replication::Replication;
use super::{Service, StartError};
use crate::endpoint_list::EndpointRecord;
use crate::stage_updates::StageMessage;
use limewing_coordination::Service as ControlService;
use limewing_decision::interface::{
    AttemptResult, EndpointUpdate, Event, Phase, PodId, RequestId, RoutingKey,
};
use limewing_net::sockets::Sockets;
use limewing_proxy_core::clock::Clock;
use limewing_replication::Refusal;
use limewing_settings::SidecarSettings;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// What this sidecar shares with the others of its fleet.
pub(super) struct Peers {
    membership: Option<FleetMembership>,
    maintenance: Option<Maintenance>,
    replication: Option<Replication>,
    /// Maintenance has received messages since its last turn.
    maintenance_message_received: bool,
}

impl Peers {
    /// Starts what the settings ask for. `max_client_timeout` is the longest that a request may be in flight.
    ///
    /// # Errors
    /// The settings can't be used, or the system refuses the socket or the vote log.
    pub(super) fn start(
        settings: &SidecarSettings,
        now: Duration,
        seed: u64,
        max_client_timeout: Duration,
        sockets: &mut Sockets,
    ) -> Result<Self, StartError> {
        let name = &settings.name;
        let local = LocalMember {
            name,
            zone: settings.start_terms(seed).zone.0,
            seed,
        };
        let membership = match &settings.peers {
            Some(peers) => Some(FleetMembership::start(now, &local, peers, sockets)?),
            None => None,
        };
        let rules = &settings.rules;
        let traffic = TrafficTimings {
            drain_grace: rules.drain_grace.into(),
            longest_request: max_client_timeout,
            warm_up: rules.cold_for.into(),
        };
        let maintenance = match &settings.work {
            Some(work) => {
                let maintenance = Maintenance::start(now, name, work, &traffic, seed);
                Some(maintenance.map_err(StartError::Work)?)
            }
            None => None,
        };
        let replication = match &settings.peers {
            Some(peers) if peers.replicas => Some(Replication::start(now, settings, peers, seed)),
            _ => None,
        };
        Ok(Self {
            membership,
            maintenance,
            replication,
            maintenance_message_received: false,
        })
    }

    /// When each part has something due.
    pub(super) fn next_deadlines(&self, clock: &Clock) -> [Option<Duration>; 3] {
        let membership = self.membership.as_ref();
        let replication = self.replication.as_ref();
        let maintenance = self.maintenance.as_ref();
        [
            membership.map(FleetMembership::next_deadline),
            replication.map(Replication::next_deadline),
            maintenance.map(|maintenance| maintenance.next_wake(clock.now())),
        ]
    }

    /// Takes a datagram of another sidecar.
    pub(super) fn receive_datagram(&mut self, now: Duration, bytes: &[u8]) {
        if let Some(membership) = &mut self.membership {
            membership.receive(now, bytes);
        }
    }

    /// Sends the datagrams that are due.
    pub(super) fn flush_datagrams(&mut self, now: Duration, sockets: &mut Sockets) {
        if let Some(membership) = &mut self.membership {
            membership.turn(now, sockets);
        }
    }

    /// Reads the fleet's keys again.
    pub(super) fn reload_keys(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.reload_keys();
        }
    }

    /// Says farewell as the shutdown begins. Where machines go out for maintenance that waits for the exit, as maintenance
    /// says farewell itself once all is settled.
    pub(super) fn leave_at_shutdown(&mut self, now: Duration, sockets: &mut Sockets) {
        if self.maintenance.is_some() {
            return;
        }
        if let Some(membership) = &mut self.membership {
            membership.leave(now, sockets);
        }
    }

    /// Says farewell at the exit, where the shutdown did not.
    pub(super) fn leave_at_exit(&mut self, now: Duration, sockets: &mut Sockets) {
        if let (Some(maintenance), Some(membership)) = (&mut self.maintenance, &mut self.membership)
        {
            maintenance.leave(now, membership);
            membership.leave(now, sockets);
        }
    }

    /// When a control service is to be polled, if that is other sidecars' turn now.
    pub(super) fn deferred_poll(&self, now: Duration, service: ControlService) -> Option<Duration> {
        let at = self.membership.as_ref()?.next_poll(now, service);
        if at > now {
            Some(at)
        } else {
            None
        }
    }

    /// Records whether a control service responded.
    pub(super) fn record_poll(&mut self, now: Duration, service: ControlService, responded: bool) {
        if let Some(membership) = &mut self.membership {
            membership.record_poll(now, service, responded);
        }
    }

    /// Records a rejected request.
    pub(super) fn request_rejected(&mut self, now: Duration) {
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.record_requests(now, 0, 1);
        }
    }

    /// Why a request must not be sent now, if it must not: it may have run by way of another sidecar.
    pub(super) fn refusal(
        &self,
        now: Duration,
        idempotency_hash: Option<u64>,
        has_routing_key: bool,
    ) -> Option<Refusal> {
        let replication = self.replication.as_ref()?;
        replication.refusal(now, idempotency_hash, has_routing_key)
    }

    /// Records the start of an attempt of a request that may not run twice.
    pub(super) fn attempt_started(
        &mut self,
        now: Duration,
        request: RequestId,
        idempotency_hash: u64,
    ) {
        if let Some(replication) = &mut self.replication {
            replication.attempt_started(now, request, idempotency_hash);
        }
    }

    /// Records the end of an attempt.
    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        result: &AttemptResult,
        routing_key: Option<RoutingKey>,
    ) {
        if let Some(replication) = &mut self.replication {
            replication.attempt_ended(now, result, routing_key);
        }
    }

    /// Records that a request has no further attempt.
    pub(super) fn request_finished(&mut self, request: RequestId) {
        if let Some(replication) = &mut self.replication {
            replication.request_finished(request);
        }
    }

    /// Records a message of the rollout service.
    pub(super) fn stage_announced(&mut self, now: Duration, message: &StageMessage) {
        if let Some(replication) = &mut self.replication {
            replication.stage_announced(now, message);
        }
    }

    /// Marks endpoints on machines that are closed for maintenance as draining.
    pub(super) fn mark_closed_machines(&self, endpoints: &mut [EndpointRecord]) {
        let Some(maintenance) = &self.maintenance else {
            return;
        };
        for endpoint in endpoints {
            endpoint.draining |= maintenance.is_closed(&endpoint.machine);
        }
    }

    /// The page about the members of the fleet, as JSON; `None` without membership.
    pub(super) fn membership_page(
        &self,
        now: Duration,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<Vec<u8>> {
        let view = self.membership.as_ref()?.view(now, address);
        serde_json::to_vec(&view).ok()
    }

    /// The page about the replicated state, as JSON; `None` without replication.
    pub(super) fn replication_page(&self) -> Option<Vec<u8>> {
        let view = self.replication.as_ref()?.view();
        serde_json::to_vec(&view).ok()
    }

    /// The page about maintenance, as JSON; `None` without maintenance.
    pub(super) fn maintenance_page(&self, now: Duration) -> Option<Vec<u8>> {
        let view = self.maintenance.as_ref()?.view(now);
        serde_json::to_vec(&view).ok()
    }

    /// Handles a request of an operator or of a machine's agent, as JSON. Returns the number of the maintenance list that
    /// it created, if it did; `None` without maintenance.
    pub(super) fn handle_maintenance_request(
        &mut self,
        now: Duration,
        body: &[u8],
        endpoints: &[EndpointRecord],
    ) -> Option<Result<Option<u64>, String>> {
        let maintenance = self.maintenance.as_mut()?;
        let request = serde_json::from_slice::<MaintenanceRequest>(body);
        let result = match request {
            Ok(request) => maintenance
                .handle_request(now, &request, endpoints)
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        Some(result)
    }
}

impl Service {
    /// Brings endpoint and stage updates, also those of other sidecars, to the decisions, and ends the attempts that are no
    /// longer allowed. Each event is shown to replication, maintenance and membership once: here, or later in the turn.
    pub(super) fn apply_control_events(&mut self) {
        self.receive_direct_messages();
        self.run_replication();
        self.run_maintenance();
        if self.events.is_empty() {
            return;
        }
        self.notify_coordination();
        let events = std::mem::take(&mut self.events);
        let actions = self.decisions.apply_events(self.now, events);
        self.carry_out_all(actions);
        self.withdraw_forbidden_attempts();
    }

    /// Shows coordination what the decisions are about to be told, and adds the fleet's view if that changed.
    pub(super) fn notify_coordination(&mut self) {
        let Some(membership) = &mut self.peers.membership else {
            return;
        };
        let directory = &self.endpoints.directory;
        let view = membership.observe_events(self.now, &self.events, |pod| directory.address(pod));
        self.events.extend(view);
    }

    /// Hands the messages of other sidecars to the parts that they are for.
    pub(super) fn receive_direct_messages(&mut self) {
        let peers = &mut self.peers;
        let Some(membership) = &mut peers.membership else {
            return;
        };
        while let Some(ReceivedMessage { from, bytes }) = membership.take_direct_message() {
            match bytes.split_first() {
                Some((&direct_message::REPLICATION, rest)) => {
                    if let Some(replication) = &mut peers.replication {
                        replication.receive(self.now, &from, rest);
                    }
                }
                _ => {
                    if let Some(maintenance) = &mut peers.maintenance {
                        peers.maintenance_message_received = true;
                        maintenance.receive(self.now, &from, &bytes);
                    }
                }
            }
        }
    }

    /// Exchanges replicated state with other sidecars, and takes up what is news to the decisions.
    pub(super) fn run_replication(&mut self) {
        let peers = &mut self.peers;
        let (Some(replication), Some(membership)) = (&mut peers.replication, &mut peers.membership)
        else {
            return;
        };
        for event in &self.events {
            replication.observe_event(event);
        }
        let replicated = replication.turn(self.now, membership);
        self.events.extend(replicated.events);
        if let Some(update) = replicated
            .stage
            .and_then(|message| self.stages.accept(message))
        {
            self.events.push(Event::Stage {
                update: Some(update),
                vote_answer: None,
            });
        }
    }

    /// Advances maintenance if it has messages or something due, and announces the machines that it closed or opened.
    pub(super) fn run_maintenance(&mut self) {
        let peers = &mut self.peers;
        let (Some(maintenance), Some(membership)) = (&mut peers.maintenance, &mut peers.membership)
        else {
            return;
        };
        for event in &self.events {
            observe_for_maintenance(maintenance, self.now, event);
        }
        let has_message = std::mem::take(&mut peers.maintenance_message_received);
        if !has_message && self.now < maintenance.next_deadline() {
            return;
        }
        let (requests, directory) = (&self.requests, &self.endpoints.directory);
        let busy = || -> BTreeSet<SocketAddr> {
            requests
                .pods_with_attempts()
                .filter_map(|pod| directory.address(pod))
                .collect()
        };
        let context = EndpointContext {
            endpoints: &self.endpoints.listed,
            busy_addresses: &busy,
        };
        if maintenance.turn(self.now, membership, &context) {
            self.announce_closed_machines();
        }
    }

    fn announce_closed_machines(&mut self) {
        let delta = self.endpoints.remark_closed_machines(&self.peers, self.now);
        if !delta.is_empty() {
            self.events
                .push(Event::Endpoints(EndpointUpdate::Delta(delta)));
        }
    }
}

fn observe_for_maintenance(maintenance: &mut Maintenance, now: Duration, event: &Event) {
    match event {
        Event::Stage {
            update: Some(update),
            ..
        } => {
            let on_trial = matches!(update.phase, Phase::OnTrial | Phase::RollingBack);
            maintenance.set_release_on_trial(on_trial);
        }
        Event::RequestArrived { .. } => maintenance.record_requests(now, 1, 0),
        _ => {}
    }
}
