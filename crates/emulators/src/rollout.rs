//! The model of the rollout controller, without I/O: rolls out a build by stages, slot by slot, and counts votes.

use limewing_rule_checker::record::{Phase, SidecarId};
use limewing_settings::{Control, RolloutSettings};
use std::collections::BTreeMap;
use std::time::Duration;

/// A slot for one pod in the fleet; its pods replace each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId(pub usize);

/// An action that the controller requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RolloutAction {
    /// Start a pod.
    StartPod {
        /// The slot.
        slot: SlotId,
        /// The build of the pod.
        build: u16,
    },
    /// Drain all pods of other builds in a slot.
    DrainOtherBuilds {
        /// The slot.
        slot: SlotId,
        /// The build that stays.
        build: u16,
    },
    /// Notify the sidecars of the new state.
    NotifySidecars,
}

/// The verdict of a sidecar's vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// No verdict, but the sidecar takes part.
    Abstain,
    /// Move on to the next stage.
    Promote,
    /// Stay at the current stage.
    Hold,
    /// Return to the previous build.
    RollBack,
}

/// The state of the rollout of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutState {
    /// The number of the update, which grows with each change: of two updates, the higher number is newer.
    pub number: u64,
    /// The newest build.
    pub build: u16,
    /// The stage of its rollout.
    pub stage: u8,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The largest share of requests that it may receive.
    pub cap: f64,
}

struct Vote {
    build: u16,
    stage: u8,
    verdict: Verdict,
    expires_at: Duration,
}

struct Slot {
    /// The build that runs or is starting.
    build: u16,
    starting: bool,
}

/// Rolls out builds according to the settings.
pub struct RolloutController {
    config: RolloutSettings,
    state: RolloutState,
    /// The build that a rollback returns to.
    previous_build: u16,
    slots: Vec<Slot>,
    votes: BTreeMap<SidecarId, Vote>,
    /// How long the stage has run with all its pods started.
    stage_run_time: Duration,
    last_tick: Duration,
    next_build: Option<u16>,
}

impl RolloutController {
    /// Creates a controller of this many slots, which all run a released build.
    #[must_use]
    pub fn new(config: RolloutSettings, slots: usize, build: u16) -> Self {
        let running = |_| Slot {
            build,
            starting: false,
        };
        Self {
            config,
            state: RolloutState {
                number: 1,
                build,
                stage: 0,
                phase: Phase::Released,
                cap: 1.0,
            },
            previous_build: build,
            slots: (0..slots).map(running).collect(),
            votes: BTreeMap::new(),
            stage_run_time: Duration::ZERO,
            last_tick: Duration::ZERO,
            next_build: None,
        }
    }

    /// The current state of the rollout.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// The build that a slot runs or is starting.
    #[must_use]
    pub fn build_at(&self, slot: SlotId) -> u16 {
        self.slots
            .get(slot.0)
            .map_or(self.previous_build, |slot| slot.build)
    }

    /// Schedules the rollout of another build; a build on trial is rolled back first.
    pub fn offer(&mut self, build: u16, now: Duration) {
        self.next_build = Some(build);
        if self.state.phase == Phase::OnTrial {
            self.enter_phase(Phase::RollingBack, self.state.stage, now);
        }
    }

    fn enter_phase(&mut self, phase: Phase, stage: u8, now: Duration) {
        self.stage_run_time = Duration::ZERO;
        self.last_tick = now;
        self.state.number += 1;
        self.state.phase = phase;
        self.state.stage = stage;
        self.state.cap = match phase {
            Phase::OnTrial => self.config.stages[usize::from(stage)].cap,
            Phase::Released => 1.0,
            Phase::RollingBack | Phase::RolledBack => 0.0,
        };
    }

    /// Receives a vote; returns whether it counts.
    pub fn vote(
        &mut self,
        sidecar: SidecarId,
        build: u16,
        stage: u8,
        verdict: Verdict,
        now: Duration,
    ) -> bool {
        if build != self.state.build || !self.is_expected(verdict, stage) {
            return false;
        }
        let vote = Vote {
            build,
            stage,
            verdict,
            expires_at: now + self.config.vote_ttl.into(),
        };
        self.votes.insert(sidecar, vote);
        true
    }

    fn is_expected(&self, verdict: Verdict, stage: u8) -> bool {
        let phase = self.state.phase;
        let control = self.config.control;
        let this_stage = phase == Phase::OnTrial && stage == self.state.stage;
        match verdict {
            Verdict::Abstain => true,
            Verdict::RollBack => matches!(phase, Phase::OnTrial | Phase::Released),
            Verdict::Promote => this_stage && control == Control::Votes,
            Verdict::Hold => this_stage && control == Control::Clock,
        }
    }

