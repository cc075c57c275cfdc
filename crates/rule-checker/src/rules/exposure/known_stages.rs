//! Which caps may be in force at a sidecar, by the stage updates and endpoint lists that it was notified of.

use crate::record::{Phase, RuleLimits};
use std::time::Duration;

/// A stage update, with the time at which the sidecar was notified of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageUpdate {
    pub(super) at: Duration,
    pub(super) build: u16,
    pub(super) stage: u8,
    pub(super) phase: Phase,
    pub(super) cap: f64,
}

/// The cap of a canary, and the stage that it belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageCap {
    pub(super) cap: f64,
    pub(super) stage: u8,
}

#[derive(Debug, Default)]
pub(super) struct KnownStages {
    /// In the order of their times.
    updates: Vec<StageUpdate>,
    last_number: u64,
    /// The oldest build of the pods on the list.
    lowest_build: Option<u16>,
}

impl KnownStages {
    /// What a new process starts with: the list is looked up before the first request, stages are not.
    pub(super) fn after_restart(&self) -> Self {
        Self {
            lowest_build: self.lowest_build,
            ..Self::default()
        }
    }

    /// Takes an update, unless a later one came before it.
    pub(super) fn add(&mut self, number: u64, update: StageUpdate) {
        if number >= self.last_number {
            self.last_number = number;
            self.updates.push(update);
        }
    }

    pub(super) fn set_lowest_build(&mut self, build: Option<u16>) {
        self.lowest_build = build;
    }

    /// Whether keys that a newer build has served must not go to this one, by the last update.
    pub(super) fn keys_stay_off(&self, build: u16) -> bool {
        self.updates.last().is_some_and(|last| {
            build < last.build && matches!(last.phase, Phase::OnTrial | Phase::Released)
        })
    }

    /// The cap of a build by the updates up to a time; `None` if it is no canary.
    fn cap_at(&self, build: u16, until: Duration, limits: &RuleLimits) -> Option<StageCap> {
        let last = self.updates.iter().rev().find(|update| update.at <= until);
        let Some(last) = last else {
            let oldest = self.lowest_build.is_none_or(|lowest| build <= lowest);
            return (!oldest).then(|| first_stage(limits));
        };
        if build < last.build || (build == last.build && last.phase == Phase::Released) {
            return None;
        }
        if build > last.build {
            return Some(first_stage(limits));
        }
        Some(StageCap {
            cap: last.cap,
            stage: last.stage,
        })
    }

    /// The widest cap that may still be in force: of the last update, or a higher one within the grace.
    pub(super) fn widest_cap(
        &self,
        build: u16,
        at: Duration,
        grace: Duration,
        limits: &RuleLimits,
    ) -> Option<StageCap> {
        let from = at.saturating_sub(grace);
        let mut widest = self.cap_at(build, from, limits)?;
        for update in &self.updates {
            if update.at <= from || update.at > at {
                continue;
            }
            let then = self.cap_at(build, update.at, limits)?;
            widest.cap = widest.cap.max(then.cap);
            widest.stage = widest.stage.max(then.stage);
        }
        Some(widest)
    }

    /// When the cap was last lowered, by updates up to a time.
    pub(super) fn last_lowered(
        &self,
        build: u16,
        until: Duration,
        limits: &RuleLimits,
    ) -> Option<Duration> {
        let cap = |at| {
            self.cap_at(build, at, limits)
                .map_or(1.0, |stage| stage.cap)
        };
        let lowered = self
            .updates
            .windows(2)
            .filter(|pair| pair[1].at <= until && cap(pair[1].at) < cap(pair[0].at));
        lowered.map(|pair| pair[1].at).next_back()
    }
}

/// What holds for a build that no update has named yet.
fn first_stage(limits: &RuleLimits) -> StageCap {
    StageCap {
        cap: limits.exposure_caps[0],
        stage: 0,
    }
}
