//! What whoever leads puts up next: from what is settled, who holds leases, and what it sees of the fleet; times given in.

use crate::leases::Lessor;
use crate::limits::Seen;
use crate::turns::{List, Step, Turns, Way};
use crate::words::{Number, Word};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// It tells what it sees so often, while there is a list.
const SEEN_EVERY: Duration = Duration::from_millis(500);
/// A machine's work is over for so long, in milliseconds, before it is held to be warm: the node list may be late.
const LIST_LATE: u64 = 1_000;

/// A pod as the node list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pod {
    pub machine: String,
    pub zone: String,
    pub strength: f64,
    pub drains: bool,
    /// For how long it has run, in seconds; none: longer than anyone knows.
    pub runs_for: Option<f64>,
}

/// What one sidecar sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sight<'a> {
    pub pods: &'a [Pod],
    /// A pod that runs for so long, in seconds, is warm.
    pub warm_after: f64,
    pub trial: bool,
}

/// Zones that were seen to serve since the process started: one of them that does not is trouble. Hurts where a zone is given
/// up for good: work goes on once whoever leads was started since.
#[derive(Clone, Debug, Default)]
pub struct Zones(BTreeSet<String>);

impl Zones {
    /// The zones of pods that serve now.
    pub fn saw<'a>(&mut self, serving: impl Iterator<Item = &'a str>) {
        for zone in serving {
            if !self.0.contains(zone) {
                self.0.insert(zone.to_owned());
            }
        }
    }

    fn one_is_gone(&self, pods: &[Pod]) -> bool {
        let serves = |zone: &String| pods.iter().any(|pod| pod.zone == *zone && !pod.drains);
        !self.0.iter().all(serves)
    }
}

impl Sight<'_> {
    fn warm(&self, pod: &Pod) -> bool {
        !pod.drains && pod.runs_for.is_none_or(|runs| runs >= self.warm_after)
    }

    /// All pods of a machine serve, and are warm; false if it has none.
    fn is_warm(&self, machine: &str) -> bool {
        let mut pods = self
            .pods
            .iter()
            .filter(|pod| pod.machine == machine)
            .peekable();
        pods.peek().is_some() && pods.all(|pod| self.warm(pod))
    }

    /// What is to be settled of it, by one that has read the log up to a place.
    fn seen(&self, turns: &Turns, upto: u64, zones: &Zones, turned_away: f64) -> Seen {
        let closed: BTreeSet<&str> = turns
            .closed()
            .map(|(machine, _)| machine.name.as_str())
            .collect();
        let listed: BTreeSet<&str> = self.pods.iter().map(|pod| pod.machine.as_str()).collect();
        let ways = turns.lists().values().flat_map(|list| &list.ways);
        let away = ways
            .map(|way| &way.machine)
            .filter(|machine| !listed.contains(machine.name.as_str()));
        let away: BTreeMap<&str, f64> = away
            .map(|machine| (machine.name.as_str(), machine.strength))
            .collect();
        let ready = self
            .pods
            .iter()
            .filter(|pod| self.warm(pod) && !closed.contains(pod.machine.as_str()));
        Seen {
            upto,
            all: self.pods.iter().map(|pod| pod.strength).sum::<f64>() + away.values().sum::<f64>(),
            ready: ready.map(|pod| pod.strength).sum(),
            trouble: zones.one_is_gone(self.pods),
            trial: self.trial,
            turned_away,
        }
    }
}

/// One sidecar's time as leader of one term.
#[derive(Clone, Debug)]
pub struct Leader {
    pub term: u64,
    pub lessor: Lessor,
    next_seen: Duration,
    /// Whether what it sees is settled in its term: a predecessor's picture is no ground for a grant.
    seen: bool,
    /// Up to where its own words go in the log.
    put_up: u64,
}

impl Leader {
    pub fn new(now: Duration, term: u64, lessor: Lessor) -> Self {
        Self {
            term,
            lessor,
            next_seen: now,
            seen: false,
            put_up: 0,
        }
    }

    /// A word of its own stands in the log at this place, settled or not.
    pub fn was_put_up(&mut self, index: u64) {
        self.put_up = self.put_up.max(index);
    }

    /// All its own words are read. What was put up is looked at first: else it is put up twice.
    pub fn has_read(&self, read: u64) -> bool {
        read >= self.put_up
    }

    /// The word to put up now, at this time of the log in milliseconds; for one that has settled a word of its own term and
    /// has read the log up to a place.
    pub fn next(
        &mut self,
        now: Duration,
        log_now: u64,
        (turns, read): (&Turns, u64),
        zones: &Zones,
        sight: &Sight,
    ) -> Option<Word> {
        if !self.has_read(read) || turns.lists().values().all(List::over) {
            return None;
        }
        if now >= self.next_seen {
            (self.next_seen, self.seen) = (now + SEEN_EVERY, true);
            let seen = sight.seen(turns, read, zones, self.lessor.turned_away(now, turns));
            return Some(Word::Seen {
                at: log_now.max(turns.now()),
                seen,
            });
        }
        let unknown = |(no, list): (&Number, &List)| {
            let waits = !list.known && list.whole();
            (waits && self.lessor.unaware(turns, list.whole_at).is_empty()).then_some(*no)
        };
        let known = turns
            .lists()
            .iter()
            .find_map(unknown)
            .map(|list| Word::Known { list });
        let ways = || turns.lists().values().flat_map(|list| &list.ways);
        let clear = |way: &Way| {
            let grant = way.grant.filter(|_| way.step == Step::Granted)?;
            self.lessor
                .not_clear(now, turns, grant)
                .is_empty()
                .then_some(Word::Out { grant })
        };
        let warm = |way: &Way| {
            let grant = way.grant.filter(|_| way.step == Step::Back)?;
            let late = turns.now() < way.since + LIST_LATE;
            (!late && sight.is_warm(&way.machine.name)).then_some(Word::Warm { grant })
        };
        let next = if self.seen { turns.next() } else { None };
        let recall = next
            .clone()
            .filter(|word| matches!(word, Word::Recall { .. }));
        recall
            .or(known)
            .or_else(|| ways().find_map(clear))
            .or_else(|| ways().find_map(warm))
            .or(next)
    }
}

/// Hits are counted over spans of this length, the last whole one and the one that runs.
const COUNTS_OVER: Duration = Duration::from_secs(2);
/// One that had fewer hits counts as one that had so many: a few bad ones are no overload.
const LEAST_HITS: u32 = 20;

/// Which part of its last hits a sidecar turned away.
#[derive(Clone, Debug, Default)]
pub struct TurnedAway {
    since: Duration,
    runs: (u32, u32),
    before: (u32, u32),
}

impl TurnedAway {
    pub fn count(&mut self, now: Duration, hits: u32, turned_away: u32) {
        self.turn(now);
        self.runs = (
            self.runs.0.saturating_add(hits),
            self.runs.1.saturating_add(turned_away),
        );
    }

    fn turn(&mut self, now: Duration) {
        if now >= self.since + COUNTS_OVER {
            let late = now >= self.since + COUNTS_OVER * 2;
            self.before = if late { (0, 0) } else { self.runs };
            (self.since, self.runs) = (now, (0, 0));
        }
    }

    /// In thousandths.
    pub fn part(&mut self, now: Duration) -> u16 {
        self.turn(now);
        let (hits, away) = (self.runs.0 + self.before.0, self.runs.1 + self.before.1);
        (u64::from(away) * 1000 / u64::from(hits.max(LEAST_HITS))).min(1000) as u16
    }
}
