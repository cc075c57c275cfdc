//! What holds where copies differ. Each rule takes facts in any order, again and again, and comes to the same; and no fact makes
//! any answer less careful.
//!
//! | fact | rule |
//! | --- | --- |
//! | a key met a build | the newest build it met, for as long as any of them lives |
//! | a hit may have run | until each origin that sent it has said, later, that it never ran; else to the end of its life |
//! | a build's stage | of each sidecar its newest word; what to go by: `most_restrictive_stage` |

use crate::spread::MAX_LOGS;
use crate::words::{ExecutionMark, Origin, Phase, Record, Stage};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Keys, and hits, that are held at most: beyond, new ones are not, and are counted. Hurts as if nobody had told of them.
const MAX_IDENTIFIERS: usize = 500_000;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedState {
    dropped_records: u64,
    keys: BTreeMap<u64, (u16, Duration)>,
    /// By tag and origin: its last word's number, the word, and until when it holds.
    executions: BTreeMap<u64, BTreeMap<Origin, (u64, ExecutionMark, Duration)>>,
    /// By name: start and number of its last word.
    stages: BTreeMap<String, ((u64, u64), Stage)>,
    /// What is over when, keys first, then tags.
    expiries: BTreeSet<(Duration, bool, u64)>,
}

impl MergedState {
    /// Takes a fact in, which lives until then. Whether it says something new.
    pub fn apply(&mut self, origin: &Origin, no: u64, until: Duration, fact: &Record) -> bool {
        let full = match fact {
            Record::KeyServed { key, .. } => {
                self.keys.len() >= MAX_IDENTIFIERS && !self.keys.contains_key(key)
            }
            Record::Execution {
                idempotency_key: tag,
                ..
            } => self.executions.len() >= MAX_IDENTIFIERS && !self.executions.contains_key(tag),
            // Names are those of sidecars.
            Record::Stage(_) => {
                self.stages.len() >= MAX_LOGS && !self.stages.contains_key(&origin.name)
            }
        };
        if full {
            self.dropped_records += 1;
            return false;
        }
        match *fact {
            Record::KeyServed { key, build } => {
                let before = self.keys.get(&key).copied();
                let (newest, last) = before.unwrap_or((build, until));
                self.keys.insert(key, (newest.max(build), last.max(until)));
                self.expiries.insert((until, false, key));
                before.is_none_or(|(met, _)| met < build)
            }
            Record::Execution {
                idempotency_key: tag,
                mark,
            } => {
                let words = self.executions.entry(tag).or_default();
                let word = words.entry(origin.clone()).or_insert((0, mark, until));
                let fresh = word.0 < no;
                if fresh {
                    *word = (no, mark, until);
                }
                self.expiries.insert((until, true, tag));
                fresh
            }
            Record::Stage(stage) => {
                let place = (origin.incarnation, no);
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
    pub fn newest_build_served(&self, now: Duration, key: u64) -> Option<u16> {
        self.keys
            .get(&key)
            .filter(|(_, until)| now < *until)
            .map(|(build, _)| *build)
    }

    /// Whether a hit may have run, at whomever it was.
    pub fn may_have_run(&self, now: Duration, tag: u64) -> bool {
        let words = self
            .executions
            .get(&tag)
            .into_iter()
            .flat_map(BTreeMap::values);
        words
            .into_iter()
            .any(|(_, mark, until)| *mark == ExecutionMark::MayHaveRun && now < *until)
    }

    /// The newest word of each sidecar on stages, by name.
    pub fn stages(&self) -> impl Iterator<Item = (&str, &Stage)> {
        self.stages
            .iter()
            .map(|(name, (_, stage))| (name.as_str(), stage))
    }

    /// Facts that were left out for want of room.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Keys and hits that are held.
    pub fn key_and_request_counts(&self) -> (usize, usize) {
        (self.keys.len(), self.executions.len())
    }

    /// Gives up what is over.
    pub fn expire(&mut self, now: Duration) {
        while let Some((until, of_hit, id)) = self
            .expiries
            .first()
            .copied()
            .filter(|(until, ..)| *until <= now)
        {
            self.expiries.remove(&(until, of_hit, id));
            if of_hit {
                if let Some(words) = self.executions.get_mut(&id) {
                    words.retain(|_, (.., until)| now < *until);
                    if words.is_empty() {
                        self.executions.remove(&id);
                    }
                }
            } else if self.keys.get(&id).is_some_and(|(_, until)| *until <= now) {
                self.keys.remove(&id);
            }
        }
    }
}

/// By number, where both count; else by build and by how far it has come: of one build a later stage is newer, and an end is newer than a trial.
fn is_newer(one: &Stage, other: &Stage) -> bool {
    if one.number != 0 && other.number != 0 && one.number != other.number {
        return one.number > other.number;
    }
    (one.build, one.phase, one.stage) > (other.build, other.phase, other.stage)
}

/// Whether a word, newer or of the same moment, only closes what another leaves open: the same build goes back, or has a lower cap.
fn only_restricts(word: &Stage, than: &Stage) -> bool {
    let lower = word.phase == Phase::OnTrial && than.phase == Phase::OnTrial && word.cap < than.cap;
    word.build == than.build
        && !is_newer(than, word)
        && ((is_rollback(word) && !is_rollback(than)) || lower)
}

fn is_rollback(stage: &Stage) -> bool {
    matches!(stage.phase, Phase::RollingBack | Phase::RolledBack)
}

/// What a new life may go by of what its earlier one was told, until the installer speaks: that a build is on trial or goes back, but no
/// more of it than of a build that nobody announced, as the stages may have gone back meanwhile. Of one that was out nothing.
pub fn stage_after_restart(own: Stage, first_cap: f64) -> Option<Stage> {
    match own.phase {
        Phase::OnTrial => Some(Stage {
            stage: 0,
            cap: own.cap.min(first_cap),
            ..own
        }),
        Phase::RollingBack | Phase::RolledBack => Some(own),
        Phase::Released => None,
    }
}

/// What a sidecar is to go by of others' words, beside what it was told itself, or its earlier life (`told`): of those that only close,
/// the one that closes most, whatever their order. Without anything told only that a build goes back. A newer word that would open
/// something is not taken: the installer says so itself. None: nothing is to change.
pub fn most_restrictive_stage<'a>(
    told: Option<Stage>,
    others: impl Iterator<Item = &'a Stage>,
) -> Option<Stage> {
    let closes = |word: &&Stage| told.map_or(is_rollback(word), |told| only_restricts(word, &told));
    // Where nothing was told the newest build's word is the one that matters.
    let rank = |word: &Stage| {
        (
            is_rollback(word),
            word.build,
            word.number,
            word.phase,
            word.stage,
        )
    };
    let order = |a: &&Stage, b: &&Stage| {
        let back = is_rollback(a).cmp(&is_rollback(b));
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
