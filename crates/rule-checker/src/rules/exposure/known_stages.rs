//! Caps that may apply at a sidecar, derived from the stage updates and endpoint lists that it was notified of.

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

/// The cap of a canary, with its stage.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageCap {
    pub(super) cap: f64,
    pub(super) stage: u8,
}

#[derive(Debug, Default)]
pub(super) struct KnownStages {
    /// In ascending order of time.
    updates: Vec<StageUpdate>,
    last_number: u64,
    /// Oldest build of the listed pods.
    lowest_build: Option<u16>,
}

impl KnownStages {
    /// State of a restarted process, which fetches the endpoint list before its first request, but not the stage.
    pub(super) fn after_restart(&self) -> Self {
        Self {
            lowest_build: self.lowest_build,
            ..Self::default()
        }
    }

    /// Adds an update, unless one with a higher number was added before it.
    pub(super) fn add(&mut self, number: u64, update: StageUpdate) {
        if number >= self.last_number {
            self.last_number = number;
            self.updates.push(update);
        }
    }

    pub(super) fn set_lowest_build(&mut self, build: Option<u16>) {
        self.lowest_build = build;
    }

    /// Whether, by the last update, routing keys that a newer build has served must not be sent to this build.
    pub(super) fn keys_must_avoid(&self, build: u16) -> bool {
        self.updates.last().is_some_and(|last| {
            build < last.build && matches!(last.phase, Phase::OnTrial | Phase::Released)
        })
    }

    /// Cap of a build by the updates up to a time; `None` if the build is not a canary.
    fn cap_at(&self, build: u16, until: Duration, limits: &RuleLimits) -> Option<StageCap> {
        let last = self.updates.iter().rev().find(|update| update.at <= until);
        let Some(last) = last else {
            let is_oldest = self.lowest_build.is_none_or(|lowest| build <= lowest);
            return (!is_oldest).then(|| first_stage(limits));
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

    /// Highest cap that may still apply: that of the last update, or a higher one within the grace period.
    pub(super) fn highest_cap(
        &self,
        build: u16,
        at: Duration,
        grace: Duration,
        limits: &RuleLimits,
    ) -> Option<StageCap> {
        let from = at.saturating_sub(grace);
        let mut highest = self.cap_at(build, from, limits)?;
        for update in &self.updates {
            if update.at <= from || update.at > at {
                continue;
            }
            let updated = self.cap_at(build, update.at, limits)?;
            highest.cap = highest.cap.max(updated.cap);
            highest.stage = highest.stage.max(updated.stage);
        }
        Some(highest)
    }

    /// When the cap of a build was last lowered, by the updates up to a time.
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

/// Cap and stage of a build that no update has named yet.
fn first_stage(limits: &RuleLimits) -> StageCap {
    StageCap {
        cap: limits.exposure_caps[0],
        stage: 0,
    }
}
