//! Lists, machines and how far each is on its way.

use crate::limits::{bears, Seen, Why};
use crate::words::{Machine, Number, Terms, Word, MOST_LISTS, MOST_MACHINES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Sidecars that are known, at most.
const MOST_SIDECARS: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Waits,
    Granted,
    Out,
    Back,
    Done,
    /// The machine said that the work failed, or said nothing for too long while it was out.
    Failed,
}

impl Step {
    /// Whether it counts as out: it may serve nothing, or is cold.
    pub fn is_out(self) -> bool {
        matches!(self, Step::Granted | Step::Out | Step::Back)
    }
}

/// How far one machine is, for one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Way {
    pub machine: Machine,
    pub step: Step,
    /// The grant it goes by, and since when, in the log's time, it stands at this step.
    pub grant: Option<Number>,
    pub since: u64,
    /// The work began, and is taking longer than it may.
    pub began: bool,
    pub stalled: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The place in the log where it was asked for.
    pub asked: u64,
    pub terms: Terms,
    pub machines: u16,
    /// The place in the log where its last machine came, and whether all sidecars know them.
    pub whole_at: u64,
    pub known: bool,
    pub held: bool,
    pub withdrawn: bool,
    pub ways: Vec<Way>,
}

impl List {
    pub fn whole(&self) -> bool {
        self.ways.len() == usize::from(self.machines)
    }

    fn overloaded(&self, seen: &Seen) -> bool {
        seen.turned_away > self.terms.limits.turned_away
    }

    /// Nothing is to be done for it any more.
    pub fn over(&self) -> bool {
        let settled = |way: &Way| match way.step {
            Step::Done | Step::Failed => true,
            Step::Waits => self.withdrawn,
            _ => false,
        };
        (self.whole() || self.withdrawn) && self.ways.iter().all(settled)
    }
}

/// Why a settled word changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("there is such a list")]
    Known,
    #[error("no such list")]
    NoList,
    #[error("no such machine on the list, or not one that waits")]
    NoMachine,
    #[error("no such grant, or not at the step before")]
    NoGrant,
    #[error("the machine is out for another list")]
    Taken,
    #[error("more than {MOST_LISTS} lists, {MOST_MACHINES} machines or {MOST_SIDECARS} sidecars, or a later start is known")]
    Many,
    #[error("a part that does not follow the one before")]
    Part,
    #[error("time that goes back")]
    Time,
    #[error("not now: {0}")]
    NotNow(Why),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Turns {
    now: u64,
    lists: BTreeMap<Number, List>,
    /// Sidecars that may send, by name, each with its start.
    sidecars: BTreeMap<String, u64>,
    seen: Option<Seen>,
}

impl Turns {
    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn lists(&self) -> &BTreeMap<Number, List> {
        &self.lists
    }

    pub fn sidecars(&self) -> &BTreeMap<String, u64> {
        &self.sidecars
    }

    fn ways(&self) -> impl Iterator<Item = (Number, &Way)> {
        self.lists
            .iter()
            .flat_map(|(list, of)| of.ways.iter().map(|way| (*list, way)))
    }

    /// The way that goes by a grant.
    pub fn of(&self, grant: Number) -> Option<(Number, &Way)> {
        self.ways().find(|(_, way)| way.grant == Some(grant))
    }

    /// Machines that nobody is to send to: from the grant until the work is over.
    pub fn closed(&self) -> impl Iterator<Item = (&Machine, Number)> {
        let closed = |way: &&Way| matches!(way.step, Step::Granted | Step::Out);
        let ways = self.ways().map(|(_, way)| way).filter(closed);
        ways.filter_map(|way| Some((&way.machine, way.grant?)))
    }

    fn out(&self) -> Vec<&Machine> {
        self.ways()
            .filter(|(_, way)| way.step.is_out())
            .map(|(_, way)| &way.machine)
            .collect()
    }