    fn count_votes(&self, verdict: Verdict, now: Duration) -> usize {
        let counts = |vote: &&Vote| {
            let stage = vote.stage == self.state.stage || verdict == Verdict::RollBack;
            let valid = vote.expires_at > now && vote.build == self.state.build;
            valid && vote.verdict == verdict && stage
        };
        self.votes.values().filter(counts).count()
    }

    /// Advances the rollout; called at short, regular intervals. `is_running` tells whether a slot's pod of a build has started.
    pub fn tick(
        &mut self,
        now: Duration,
        is_running: impl Fn(SlotId, u16) -> bool,
    ) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let interval = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.finish_starts(is_running, &mut actions);
        if self.has_rollback_quorum(now) {
            self.enter_phase(Phase::RollingBack, self.state.stage, now);
            actions.push(RolloutAction::NotifySidecars);
            return actions;
        }
        match self.state.phase {
            Phase::Released | Phase::RolledBack => self.begin_next(now, &mut actions),
            Phase::RollingBack => self.roll_back(now, &mut actions),
            Phase::OnTrial => self.advance_stage(now, interval, &mut actions),
        }
        actions
    }

    fn finish_starts(
        &mut self,
        is_running: impl Fn(SlotId, u16) -> bool,
        actions: &mut Vec<RolloutAction>,
    ) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let id = SlotId(index);
            let build = slot.build;
            if slot.starting && is_running(id, build) {
                slot.starting = false;
                actions.push(RolloutAction::DrainOtherBuilds { slot: id, build });
            }
        }
    }

    fn has_rollback_quorum(&self, now: Duration) -> bool {
        matches!(self.state.phase, Phase::OnTrial | Phase::Released)
            && self.state.build != self.previous_build
            && self.count_votes(Verdict::RollBack, now) >= self.config.rollback_quorum as usize
    }

    fn no_slot_starting(&self) -> bool {
        self.slots.iter().all(|slot| !slot.starting)
    }

    fn begin_next(&mut self, now: Duration, actions: &mut Vec<RolloutAction>) {
        let Some(next) = self.next_build.take() else {
            return;
        };
        if self.state.phase == Phase::Released {
            self.previous_build = self.state.build;
        }
        self.state.build = next;
        self.enter_phase(Phase::OnTrial, 0, now);
        actions.push(RolloutAction::NotifySidecars);
    }

    fn roll_back(&mut self, now: Duration, actions: &mut Vec<RolloutAction>) {
        let settled = self.no_slot_starting();
        let previous = self.previous_build;
        self.start_build(previous, 1.0, actions);
        if settled && self.slots.iter().all(|slot| slot.build == previous) {
            self.enter_phase(Phase::RolledBack, self.state.stage, now);
            actions.push(RolloutAction::NotifySidecars);
        }
    }

    fn advance_stage(
        &mut self,
        now: Duration,
        interval: Duration,
        actions: &mut Vec<RolloutAction>,
    ) {
        let settled = self.no_slot_starting();
        let stage = self.state.stage;
        let share = self.config.stages[usize::from(stage)].share;
        self.start_build(self.state.build, share, actions);
        let held = self.count_votes(Verdict::Hold, now) > 0;
        if settled && actions.is_empty() && !held {
            self.stage_run_time += interval;
        }
        let promoted = match self.config.control {
            Control::Clock => true,
            Control::Votes => self.count_votes(Verdict::Promote, now) > 0,
        };
        if !promoted || self.stage_run_time < self.config.stage_duration.into() {
            return;
        }
        if usize::from(stage) + 1 >= self.config.stages.len() {
            self.enter_phase(Phase::Released, stage, now);
        } else {
            self.enter_phase(Phase::OnTrial, stage + 1, now);
        }
        actions.push(RolloutAction::NotifySidecars);
    }

    /// Starts a build in the first slots, up to a share of all slots.
    fn start_build(&mut self, build: u16, share: f64, actions: &mut Vec<RolloutAction>) {
        let count = (share * self.slots.len() as f64).ceil() as usize;
        for (index, slot) in self.slots.iter_mut().enumerate().take(count) {
            if slot.build != build && !slot.starting {
                slot.build = build;
                slot.starting = true;
                let slot = SlotId(index);
                actions.push(RolloutAction::StartPod { slot, build });
            }
        }
    }
}
