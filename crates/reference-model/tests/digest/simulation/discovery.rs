//! The endpoint list and the watch that delivers its changes.

use super::servers::Server;
use super::{ScheduledEvent, Simulation};
use limewing_decision::interface::{
    Endpoint, EndpointUpdate, Event, PodState, WatchLoss, WatchLossCause,
};
use rand::RngExt;

impl Simulation {
    pub(super) fn list_changed(&mut self, index: usize) {
        let endpoint = self.servers[index].endpoint.clone();
        if self.is_watching || !self.config.watch_on_request {
            let is_snapshot = self.rng.random_bool(0.15);
            let update = if is_snapshot {
                EndpointUpdate::Snapshot(self.list())
            } else {
                EndpointUpdate::Delta(vec![endpoint])
            };
            let event = Event::Endpoints(update);
            let wait = self.draw_wait(20, 1200);
            self.schedule_in(wait, ScheduledEvent::Deliver(self.incarnation, event));
        } else {
            self.missed_changes.push(endpoint);
        }
    }

    pub(super) fn list(&self) -> Vec<Endpoint> {
        let listed = |server: &&Server| server.endpoint.state != PodState::Gone;
        let servers = self.servers.iter().filter(listed);
        servers.map(|server| server.endpoint.clone()).collect()
    }

    pub(super) fn list_call(&mut self, incarnation: u32) {
        if incarnation != self.incarnation || self.is_watching {
            return;
        }
        if self.rng.random_bool(0.4) {
            return self.lose_watch();
        }
        self.is_watching = true;
        let missed_changes = std::mem::take(&mut self.missed_changes);
        let update = if self.rng.random_bool(0.5) {
            EndpointUpdate::Snapshot(self.list())
        } else {
            EndpointUpdate::Delta(missed_changes)
        };
        self.events.push(Event::Endpoints(update));
    }

    pub(super) fn lose_watch(&mut self) {
        self.is_watching = false;
        let silent_for = self.now.saturating_sub(self.last_list_contact);
        let cause = [
            WatchLossCause::Ended,
            WatchLossCause::NoService,
            WatchLossCause::TimedOut,
            WatchLossCause::Refused,
        ][self.rng.random_range(0..4)];
        let loss = WatchLoss { silent_for, cause };
        self.events
            .push(Event::Endpoints(EndpointUpdate::WatchLost(loss)));
    }

    pub(super) fn watch_breaks(&mut self) {
        if self.is_watching && self.config.watch_on_request {
            self.lose_watch();
        }
        let wait = self.draw_wait(4000, 15_000);
        self.schedule_in(wait, ScheduledEvent::WatchBreaks);
    }
}