    /// Whether a machine that waits may go out now.
    ///
    /// # Errors
    /// Why not.
    pub fn may_go(&self, list: Number, machine: &str) -> Result<(), Refused> {
        let of = self.lists.get(&list).ok_or(Refused::NoList)?;
        let waits = |way: &&Way| way.machine.name == machine && way.step == Step::Waits;
        let way = of.ways.iter().find(waits).ok_or(Refused::NoMachine)?;
        if of.held || of.withdrawn || !of.whole() {
            return Err(Refused::NotNow(Why::Held));
        }
        if !of.known {
            return Err(Refused::NotNow(Why::NotKnown));
        }
        let out = self.out();
        if out.iter().any(|other| other.name == machine) {
            return Err(Refused::Taken);
        }
        let within = |window: &crate::words::Window| {
            window.from <= self.now && self.now + of.terms.takes <= window.to
        };
        if !of.terms.windows.is_empty() && !of.terms.windows.iter().any(within) {
            return Err(Refused::NotNow(Why::Window));
        }
        let seen = self.seen.as_ref().ok_or(Refused::NotNow(Why::Unseen))?;
        let later = |(_, way): &(Number, &Way)| {
            way.step.is_out() && way.grant.is_some_and(|no| no.0 > seen.upto)
        };
        let since: f64 = self
            .ways()
            .filter(later)
            .map(|(_, way)| way.machine.strength)
            .sum();
        if seen.trouble {
            return Err(Refused::NotNow(Why::Trouble));
        }
        if of.overloaded(seen) {
            return Err(Refused::NotNow(Why::Overload));
        }
        if seen.trial && !of.terms.beside_trials {
            return Err(Refused::NotNow(Why::Trial));
        }
        // Whatever list has a machine out, its limits hold for one more.
        let owners = self
            .lists
            .iter()
            .filter(|(no, other)| **no == list || other.ways.iter().any(|way| way.step.is_out()));
        for (_, other) in owners {
            bears(&other.terms.limits, &way.machine, &out, seen, since).map_err(Refused::NotNow)?;
        }
        Ok(())
    }

    /// Takes a settled word in, at its place in the log.
    ///
    /// # Errors
    /// Why it changes nothing: the same for all who read the log.
    pub fn apply(&mut self, index: u64, word: &Word) -> Result<(), Refused> {
        let no = Number(index);
        match word {
            Word::Ask {
                list,
                terms,
                machines,
            } => {
                if self.lists.contains_key(list) {
                    return Err(Refused::Known);
                }
                // The oldest of those that are over make room.
                let over = self.lists.iter().filter(|(_, list)| list.over());
                let oldest = over.min_by_key(|(_, list)| list.asked).map(|(no, _)| *no);
                if let Some(oldest) = oldest.filter(|_| self.lists.len() >= MOST_LISTS) {
                    self.lists.remove(&oldest);
                }
                let asked = index;
                if self.lists.len() >= MOST_LISTS || usize::from(*machines) > MOST_MACHINES {
                    return Err(Refused::Many);
                }
                let of = List {
                    asked,
                    terms: terms.clone(),
                    machines: *machines,
                    whole_at: index,
                    known: false,
                    held: false,
                    withdrawn: false,
                    ways: Vec::new(),
                };
                self.lists.insert(*list, of);
            }
            Word::Machines {
                list,
                first,
                machines,
            } => {
                let now = self.now;
                let of = self.lists.get_mut(list).ok_or(Refused::NoList)?;
                let follows = usize::from(*first) == of.ways.len()
                    && of.ways.len() + machines.len() <= usize::from(of.machines);
                let twice =
                    |machine: &Machine| of.ways.iter().any(|way| way.machine.name == machine.name);
                if !follows || machines.iter().any(twice) {
                    return Err(Refused::Part);
                }
                let way = |machine: &Machine| Way {
                    machine: machine.clone(),
                    step: Step::Waits,
                    grant: None,
                    since: now,
                    began: false,
                    stalled: false,
                };
                of.ways.extend(machines.iter().map(way));
                of.whole_at = index;
            }
            Word::Known { list } => {
                let of = self.list(*list)?;
                if !of.whole() {
                    return Err(Refused::NotNow(Why::Held));
                }
                of.known = true;
            }
            Word::Here { name, start } => {
                let full =
                    self.sidecars.len() >= MOST_SIDECARS && !self.sidecars.contains_key(name);
                if full || self.sidecars.get(name).is_some_and(|known| known >= start) {
                    return Err(Refused::Many);
                }
                self.sidecars.insert(name.clone(), *start);
            }
            Word::Gone { name, start } => self
                .sidecars
                .retain(|known, of| known != name || of != start),
            Word::Hold { list } => self.list(*list)?.held = true,
            Word::GoOn { list } => self.list(*list)?.held = false,
            Word::Withdraw { list } => self.list(*list)?.withdrawn = true,
            Word::Seen { at, seen } => {
                if *at < self.now {
                    return Err(Refused::Time);
                }
                self.now = *at;
                self.seen = Some(seen.clone());
                self.look_for_stalls();
            }
            Word::Grant { list, machine } => {
                self.may_go(*list, machine)?;
                let now = self.now;
                let of = self.list(*list)?;
                let way = of
                    .ways
                    .iter_mut()
                    .find(|way| way.machine.name == *machine)
                    .ok_or(Refused::NoMachine)?;
                (way.step, way.grant, way.since) = (Step::Granted, Some(no), now);
            }
            Word::Out { grant } => self.step(*grant, &[Step::Granted], Step::Out)?,
            Word::Began { grant } => {
                let now = self.now;
                let way = self.way(*grant, &[Step::Out])?;
                // Told twice, it began once.
                if !way.began {
                    (way.began, way.since) = (true, now);
                }
            }
            Word::Worked { grant, well: true } => self.step(*grant, &[Step::Out], Step::Back)?,
            Word::Worked { grant, well: false } => self.step(*grant, &[Step::Out], Step::Failed)?,
            Word::Warm { grant } => self.step(*grant, &[Step::Back], Step::Done)?,
            Word::Recall { grant } => {
                // What may be worked on already is not taken back by a word: it comes back by the machine's.
                let way = self.way(*grant, &[Step::Granted])?;
                (way.step, way.grant) = (Step::Waits, None);
            }
        }
        Ok(())
    }

