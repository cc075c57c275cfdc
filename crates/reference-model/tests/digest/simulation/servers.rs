//! Emulated pods and their faults.

use super::{ms, Attempt, ScheduledEvent, Simulation, START};
use limewing_decision::interface::{
    AttemptOutcome, BuildId, CellId, Endpoint, MachineTypeId, PodId, PodState, ZoneId,
};
use rand::RngExt;
use std::time::Duration;

/// An emulated pod.
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    pub(super) is_running: bool,
    pub(super) hangs: bool,
    pub(super) slowness: f64,
    pub(super) error_rate: f64,
    pub(super) in_flight: u32,
}

impl Server {
    pub(super) fn new(number: u64, build: u16) -> Self {
        let endpoint = Endpoint {
            pod: PodId(number),
            state: PodState::Ready,
            build: BuildId(build),
            weight: [1.0, 1.0, 0.5, 2.0][(number % 4) as usize],
            started_at: (!number.is_multiple_of(3)).then_some(START - Duration::from_secs(600)),
            zone: ZoneId((number % 2) as u16),
            cell: CellId((number / 4) as u16),
            machine_type: MachineTypeId((number % 2) as u16),
        };
        Self {
            endpoint,
            is_running: true,
            hangs: false,
            slowness: 1.0,
            error_rate: 0.0,
            in_flight: 0,
        }
    }
}

impl Simulation {
    pub(super) fn server_of(&self, pod: PodId) -> Option<usize> {
        self.servers
            .iter()
            .position(|server| server.endpoint.pod == pod)
    }

    pub(super) fn reaches_server(&mut self, index: usize, attempt: Attempt) {
        let slowness = self.servers[index].slowness;
        let error_rate = self.servers[index].error_rate;
        let drains = self.servers[index].endpoint.state == PodState::Draining;
        if self.servers[index].in_flight >= 40 || (drains && self.rng.random_bool(0.7)) {
            return self.schedule_in(
                ms(2),
                ScheduledEvent::AttemptEnds(attempt, AttemptOutcome::Rejected),
            );
        }
        if self.servers[index].hangs || self.rng.random_bool(0.01) {
            return;
        }
        self.servers[index].in_flight += 1;
        let load = 1.0 + f64::from(self.servers[index].in_flight) / 4.0;
        let service_time = 30.0 * load * slowness * self.rng.random_range(0.5..1.6);
        let outcome = match self.rng.random_range(0.0..1.0) {
            draw if draw < error_rate => AttemptOutcome::Failed,
            draw if draw < error_rate + 0.004 => AttemptOutcome::ConnectionReset,
            _ => AttemptOutcome::Succeeded,
        };
        self.schedule_in(
            ms(service_time as u64),
            ScheduledEvent::AttemptEnds(attempt, outcome),
        );
    }

    pub(super) fn draw_server_fault(&mut self) {
        let index = self.rng.random_range(0..self.servers.len());
        let recovers_in = self.draw_wait(800, 6000);
        match self.rng.random_range(0..6) {
            0 => self.servers[index].hangs = true,
            1 => self.servers[index].slowness = self.rng.random_range(2.0..8.0),
            2 => self.servers[index].error_rate = self.rng.random_range(0.2..1.0),
            3 => {
                // Crashes immediately. The endpoint list is updated later, and the server restarts.
                self.servers[index].is_running = false;
                let build = self.servers[index].endpoint.build.0;
                let wait = self.draw_wait(300, 2500);
                self.schedule_in(wait, ScheduledEvent::ServerExits(index));
                self.schedule_in(
                    wait + recovers_in,
                    ScheduledEvent::ServerRestarts(index, build),
                );
            }
            4 => self.drain(index),
            _ => {
                for server in &mut self.servers {
                    server.slowness = 2.5;
                }
                for other in 0..self.servers.len() {
                    self.schedule_in(recovers_in, ScheduledEvent::ServerRecovers(other));
                }
            }
        }
        self.schedule_in(recovers_in, ScheduledEvent::ServerRecovers(index));
        let wait = self.draw_wait(600, 3000);
        self.schedule_in(wait, ScheduledEvent::ServerFault);
    }

    pub(super) fn drain(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if !server.is_running || server.endpoint.state != PodState::Ready {
            return;
        }
        server.endpoint.state = PodState::Draining;
        let build = server.endpoint.build.0;
        self.list_changed(index);
        let wait = self.draw_wait(1500, 5000);
        self.schedule_in(wait, ScheduledEvent::ServerExits(index));
        let wait = wait + self.draw_wait(500, 4000);
        self.schedule_in(wait, ScheduledEvent::ServerRestarts(index, build));
    }

    pub(super) fn server_restarts(&mut self, index: usize, build: u16) {
        let server = &mut self.servers[index];
        server.is_running = true;
        server.in_flight = 0;
        server.endpoint.state = PodState::Ready;
        server.endpoint.build = BuildId(build);
        server.endpoint.started_at = Some(self.now);
        self.list_changed(index);
    }
}
