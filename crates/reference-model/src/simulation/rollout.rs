//! The emulated rollout service: builds on trial, stages and the sidecars' votes.

use super::event::SimulationEvent;
use super::{ms, Simulation};
use limewing_decision::interface::{
    BuildId, Control, Event, Phase, PodState, StageIndex, StageOrder, StageUpdate, Verdict,
    VoteAnswer,
};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

pub(super) const FIRST_BUILD: BuildId = BuildId(1);
/// The share of the pods that run the new build in each stage.
pub(super) const STAGE_SHARES: [f64; 3] = [0.15, 0.4, 1.0];
/// The exposure cap of the new build in each stage.
pub(super) const EXPOSURE_CAPS: [f64; 3] = [0.2, 0.5, 1.0];
/// The duration of a stage.
const STAGE_DURATION: Duration = Duration::from_secs(3);
/// The duration of a rollback.
const ROLLBACK_DURATION: Duration = Duration::from_millis(2500);
/// The interval at which a step is retried while the rollout service is down.
const SERVICE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which a held stage is checked again.
const HOLD_INTERVAL: Duration = Duration::from_millis(250);
/// The time after which an operator promotes a held stage.
const MAX_HOLD_DURATION: Duration = Duration::from_secs(6);
/// The factor applied to the cap when an operator lowers it.
const LOWERED_CAP_FACTOR: f64 = 0.4;

/// The state of the rollout service.
pub(super) struct Rollout {
    pub(super) stage: StageUpdate,
    /// The number of state changes. A step scheduled in an earlier state is ignored.
    state: u64,
    pub(super) is_service_down: bool,
    /// The time for which the stage has been held.
    held_for: Duration,
    /// The extra delay of stage updates.
    pub(super) update_delay: Duration,
    /// The share of requests that each build answers with an error.
    error_rates: BTreeMap<BuildId, f64>,
}

/// A counted vote.
#[derive(Clone, Copy)]
pub(super) struct CastVote {
    at: Duration,
    verdict: Verdict,
    build: BuildId,
    stage: StageIndex,
}

impl Rollout {
    /// Creates a rollout whose first build is released.
    pub(super) fn new() -> Self {
        Self {
            stage: StageUpdate {
                build: FIRST_BUILD,
                stage: StageIndex(2),
                phase: Phase::Released,
                cap: 1.0,
                age: Duration::ZERO,
                order: StageOrder::default(),
            },
            state: 0,
            is_service_down: false,
            held_for: Duration::ZERO,
            update_delay: Duration::ZERO,
            error_rates: BTreeMap::new(),
        }
    }

    pub(super) fn error_rate(&self, build: BuildId) -> f64 {
        self.error_rates.get(&build).copied().unwrap_or(0.0)
    }
}

impl Simulation {
    /// Changes the state of the rollout. Each sidecar receives the update after its lag.
    fn change_stage(&mut self, stage: StageUpdate) {
        self.rollout.stage = stage;
        self.rollout.state += 1;
        self.rollout.held_for = Duration::ZERO;
        for sidecar in 0..self.sidecars.len() {
            let host = &mut self.sidecars[sidecar];
            let arrives_at = self.now + host.stage_lag + self.rollout.update_delay;
            host.stage_due = host.stage_due.max(arrives_at);
            let due = host.stage_due;
            let event = Event::Stage {
                update: Some(stage),
                vote_answer: None,
            };
            let delivery = SimulationEvent::Deliver(self.current_incarnation(sidecar), event);
            self.schedule(due, delivery);
        }
    }

    pub(super) fn lower_cap(&mut self) {
        let stage = self.rollout.stage;
        if stage.phase == Phase::OnTrial {
            self.change_stage(StageUpdate {
                cap: stage.cap * LOWERED_CAP_FACTOR,
                ..stage
            });
        }
    }

