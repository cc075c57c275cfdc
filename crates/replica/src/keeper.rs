//! What a sidecar puts up, from what it does itself: pure, with times given in.

use crate::words::{Fact, Mark};
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
pub const CATCHES_UP_WITHIN: Duration = Duration::from_secs(1);
/// Keys that are remembered as told, at most.
const MOST_KEYS: usize = 100_000;

#[derive(Clone, Debug, Default)]
struct Open {
    tag: u64,
    out: u32,
    /// One of its forwards may have run.
    ran: bool,
}

/// Hits under way that may not run twice, by the host's number of them; and which keys were told.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    hits: BTreeMap<u64, Open>,
    keys: BTreeMap<u64, (u16, Duration)>,
}

impl Keeper {
    /// A forward of a tagged hit is about to leave; what is to be put up first.
    pub fn sent(&mut self, hit: u64, tag: u64) -> Option<Fact> {
        let fresh = !self.hits.contains_key(&hit);
        let open = self.hits.entry(hit).or_insert(Open { tag, out: 0, ran: false });
        open.out += 1;
        // Told again once it was said to have never run.
        let told = !fresh && (open.out > 1 || open.ran);
        (!told).then_some(Fact::Hit { tag, mark: Mark::MayHaveRun })
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
        (out == 0 && !ran).then_some(Fact::Hit { tag, mark: Mark::NeverRan })
    }

    /// The hit is over, and nothing of it is out.
    pub fn over(&mut self, hit: u64) {
        if self.hits.get(&hit).is_some_and(|open| open.out == 0) {
            self.hits.remove(&hit);
        }
    }

    /// A key was answered by a build.
    pub fn met(&mut self, now: Duration, key: u64, build: u16) -> Option<Fact> {
        let known = self.keys.get(&key);
        if known.is_some_and(|(met, told)| *met >= build && now < *told + KEYS_FOR.mul_f64(AGAIN_AFTER)) {
            return None;
        }
        let build = known.map_or(build, |(met, _)| build.max(*met));
        if self.keys.len() >= MOST_KEYS {
            self.keys.retain(|_, (_, told)| now < *told + KEYS_FOR.mul_f64(AGAIN_AFTER));
        }
        if self.keys.len() < MOST_KEYS {
            self.keys.insert(key, (build, now));
        }
        Some(Fact::Met { key, build })
    }
}
