//! The rollout service, and the sidecar's view of the fleet.

use super::{ScheduledEvent, Simulation, POD_COUNT};
use limewing_decision::interface::{
    BuildId, Event, FleetView, Phase, PodId, StageIndex, StageOrder, StageUpdate, VoteAnswer,
};
use rand::RngExt;
use std::time::Duration;

impl Simulation {
    pub(super) fn answer_vote(&mut self, build: BuildId, stage: StageIndex) {
        let is_current = build == self.stage.build && stage == self.stage.stage;
        let answer = match self.rng.random_range(0..12) {
            0 => VoteAnswer::Full,
            1 => VoteAnswer::Unanswered,
            2 => VoteAnswer::Failed,
            _ if !is_current => VoteAnswer::Moot,
            _ => VoteAnswer::Counted,
        };
        let wait = match answer {
            VoteAnswer::Unanswered => self.config.rollout.vote_timeout,
            _ => self.draw_wait(30, 250),
        };
        let update = (answer == VoteAnswer::Counted).then_some(self.stage);
        let event = Event::Stage {
            update,
            vote_answer: Some(answer),
        };
        self.schedule_in(wait, ScheduledEvent::Deliver(self.incarnation, event));
    }

    pub(super) fn advance_stage(&mut self) {
        let shares = [2, 5, POD_COUNT as usize];
        match self.stage.phase {
            Phase::Released | Phase::RolledBack => {
                let build = BuildId(self.stage.build.0 + 1);
                self.stage = StageUpdate {
                    build,
                    stage: StageIndex(0),
                    phase: Phase::OnTrial,
                    cap: 0.2,
                    age: Duration::ZERO,
                    order: StageOrder::default(),
                };
                self.roll_out(build.0, shares[0]);
            }
            Phase::OnTrial if self.rng.random_bool(0.2) => {
                self.stage.phase = Phase::RollingBack;
                self.stage.cap = 0.0;
                self.roll_out(self.stage.build.0 - 1, POD_COUNT as usize);
            }
            Phase::OnTrial if self.rng.random_bool(0.2) => self.stage.cap *= 0.5,
            Phase::OnTrial if self.stage.stage.0 < 2 => {
                self.stage.stage.0 += 1;
                let stage = usize::from(self.stage.stage.0);
                self.stage.cap = [0.2, 0.5, 1.0][stage];
                self.roll_out(self.stage.build.0, shares[stage]);
            }
            Phase::OnTrial => {
                self.stage.phase = Phase::Released;
                self.stage.cap = 1.0;
            }
            Phase::RollingBack => self.stage.phase = Phase::RolledBack,
        }
        self.stage_since = self.now;
        let wait = self.draw_wait(20, 900);
        let event = Event::Stage {
            update: Some(self.stage),
            vote_answer: None,
        };
        self.schedule_in(wait, ScheduledEvent::Deliver(self.incarnation, event));
        let wait = self.draw_wait(2500, 9000);
        self.schedule_in(wait, ScheduledEvent::StageAdvance);
    }

    /// Restarts the first `count` servers with a build. Every third build answers many requests with errors.
    pub(super) fn roll_out(&mut self, build: u16, count: usize) {
        let is_faulty = build.is_multiple_of(3);
        for index in 0..count {
            if self.servers[index].endpoint.build.0 == build {
                continue;
            }
            self.servers[index].is_running = false;
            self.servers[index].error_rate = if is_faulty { 0.4 } else { 0.0 };
            let wait = self.draw_wait(200, 2500);
            self.schedule_in(wait, ScheduledEvent::ServerRestarts(index, build));
        }
    }

    pub(super) fn change_fleet_view(&mut self) {
        let view = if self.rng.random_bool(0.15) {
            None
        } else {
            let mut preference: Vec<PodId> = (1..=POD_COUNT).map(PodId).collect();
            preference.rotate_left(self.rng.random_range(0..POD_COUNT as usize));
            let min_endpoints = self.rng.random_range(2..=POD_COUNT as usize);
            let probed_by_peers = (0..self.rng.random_range(0..3))
                .map(|_| PodId(self.rng.random_range(1..=POD_COUNT)))
                .collect();
            Some(FleetView {
                preference,
                min_endpoints,
                probed_by_peers,
            })
        };
        self.events.push(Event::Fleet(view));
        let wait = self.draw_wait(1000, 6000);
        self.schedule_in(wait, ScheduledEvent::FleetViewChange);
    }
}
