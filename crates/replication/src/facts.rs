//! What holds where copies differ. Each rule takes facts in any order, again and again, and comes to the same; and no fact makes
//! any answer less careful.
//!
//! | fact | rule |
//! | --- | --- |
//! | a key met a build | the newest build it met, for as long as any of them lives |
//! | a hit may have run | until each origin that sent it has said, later, that it never ran; else to the end of its life |
//! | a build's stage | of each sidecar its newest word; what to go by: `stage_to_go_by` |

use crate::spread::MOST_LOGS;
use crate::words::{Fact, Mark, Origin, Phase, Stage};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Keys, and hits, that are held at most: beyond, new ones are not, and are counted. Hurts as if nobody had told of them.
const MOST: usize = 500_000;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    left_out: u64,
    met: BTreeMap<u64, (u16, Duration)>,
    /// By tag and origin: its last word's number, the word, and until when it holds.
    hits: BTreeMap<u64, BTreeMap<Origin, (u64, Mark, Duration)>>,
    /// By name: start and number of its last word.
    stages: BTreeMap<String, ((u64, u64), Stage)>,
    /// What is over when, keys first, then tags.
    ends: BTreeSet<(Duration, bool, u64)>,
}

impl Facts {
    /// Takes a fact in, which lives until then. Whether it says something new.
    pub fn take(&mut self, origin: &Origin, no: u64, until: Duration, fact: &Fact) -> bool {
        let full = match fact {
            Fact::Met { key, .. } => self.met.len() >= MOST && !self.met.contains_key(key),
            Fact::Hit { tag, .. } => self.hits.len() >= MOST && !self.hits.contains_key(tag),
            // Names are those of sidecars.
            Fact::Stage(_) => {
                self.stages.len() >= MOST_LOGS && !self.stages.contains_key(&origin.name)
            }
        };
        if full {
            self.left_out += 1;
            return false;
        }
        match *fact {
            Fact::Met { key, build } => {
                let before = self.met.get(&key).copied();
                let (newest, last) = before.unwrap_or((build, until));
                self.met.insert(key, (newest.max(build), last.max(until)));
                self.ends.insert((until, false, key));
                before.is_none_or(|(met, _)| met < build)
            }
            Fact::Hit { tag, mark } => {
                let words = self.hits.entry(tag).or_default();
                let word = words.entry(origin.clone()).or_insert((0, mark, until));
                let fresh = word.0 < no;
                if fresh {
                    *word = (no, mark, until);
                }
                self.ends.insert((until, true, tag));
                fresh
            }
            Fact::Stage(stage) => {
                let place = (origin.start, no);
                let fresh = self
                    .stages
                    .get(&origin.name)
                    .is_none_or(|(known, _)| *known < place);
                if fresh {
                    self.stages.insert(origin.name.clone(), (place, stage));
                }
                fresh
            }
        }
    }

    /// The newest build that a key has met.
    pub fn met(&self, now: Duration, key: u64) -> Option<u16> {
        self.met
            .get(&key)
            .filter(|(_, until)| now < *until)
            .map(|(build, _)| *build)
    }

    /// Whether a hit may have run, at whomever it was.
    pub fn may_have_run(&self, now: Duration, tag: u64) -> bool {
        let words = self.hits.get(&tag).into_iter().flat_map(BTreeMap::values);
        words
            .into_iter()
            .any(|(_, mark, until)| *mark == Mark::MayHaveRun && now < *until)
    }

    /// The newest word of each sidecar on stages, by name.
    pub fn stages(&self) -> impl Iterator<Item = (&str, &Stage)> {
        self.stages
            .iter()
            .map(|(name, (_, stage))| (name.as_str(), stage))
    }

    /// Facts that were left out for want of room.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Keys and hits that are held.
    pub fn held(&self) -> (usize, usize) {
        (self.met.len(), self.hits.len())
    }

    /// Gives up what is over.
    pub fn forget(&mut self, now: Duration) {
        while let Some((until, of_hit, id)) = self
            .ends
            .first()
            .copied()
            .filter(|(until, ..)| *until <= now)
        {
            self.ends.remove(&(until, of_hit, id));
            if of_hit {
                if let Some(words) = self.hits.get_mut(&id) {
                    words.retain(|_, (.., until)| now < *until);
                    if words.is_empty() {
                        self.hits.remove(&id);
                    }
                }
            } else if self.met.get(&id).is_some_and(|(_, until)| *until <= now) {
                self.met.remove(&id);
            }
        }
    }
}

/// By number, where both count; else by build and by how far it has come: of one build a later stage is newer, and an end is newer than a trial.
fn newer(one: &Stage, other: &Stage) -> bool {
    if one.number != 0 && other.number != 0 && one.number != other.number {
        return one.number > other.number;
    }
    (one.build, one.phase, one.stage) > (other.build, other.phase, other.stage)
}

/// Whether a word, newer or of the same moment, only closes what another leaves open: the same build goes back, or has a lower cap.
fn only_closes(word: &Stage, than: &Stage) -> bool {
    let lower = word.phase == Phase::OnTrial && than.phase == Phase::OnTrial && word.cap < than.cap;
    word.build == than.build
        && !newer(than, word)
        && ((goes_back(word) && !goes_back(than)) || lower)
}

fn goes_back(stage: &Stage) -> bool {
    matches!(stage.phase, Phase::GoingBack | Phase::Withdrawn)
}

/// What a new life may go by of what its earlier one was told, until the installer speaks: that a build is on trial or goes back, but no
/// more of it than of a build that nobody announced, as the stages may have gone back meanwhile. Of one that was out nothing.
pub fn known_again(own: Stage, first_cap: f64) -> Option<Stage> {
    match own.phase {
        Phase::OnTrial => Some(Stage {
            stage: 0,
            cap: own.cap.min(first_cap),
            ..own
        }),
        Phase::GoingBack | Phase::Withdrawn => Some(own),
        Phase::Released => None,
    }
}

/// What a sidecar is to go by of others' words, beside what it was told itself, or its earlier life (`told`): of those that only close,
/// the one that closes most, whatever their order. Without anything told only that a build goes back. A newer word that would open
/// something is not taken: the installer says so itself. None: nothing is to change.
pub fn stage_to_go_by<'a>(
    told: Option<Stage>,
    others: impl Iterator<Item = &'a Stage>,
) -> Option<Stage> {
    let closes = |word: &&Stage| told.map_or(goes_back(word), |told| only_closes(word, &told));
    // Where nothing was told the newest build's word is the one that matters.
    let rank = |word: &Stage| {
        (
            goes_back(word),
            word.build,
            word.number,
            word.phase,
            word.stage,
        )
    };
    let order = |a: &&Stage, b: &&Stage| {
        let back = goes_back(a).cmp(&goes_back(b));
        back.then(b.cap.total_cmp(&a.cap).then_with(|| rank(a).cmp(&rank(b))))
    };
    let of_told = others.filter(closes);
    match told {
        Some(_) => of_told.max_by(order).copied(),
        None => of_told
            .max_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| b.cap.total_cmp(&a.cap)))
            .copied(),
    }
}