    fn list(&mut self, list: Number) -> Result<&mut List, Refused> {
        self.lists.get_mut(&list).ok_or(Refused::NoList)
    }

    fn way(&mut self, grant: Number, at: &[Step]) -> Result<&mut Way, Refused> {
        let mut ways = self
            .lists
            .values_mut()
            .flat_map(|list| list.ways.iter_mut());
        ways.find(|way| way.grant == Some(grant) && at.contains(&way.step))
            .ok_or(Refused::NoGrant)
    }

    fn step(&mut self, grant: Number, from: &[Step], to: Step) -> Result<(), Refused> {
        let now = self.now;
        let way = self.way(grant, from)?;
        (way.step, way.since, way.stalled) = (to, now, false);
        Ok(())
    }

    /// A machine that is out for too long is told as stalled; it stays out, as nobody knows what is done to it, and counts.
    fn look_for_stalls(&mut self) {
        let now = self.now;
        for list in self.lists.values_mut() {
            let most = list.terms.stalls_after;
            for way in list.ways.iter_mut().filter(|way| way.step == Step::Out) {
                way.stalled = now > way.since + most;
            }
        }
    }

    /// The word that whoever leads is to put up now, besides what it is told: a grant, or what takes one back.
    pub fn next(&self) -> Option<Word> {
        let trouble = self.seen.as_ref().is_some_and(|seen| seen.trouble);
        let granted = |(_, way): &(Number, &Way)| way.step == Step::Granted;
        let stops = |list: &List| {
            list.withdrawn
                || list.held
                || self.seen.as_ref().is_some_and(|seen| list.overloaded(seen))
        };
        let back = self
            .ways()
            .filter(granted)
            .find(|(list, _)| trouble || self.lists.get(list).is_some_and(stops));
        if let Some(grant) = back.and_then(|(_, way)| way.grant) {
            return Some(Word::Recall { grant });
        }
        let mut lists: Vec<(&Number, &List)> = self.lists.iter().collect();
        // The older of two of one priority first.
        lists.sort_by_key(|(no, list)| (std::cmp::Reverse(list.terms.priority), list.asked, **no));
        let mut waits = lists
            .into_iter()
            .flat_map(|(no, list)| list.ways.iter().map(|way| (*no, way)));
        let goes = |(no, way): &(Number, &Way)| {
            way.step == Step::Waits && self.may_go(*no, &way.machine.name).is_ok()
        };
        let (list, way) = waits.find(goes)?;
        Some(Word::Grant {
            list,
            machine: way.machine.name.clone(),
        })
    }

    /// Whether all that a word is to bring about is so: it need not be put up again.
    pub fn shows(&self, word: &Word) -> bool {
        let of = |list: &Number| self.lists.get(list);
        match word {
            Word::Ask { list, .. } => of(list).is_some(),
            Word::Machines {
                list,
                first,
                machines,
            } => of(list).is_some_and(|of| of.ways.len() >= usize::from(*first) + machines.len()),
            Word::Hold { list } => of(list).is_none_or(|of| of.held),
            Word::GoOn { list } => of(list).is_none_or(|of| !of.held),
            Word::Withdraw { list } => of(list).is_none_or(|of| of.withdrawn),
            Word::Began { grant } => self
                .of(*grant)
                .is_none_or(|(_, way)| way.began || way.step != Step::Out),
            Word::Worked { grant, .. } => self
                .of(*grant)
                .is_none_or(|(_, way)| !matches!(way.step, Step::Granted | Step::Out)),
            Word::Gone { name, start } => self.sidecars.get(name) != Some(start),
            Word::Known { .. } | Word::Here { .. } => true,
            Word::Seen { .. }
            | Word::Grant { .. }
            | Word::Out { .. }
            | Word::Warm { .. }
            | Word::Recall { .. } => true,
        }
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The state as it was written; none if it can't be read.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