    pub(super) fn cast_vote(
        &mut self,
        sidecar: usize,
        verdict: Verdict,
        build: BuildId,
        stage: StageIndex,
    ) {
        let wait = ms(self.rng.random_range(30..250));
        let current = self.rollout.stage;
        let is_current =
            build == current.build && (stage == current.stage || verdict == Verdict::RollBack);
        let answer = self.draw_vote_answer(is_current);
        let counts_unanswered =
            answer == VoteAnswer::Unanswered && self.rng.random_bool(0.5) && is_current;
        if answer == VoteAnswer::Counted || counts_unanswered {
            self.sidecars[sidecar].vote = Some(CastVote {
                at: self.now,
                verdict,
                build,
                stage,
            });
            if verdict == Verdict::RollBack
                && matches!(current.phase, Phase::OnTrial | Phase::Released)
            {
                self.roll_back();
            }
        }
        let wait = if answer == VoteAnswer::Unanswered {
            self.config.rollout.vote_timeout
        } else {
            wait
        };
        let event = Event::Stage {
            update: None,
            vote_answer: Some(answer),
        };
        let delivery = SimulationEvent::Deliver(self.current_incarnation(sidecar), event);
        self.schedule_in(wait, delivery);
    }

    fn draw_vote_answer(&mut self, is_current: bool) -> VoteAnswer {
        let draw = self.rng.random_range(0..20);
        if self.rollout.is_service_down {
            return if self.rng.random_bool(0.5) {
                VoteAnswer::Failed
            } else {
                VoteAnswer::Unanswered
            };
        }
        match draw {
            0 => VoteAnswer::Full,
            1 => VoteAnswer::Unanswered,
            _ if !is_current => VoteAnswer::Moot,
            _ => VoteAnswer::Counted,
        }
    }

    fn roll_back(&mut self) {
        let withdrawn = self.rollout.stage.build;
        self.change_stage(StageUpdate {
            phase: Phase::RollingBack,
            cap: 0.0,
            ..self.rollout.stage
        });
        let earlier = BuildId(withdrawn.0 - 1);
        self.replace_pods(withdrawn, earlier, 1.0);
        self.schedule_step(ROLLBACK_DURATION);
    }

    fn schedule_step(&mut self, wait: Duration) {
        let state = self.rollout.state;
        self.schedule_in(wait, SimulationEvent::RolloutAdvances { state });
    }

    /// Starts pods of a build until it has a share of the fleet. Each new pod replaces an old one, which starts to
    /// drain.
    fn replace_pods(&mut self, old: BuildId, new: BuildId, share: f64) {
        let ready_count = self.pods.iter().filter(|pod| pod.is_ready()).count();
        let old_pods: Vec<usize> = (0..self.pods.len())
            .filter(|index| self.pods[*index].is_ready() && self.pods[*index].endpoint.build == old)
            .collect();
        let new_count = self
            .pods
            .iter()
            .filter(|pod| pod.is_ready() && pod.endpoint.build == new)
            .count();
        let wanted = (ready_count as f64 * share).ceil() as usize;
        let missing = wanted.saturating_sub(new_count);
        for index in old_pods.into_iter().take(missing) {
            self.replace_pod(index, new);
        }
    }

    fn replace_pod(&mut self, old_index: usize, build: BuildId) {
        let id = self.new_pod_id();
        self.add_pod(id, build, self.now);
        let zone = self.pods[old_index].endpoint.zone;
        let cell = self.pods[old_index].endpoint.cell;
        let new_index = self.pods.len() - 1;
        self.pods[new_index].endpoint.zone = zone;
        self.pods[new_index].endpoint.cell = cell;
        self.pods[old_index].endpoint.state = PodState::Draining;
        let started = self.pods[new_index].endpoint.clone();
        let draining = self.pods[old_index].endpoint.clone();
        self.list_changes(vec![started, draining]);
        let mut wait = ms(self.rng.random_range(1500..3500));
        if self.config.endpoint_lease.is_some() {
            // Some pods have to drain for longer than the lease, so that the lease rule is exercised.
            wait += ms(self.link_rng.random_range(0..5000));
        }
        self.schedule_in(wait, SimulationEvent::PodRemoved(old_index));
    }

