//! The simulated rollout service: each rollout puts the next build on trial, advances its stages on a timer, and releases it.

use super::{ScheduledEvent, Soak};
use crate::config::{EXPOSURE_CAPS, STAGE_SHARES};
use limewing_decision::interface::{
    BuildId, CellId, Endpoint, EndpointUpdate, Event, MachineTypeId, Phase, PodId, PodState,
    StageIndex, StageOrder, StageUpdate, ZoneId,
};
use std::time::Duration;

/// Duration of a stage, and of draining replaced pods.
const STAGE_DURATION: Duration = Duration::from_secs(4);
const LAST_STAGE: u8 = STAGE_SHARES.len() as u8 - 1;
const POD_WEIGHT: f64 = 4.0;
const ZONES: u64 = 2;
const CELLS: u64 = 64;
const PODS_PER_CELL: u64 = 4;

impl Soak {
    /// Creates pods of the current build. Their start time may be unknown.
    pub(super) fn new_pods(&mut self, count: usize, started_at: Option<Duration>) -> Vec<Endpoint> {
        (0..count)
            .map(|_| {
                self.last_pod += 1;
                Endpoint {
                    pod: PodId(self.last_pod),
                    state: PodState::Ready,
                    build: self.build,
                    weight: POD_WEIGHT,
                    started_at,
                    zone: ZoneId((self.last_pod % ZONES) as u16),
                    cell: CellId((self.last_pod / PODS_PER_CELL % CELLS) as u16),
                    machine_type: MachineTypeId(0),
                }
            })
            .collect()
    }

    /// Creates a stage update for the rollout of the current build.
    pub(super) fn stage_event(&self, stage: u8, phase: Phase, cap: f64) -> Event {
        Event::Stage {
            update: Some(StageUpdate {
                build: self.build,
                stage: StageIndex(stage),
                phase,
                cap,
                age: Duration::ZERO,
                order: StageOrder::default(),
            }),
            vote_answer: None,
        }
    }

    pub(super) fn rollout_starts(&mut self, events: &mut Vec<Event>) {
        self.build.0 += 1;
        self.stage_starts(0, events);
    }

    pub(super) fn stage_starts(&mut self, stage: u8, events: &mut Vec<Event>) {
        let index = usize::from(stage);
        events.push(self.stage_event(stage, Phase::OnTrial, EXPOSURE_CAPS[index]));
        self.replace_pods(STAGE_SHARES[index], events);
        let next = if stage < LAST_STAGE {
            ScheduledEvent::StageStarts(stage + 1)
        } else {
            ScheduledEvent::RolloutEnds
        };
        self.schedule_in(STAGE_DURATION, next);
    }

    pub(super) fn rollout_ends(&mut self, events: &mut Vec<Event>) {
        events.push(self.stage_event(LAST_STAGE, Phase::Released, 1.0));
    }

    /// Starts pods of the newest build until it has a share of the fleet, and drains the same number of older pods.
    fn replace_pods(&mut self, share: f64, events: &mut Vec<Event>) {
        let build = self.build;
        let wanted = (share * self.config.pods as f64).ceil() as usize;
        let running = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.build == build)
            .count();
        let mut changes = self.new_pods(wanted.saturating_sub(running), Some(self.now));
        self.endpoints.extend(changes.iter().cloned());
        let started_count = changes.len();
        let old = self
            .endpoints
            .iter_mut()
            .filter(|endpoint| endpoint.build != build && endpoint.state == PodState::Ready)
            .take(started_count);
        for endpoint in old {
            endpoint.state = PodState::Draining;
            changes.push(endpoint.clone());
        }
        let drained_build = changes.last().map_or(BuildId(0), |endpoint| endpoint.build);
        events.push(Event::Endpoints(EndpointUpdate::Delta(changes)));
        self.schedule_in(STAGE_DURATION, ScheduledEvent::PodsRemoved(drained_build));
    }

    pub(super) fn pods_removed(&mut self, build: BuildId, events: &mut Vec<Event>) {
        let (removed, kept) = std::mem::take(&mut self.endpoints)
            .into_iter()
            .partition(|endpoint| endpoint.build == build && endpoint.state == PodState::Draining);
        self.endpoints = kept;
        let removed: Vec<Endpoint> = removed;
        let removals = removed
            .into_iter()
            .map(|endpoint| Endpoint {
                state: PodState::Gone,
                ..endpoint
            })
            .collect();
        events.push(Event::Endpoints(EndpointUpdate::Delta(removals)));
    }
}
