//! What a sidecar puts up of what it does itself, and what it goes by of what is known: times given in.

use crate::facts::{most_restrictive_stage, stage_after_restart, MergedState};
use crate::words::{ExecutionMark, Phase, Record, Stage};
use std::collections::BTreeMap;
use std::time::Duration;

/// For so long a key is known to have met a build. Hurts where a release lasts longer: a key that was last answered before may go
/// back at a sidecar that does not know it by itself.
pub const KEY_TIME_TO_LIVE: Duration = Duration::from_secs(600);
/// For so long a hit that may have run is not sent again. A client that tries again later is let through.
pub const EXECUTION_TIME_TO_LIVE: Duration = Duration::from_secs(120);
pub const STAGE_TIME_TO_LIVE: Duration = Duration::from_secs(3600);
/// A key's meeting is put up again after this part of its life: it lives on while it is in use.
const REFRESH_FRACTION: f64 = 0.5;
/// One that has just started turns away hits that may not run twice until it has caught up, for so long at most.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_secs(1);
/// Keys that are remembered as told, at most.
const MAX_KEYS: usize = 100_000;

#[derive(Clone, Debug)]
struct OpenRequest {
    idempotency_key: u64,
    attempts_in_flight: u32,
    /// One of its forwards may have run.
    may_have_run: bool,
}

/// Why a hit is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Others may know what forbids it, and this sidecar has not caught up.
    NotCaughtUp,
    /// It may not run twice, and may have run.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct LocalState {
    started_at: Duration,
    /// Whether a key that met a build stays with it, and the cap of a build that nobody announced.
    sticky_keys: bool,
    first_cap: f64,
    /// Hits under way that may not run twice, by the host's number of them.
    requests: BTreeMap<u64, OpenRequest>,
    /// Keys that were told, each with the build, and when.
    published_keys: BTreeMap<u64, (u16, Duration)>,
    /// What it goes by, by whomever; and whether the installer spoke in this life.
    stage: Option<Stage>,
    announced_directly: bool,
}

impl LocalState {
    pub fn new(now: Duration, keys_stay: bool, first_cap: f64) -> Self {
        let (hits, keys) = (BTreeMap::new(), BTreeMap::new());
        Self {
            started_at: now,
            sticky_keys: keys_stay,
            first_cap,
            requests: hits,
            published_keys: keys,
            stage: None,
            announced_directly: false,
        }
    }

    /// What it goes by.
    pub fn stage(&self) -> Option<&Stage> {
        self.stage.as_ref()
    }

    /// The installer's word; what the others are to be told.
    pub fn stage_announced(&mut self, stage: Stage) -> Option<Record> {
        self.announced_directly = true;
        (self.stage.replace(stage) != Some(stage)).then_some(Record::Stage(stage))
    }

    /// What the module is to be told by what others put up, and by what its earlier life of this name was told.
    pub fn merge_stages(&mut self, name: &str, facts: &MergedState) -> Option<Stage> {
        let own = facts
            .stages()
            .find(|(of, _)| *of == name)
            .map(|(_, stage)| *stage);
        let own = own
            .filter(|_| !self.announced_directly)
            .and_then(|own| stage_after_restart(own, self.first_cap));
        let base = self.stage.or(own);
        let closes = most_restrictive_stage(base, facts.stages().map(|(_, stage)| stage));
        let stage = closes.or(base).filter(|stage| self.stage != Some(*stage))?;
        self.stage = Some(stage);
        Some(stage)
    }

    /// Whether a hit is not to be sent now: one that may not run twice, by its tag, and may have; or, while this sidecar does not
    /// know yet what the others know, one that may not run twice, or has a key that may have met the newest build.
    pub fn refusal(
        &self,
        now: Duration,
        (facts, caught_up): (&MergedState, bool),
        tag: Option<u64>,
        has_key: bool,
    ) -> Option<Refusal> {
        if tag.is_some_and(|tag| facts.may_have_run(now, tag)) {
            return Some(Refusal::MayHaveRun);
        }
        let knows = caught_up || now >= self.started_at + MAX_CATCH_UP_WAIT;
        let binds = |stage: &Stage| matches!(stage.phase, Phase::OnTrial | Phase::Released);
        let key_binds = has_key && self.sticky_keys && self.stage.as_ref().is_some_and(binds);
        (!knows && (tag.is_some() || key_binds)).then_some(Refusal::NotCaughtUp)
    }

    /// A forward of a tagged hit is about to leave; what is to be put up first.
    pub fn attempt_started(&mut self, hit: u64, tag: u64) -> Option<Record> {
        let fresh = !self.requests.contains_key(&hit);
        let open = self.requests.entry(hit).or_insert(OpenRequest {
            idempotency_key: tag,
            attempts_in_flight: 0,
            may_have_run: false,
        });
        open.attempts_in_flight += 1;
        // Told again once it was said to have never run.
        let told = !fresh && (open.attempts_in_flight > 1 || open.may_have_run);
        (!told).then_some(Record::Execution {
            idempotency_key: tag,
            mark: ExecutionMark::MayHaveRun,
        })
    }

    /// A forward of it ended. With proof that none of them ran, it may go elsewhere.
    pub fn attempt_ended(&mut self, hit: u64, never_ran: bool, over: bool) -> Option<Record> {
        let open = self.requests.get_mut(&hit)?;
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        open.may_have_run |= !never_ran;
        let (tag, out, ran) = (
            open.idempotency_key,
            open.attempts_in_flight,
            open.may_have_run,
        );
        if over && out == 0 {
            self.requests.remove(&hit);
        }
        (out == 0 && !ran).then_some(Record::Execution {
            idempotency_key: tag,
            mark: ExecutionMark::NeverRan,
        })
    }

    /// The hit is over, and nothing of it is out.
    pub fn request_finished(&mut self, hit: u64) {
        if self
            .requests
            .get(&hit)
            .is_some_and(|open| open.attempts_in_flight == 0)
        {
            self.requests.remove(&hit);
        }
    }

    /// A key was answered by a build. Of builds older than the newest announced nobody asks: a key can't go back to what is older still.
    pub fn key_served(&mut self, now: Duration, key: u64, build: u16) -> Option<Record> {
        if !self.sticky_keys || self.stage.is_none_or(|told| build < told.build) {
            return None;
        }
        let known = self.published_keys.get(&key);
        if known.is_some_and(|(met, told)| {
            *met >= build && now < *told + KEY_TIME_TO_LIVE.mul_f64(REFRESH_FRACTION)
        }) {
            return None;
        }
        let build = known.map_or(build, |(met, _)| build.max(*met));
        if self.published_keys.len() >= MAX_KEYS {
            self.published_keys
                .retain(|_, (_, told)| now < *told + KEY_TIME_TO_LIVE.mul_f64(REFRESH_FRACTION));
        }
        if self.published_keys.len() < MAX_KEYS {
            self.published_keys.insert(key, (build, now));
        }
        Some(Record::KeyServed { key, build })
    }
}
