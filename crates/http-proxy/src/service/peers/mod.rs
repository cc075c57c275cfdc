//! The event loop's interface to the other sidecars of the fleet: membership, replicated state and maintenance. Each is
//! active only if configured.

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

/// The components that communicate with the other sidecars of the fleet.
pub(super) struct Peers {
    membership: Option<FleetMembership>,
    maintenance: Option<Maintenance>,
    replication: Option<Replication>,
    /// Whether maintenance has received messages since its last turn.
    maintenance_message_received: bool,
}

/// The outcome of a maintenance request.
pub(super) enum MaintenanceResponse {
    /// Maintenance is not configured.
    NotConfigured,
    /// The request is accepted.
    Accepted {
        /// Number of the maintenance list that the request creates, if it creates one.
        list: Option<u64>,
    },
    /// The request is rejected, with the reason.
    Rejected(String),
}

impl Peers {
    /// Starts the configured components. `max_client_timeout` is the longest time that a request may be in flight.
    ///
    /// # Errors
    /// The settings are invalid, or the socket or the vote log cannot be opened.
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

    /// Returns when each component is due.
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

    /// Processes a datagram from another sidecar.
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

    /// Reloads the fleet's keys.
    pub(super) fn reload_keys(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.reload_keys();
        }
    }

    /// Leaves the fleet at the beginning of the shutdown. With maintenance configured, the sidecar leaves at exit
    /// instead, because maintenance announces the departure once all requests are complete.
    pub(super) fn leave_at_shutdown(&mut self, now: Duration, sockets: &mut Sockets) {
        if self.maintenance.is_some() {
            return;
        }
        if let Some(membership) = &mut self.membership {
            membership.leave(now, sockets);
        }
    }

    /// Leaves the fleet at exit, unless [`Self::leave_at_shutdown`] did.
    pub(super) fn leave_at_exit(&mut self, now: Duration, sockets: &mut Sockets) {
        if let (Some(maintenance), Some(membership)) = (&mut self.maintenance, &mut self.membership)
        {
            maintenance.leave(now, membership);
            membership.leave(now, sockets);
        }
    }

    /// Returns when to try to poll a control service again, if only other sidecars may poll it now.
    pub(super) fn deferred_poll(&self, now: Duration, service: ControlService) -> Option<Duration> {
        let at = self.membership.as_ref()?.next_poll(now, service);
        if at > now {
            Some(at)
        } else {
            None
        }
    }

    /// Records whether a control service responded to a poll.
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

    /// Returns why a request must not be sent now, if that is the case: it may have run through another sidecar.
    pub(super) fn refusal(
        &self,
        now: Duration,
        idempotency_hash: Option<u64>,
        has_routing_key: bool,
    ) -> Option<Refusal> {
        let replication = self.replication.as_ref()?;
        replication.refusal(now, idempotency_hash, has_routing_key)
    }

    /// Records the start of an attempt of a request that must not run twice.
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

    /// Records that a request gets no further attempt.
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

    /// Returns the membership page as JSON, or `None` if membership is not configured.
    pub(super) fn membership_page(
        &self,
        now: Duration,
        address: impl Fn(PodId) -> Option<SocketAddr>,
    ) -> Option<Vec<u8>> {
        let view = self.membership.as_ref()?.view(now, address);
        serde_json::to_vec(&view).ok()
    }

    /// Returns the replication page as JSON, or `None` if replication is not configured.
    pub(super) fn replication_page(&self) -> Option<Vec<u8>> {
        let view = self.replication.as_ref()?.view();
        serde_json::to_vec(&view).ok()
    }

    /// Returns the maintenance page as JSON, or `None` if maintenance is not configured.
    pub(super) fn maintenance_page(&self, now: Duration) -> Option<Vec<u8>> {
        let view = self.maintenance.as_ref()?.view(now);
        serde_json::to_vec(&view).ok()
    }

    /// Handles a JSON request of an operator or a machine agent.
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
