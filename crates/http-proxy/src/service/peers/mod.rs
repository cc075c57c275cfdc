//! What the sidecars of a fleet share, as the event loop uses it: membership, replicated state and maintenance, each only
//! where the settings ask for it.

mod turn;

use super::maintenance::{Maintenance, MaintenanceRequest, TrafficTimings};
use super::membership::{FleetMembership, LocalMember};
use super::replication::Replication;
use super::StartError;
use crate::endpoint_list::EndpointRecord;
use crate::stage_updates::StageMessage;
use limewing_coordination::Service as ControlService;
use limewing_decision::interface::{AttemptResult, PodId, RequestId, RoutingKey};
use limewing_net::sockets::Sockets;
use limewing_proxy_core::clock::Clock;
use limewing_replication::Refusal;
use limewing_settings::SidecarSettings;
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

/// What became of a maintenance request.
pub(super) enum MaintenanceResponse {
    /// The settings ask for no maintenance.
    NotConfigured,
    /// It is carried out.
    Accepted {
        /// The number of the maintenance list that it creates, if it does.
        list: Option<u64>,
    },
    /// It can't be carried out, for this cause.
    Rejected(String),
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
        let local = LocalMember {
            name: &settings.name,
            zone: settings.sidecar_config(seed).zone.0,
            seed,
        };
        let membership = match &settings.peers {
            Some(peers) => Some(FleetMembership::start(now, &local, peers, sockets)?),
            None => None,
        };
        let traffic = TrafficTimings {
            drain_grace: settings.safety.drain_grace.into(),
            longest_request: max_client_timeout,
            warm_up: settings.safety.slow_start_duration.into(),
        };
        let maintenance = match &settings.maintenance {
            Some(work) => {
                let started = Maintenance::start(now, &settings.name, work, &traffic, seed);
                Some(started.map_err(StartError::Work)?)
            }
            None => None,
        };
        let replication = match &settings.peers {
            Some(peers) if peers.replication => {
                Some(Replication::start(now, settings, peers, seed))
            }
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

    /// Handles a request of an operator or of a machine's agent, as JSON.
    pub(super) fn handle_maintenance_request(
        &mut self,
        now: Duration,
        body: &[u8],
        endpoints: &[EndpointRecord],
    ) -> MaintenanceResponse {
        let Some(maintenance) = &mut self.maintenance else {
            return MaintenanceResponse::NotConfigured;
        };
        let request = match serde_json::from_slice::<MaintenanceRequest>(body) {
            Ok(request) => request,
            Err(error) => return MaintenanceResponse::Rejected(error.to_string()),
        };
        match maintenance.handle_request(now, &request, endpoints) {
            Ok(list) => MaintenanceResponse::Accepted { list },
            Err(error) => MaintenanceResponse::Rejected(error.to_string()),
        }
    }
}