    /// Advances the rollout, unless the stage is held or the rollout service is down.
    pub(super) fn advance_rollout(&mut self, state: u64) {
        if state != self.rollout.state {
            return;
        }
        if self.rollout.is_service_down {
            return self.schedule_step(SERVICE_RETRY_INTERVAL);
        }
        let stage = self.rollout.stage;
        if stage.phase == Phase::OnTrial
            && self.is_held()
            && self.rollout.held_for < MAX_HOLD_DURATION
        {
            self.rollout.held_for += HOLD_INTERVAL;
            return self.schedule_step(HOLD_INTERVAL);
        }
        match stage.phase {
            Phase::Released | Phase::RolledBack => self.start_next_trial(),
            Phase::OnTrial if usize::from(stage.stage.0) + 1 < STAGE_SHARES.len() => {
                self.promote();
            }
            Phase::OnTrial => self.change_stage(StageUpdate {
                phase: Phase::Released,
                cap: 1.0,
                ..stage
            }),
            Phase::RollingBack => self.change_stage(StageUpdate {
                phase: Phase::RolledBack,
                cap: 0.0,
                ..stage
            }),
        }
        self.schedule_step(STAGE_DURATION);
    }

    /// Whether votes, or missing votes, prevent the promotion of the stage.
    fn is_held(&self) -> bool {
        match self.config.rollout.control {
            Control::Clock => self.has_vote(Verdict::Hold),
            Control::Votes => !self.has_vote(Verdict::Promote),
        }
    }

    /// Whether there is an unexpired vote with this verdict on the current stage.
    fn has_vote(&self, verdict: Verdict) -> bool {
        let stage = self.rollout.stage;
        let ttl = self.config.rollout.vote_ttl;
        self.sidecars.iter().any(|sidecar| {
            sidecar.vote.is_some_and(|vote| {
                vote.verdict == verdict
                    && vote.build == stage.build
                    && vote.stage == stage.stage
                    && self.now < vote.at + ttl
            })
        })
    }

    /// Puts the next build on trial. A sidecar may learn of the new pods before the stage update, and treats an
    /// unannounced build as being in its first stage.
    fn start_next_trial(&mut self) {
        let build = BuildId(self.rollout.stage.build.0 + 1);
        let error_rate = if self.rng.random_bool(0.4) {
            self.rng.random_range(0.1..0.5)
        } else {
            0.0
        };
        self.rollout.error_rates.insert(build, error_rate);
        let oldest = self
            .pods
            .iter()
            .filter(|pod| pod.is_ready())
            .map(|pod| pod.endpoint.build)
            .min()
            .unwrap_or(FIRST_BUILD);
        self.replace_pods(oldest, build, STAGE_SHARES[0]);
        self.change_stage(StageUpdate {
            build,
            stage: StageIndex(0),
            phase: Phase::OnTrial,
            cap: EXPOSURE_CAPS[0],
            ..self.rollout.stage
        });
    }

    /// Advances the build on trial to its next stage.
    fn promote(&mut self) {
        let stage = self.rollout.stage;
        let next = stage.stage.0 + 1;
        let newest_older = self
            .pods
            .iter()
            .filter(|pod| pod.is_running && pod.endpoint.build < stage.build)
            .map(|pod| pod.endpoint.build)
            .max()
            .unwrap_or(stage.build);
        self.replace_pods(newest_older, stage.build, STAGE_SHARES[usize::from(next)]);
        self.change_stage(StageUpdate {
            stage: StageIndex(next),
            cap: EXPOSURE_CAPS[usize::from(next)],
            ..stage
        });
    }
}
