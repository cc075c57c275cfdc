//! What a sidecar puts up of what it does itself, and what it goes by of what is known: times given in.

use crate::facts::{known_again, stage_to_go_by, Facts};
use crate::words::{Fact, Mark, Phase, Stage};
use std::collections::BTreeMap;
use std::time::Duration;

/// For so long a key is known to have met a build. Hurts where a release lasts longer: a key that was last answered before may go
/// back at a sidecar that does not know it by itself.
pub const KEYS_FOR: Duration = Duration::from_secs(600);
/// For so long a hit that may have run is not sent again. A client that tries again later is let through.
pub const HITS_FOR: Duration = Duration::from_secs(120);
pub const STAGES_FOR: Duration = Duration::from_secs(3600);
/// A key's meeting is put up again after this part of its life: it lives on while it is in use.
const AGAIN_AFTER: f64 = 0.5;
/// One that has just started turns away hits that may not run twice until it has caught up, for so long at most.
const CATCHES_UP_WITHIN: Duration = Duration::from_secs(1);
/// Keys that are remembered as told, at most.
const MOST_KEYS: usize = 100_000;

#[derive(Clone, Debug)]
struct Open {
    tag: u64,
    out: u32,
    /// One of its forwards may have run.
    ran: bool,
}

/// Why a hit is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refuses {
    /// Others may know what forbids it, and this sidecar has not caught up.
    NotCaughtUp,
    /// It may not run twice, and may have run.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub struct Own {
    started: Duration,
    /// Whether a key that met a build stays with it, and the cap of a build that nobody announced.
    keys_stay: bool,
    first_cap: f64,
    /// Hits under way that may not run twice, by the host's number of them.
    hits: BTreeMap<u64, Open>,
    /// Keys that were told, each with the build, and when.
    keys: BTreeMap<u64, (u16, Duration)>,
    /// What it goes by, by whomever; and whether the installer spoke in this life.
    told: Option<Stage>,
    heard: bool,
}

impl Own {
    pub fn new(now: Duration, keys_stay: bool, first_cap: f64) -> Self {
        let (hits, keys) = (BTreeMap::new(), BTreeMap::new());
        Self {
            started: now,
            keys_stay,
            first_cap,
            hits,
            keys,
            told: None,
            heard: false,
        }
    }

    /// What it goes by.
    pub fn stage(&self) -> Option<&Stage> {
        self.told.as_ref()
    }

    /// The installer's word; what the others are to be told.
    pub fn stage_told(&mut self, stage: Stage) -> Option<Fact> {
        self.heard = true;
        (self.told.replace(stage) != Some(stage)).then_some(Fact::Stage(stage))
    }

    /// What the module is to be told by what others put up, and by what its earlier life of this name was told.
    pub fn go_by(&mut self, name: &str, facts: &Facts) -> Option<Stage> {
        let own = facts
            .stages()
            .find(|(of, _)| *of == name)
            .map(|(_, stage)| *stage);
        let own = own
            .filter(|_| !self.heard)
            .and_then(|own| known_again(own, self.first_cap));
        let base = self.told.or(own);
        let closes = stage_to_go_by(base, facts.stages().map(|(_, stage)| stage));
        let stage = closes.or(base).filter(|stage| self.told != Some(*stage))?;
        self.told = Some(stage);
        Some(stage)
    }

    /// Whether a hit is not to be sent now: one that may not run twice, by its tag, and may have; or, while this sidecar does not
    /// know yet what the others know, one that may not run twice, or has a key that may have met the newest build.
    pub fn refuses(
        &self,
        now: Duration,
        (facts, caught_up): (&Facts, bool),
        tag: Option<u64>,
        has_key: bool,
    ) -> Option<Refuses> {
        if tag.is_some_and(|tag| facts.may_have_run(now, tag)) {
            return Some(Refuses::MayHaveRun);
        }
        let knows = caught_up || now >= self.started + CATCHES_UP_WITHIN;
        let binds = |stage: &Stage| matches!(stage.phase, Phase::OnTrial | Phase::Released);
        let key_binds = has_key && self.keys_stay && self.told.as_ref().is_some_and(binds);
        (!knows && (tag.is_some() || key_binds)).then_some(Refuses::NotCaughtUp)
    }

    /// A forward of a tagged hit is about to leave; what is to be put up first.
    pub fn sent(&mut self, hit: u64, tag: u64) -> Option<Fact> {
        let fresh = !self.hits.contains_key(&hit);
        let open = self.hits.entry(hit).or_insert(Open {
            tag,
            out: 0,
            ran: false,
        });
        open.out += 1;
        // Told again once it was said to have never run.
        let told = !fresh && (open.out > 1 || open.ran);
        (!told).then_some(Fact::Hit {
            tag,
            mark: Mark::MayHaveRun,
        })
    }

    /// A forward of it ended. With proof that none of them ran, it may go elsewhere.
    pub fn ended(&mut self, hit: u64, never_ran: bool, over: bool) -> Option<Fact> {
        let open = self.hits.get_mut(&hit)?;
        open.out = open.out.saturating_sub(1);
        open.ran |= !never_ran;
        let (tag, out, ran) = (open.tag, open.out, open.ran);
        if over && out == 0 {
            self.hits.remove(&hit);
        }
        (out == 0 && !ran).then_some(Fact::Hit {
            tag,
            mark: Mark::NeverRan,
        })
    }

    /// The hit is over, and nothing of it is out.
    pub fn over(&mut self, hit: u64) {
        if self.hits.get(&hit).is_some_and(|open| open.out == 0) {
            self.hits.remove(&hit);
        }
    }

    /// A key was answered by a build. Of builds older than the newest announced nobody asks: a key can't go back to what is older still.
    pub fn met(&mut self, now: Duration, key: u64, build: u16) -> Option<Fact> {
        if !self.keys_stay || self.told.is_none_or(|told| build < told.build) {
            return None;
        }
        let known = self.keys.get(&key);
        if known
            .is_some_and(|(met, told)| *met >= build && now < *told + KEYS_FOR.mul_f64(AGAIN_AFTER))
        {
            return None;
        }
        let build = known.map_or(build, |(met, _)| build.max(*met));
        if self.keys.len() >= MOST_KEYS {
            self.keys
                .retain(|_, (_, told)| now < *told + KEYS_FOR.mul_f64(AGAIN_AFTER));
        }
        if self.keys.len() < MOST_KEYS {
            self.keys.insert(key, (build, now));
        }
        Some(Fact::Met { key, build })
    }
}
