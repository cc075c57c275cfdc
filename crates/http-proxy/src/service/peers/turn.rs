//! The peers' part of an event loop turn: receives messages, and produces events for the decision engine.

use crate::service::direct_message;
use crate::service::maintenance::{EndpointContext, Maintenance};
use crate::service::membership::ReceivedMessage;
use crate::service::Service;
use limewing_decision::interface::{EndpointUpdate, Event, Phase};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Service {
    /// Applies endpoint and stage updates, including those of other sidecars, to the decision engine, and ends attempts
    /// that are no longer allowed. Replication, maintenance and membership observe each event exactly once: here or
    /// later in the turn.
    pub(in crate::service) fn apply_control_events(&mut self) {
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

    /// Passes pending events to coordination, and adds the fleet view as an event if it changed.
    pub(in crate::service) fn notify_coordination(&mut self) {
        let Some(membership) = &mut self.peers.membership else {
            return;
        };
        let directory = &self.endpoints.directory;
        let view = membership.observe_events(self.now, &self.events, |pod| directory.address(pod));
        self.events.extend(view);
    }

    /// Dispatches direct messages from other sidecars to replication and maintenance.
    pub(in crate::service) fn receive_direct_messages(&mut self) {
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

    /// Exchanges replicated state with other sidecars, and adds the resulting events for the decision engine.
    pub(in crate::service) fn run_replication(&mut self) {
        let peers = &mut self.peers;
        let (Some(replication), Some(membership)) = (&mut peers.replication, &mut peers.membership)
        else {
            return;
        };
        for event in &self.events {
            replication.observe_event(event);
        }
        let update = replication.turn(self.now, membership);
        self.events.extend(update.events);
        let stage = update
            .stage
            .and_then(|message| self.stages.accept(message, None));
        if let Some(stage) = stage {
            self.events.push(Event::Stage {
                update: Some(stage),
                vote_answer: None,
            });
        }
    }

    /// Runs maintenance if it has messages or due work, and announces the machines that it closed or opened.
    pub(in crate::service) fn run_maintenance(&mut self) {
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
        let delta = self
            .endpoints
            .refresh_closed_machines(&self.peers, self.now);
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
