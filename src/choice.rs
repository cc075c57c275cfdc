//! Every decision of limewing: which pod a hit goes to, what counts as evidence, when to vote, when to give up.
//!
//! How to call it: make one `Sidecar` for each instance with its start terms, then give every event to `handle`
//! and carry out the actions it returns, in order. The words of both sides are in `interface`. Nothing else is
//! read: the same events give the same actions.
//!
//! Inside, the parts (pods, desk, gate, judge, lister) talk only by notes in inboxes that one loop empties.
//! A hit's way: gate (taken) -> desk (pick) -> gate (the five rules) -> forward -> gate (outcome) -> pod, desk,
//! judge. `docs/design.md` tells what is the design's and what is ours.

use crate::inbox::Inboxes;
use crate::interface::*;
use crate::ledger::{DueTimes, Rate, Window};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How often the one periodic timer fires.
const BEAT: Duration = Duration::from_millis(20);
/// Evidence: the design's least sample and least time, and how long a stage may be held for it.
const LEAST_SAMPLE: usize = 20;
const LEAST_TIME: Duration = Duration::from_secs(3);
const LONGEST_HOLD: Duration = Duration::from_secs(3);
/// The design's margins for a vote back: error points over the earlier build, and times its median latency.
const ERROR_MARGIN: f64 = 0.05;
const SLOW_MARGIN: f64 = 1.5;
/// A cold pod gets at most this multiple of the load that warm pods of its present strength bear.
const COLD_LOAD: f64 = 1.4;
/// Rates are smoothed over this time.
const RATE_OVER: Duration = Duration::from_secs(2);
/// Further forwards for each hit taken, and the most that can be saved up.
const SPARE_PER_HIT: f64 = 0.15;
const SPARE_MOST: f64 = 20.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum To {
    Pod(PodId),
    Desk,
    Gate,
    Judge,
    Lister,
}

/// What the parts tell each other.
#[derive(Clone)]
enum Note {
    List(ListNews),
    Listed(PodEntry),
    Taken(Hit),
    Ask { hit: HitId, pod: PodId },
    Refused { hit: HitId, pod: PodId, why: Refusal },
    Sent { hit: HitId, no: ForwardNo },
    Back(Outcome),
    Ended(Ended),
    Streams(HitId),
    End(HitId),
    Call(HitId, ForwardNo),
    Over(HitId),
    Stage(StageNews),
    VoteAnswered(VoteAnswer),
    Tally { build: BuildId, group: GroupId, forwards: u32, failed: u32 },
    Flagged { pod: PodId, group: GroupId },
    Card(Card),
    Doubt(HitId, ForwardNo),
    Retry(HitId),
    Beat,
    Watch,
}

/// A forward that ended, with what the gate knew of it.
#[derive(Clone)]
struct Ended {
    outcome: Outcome,
    group: GroupId,
    build: BuildId,
    sent: Duration,
    open: bool,
}

/// Why the gate turned a forward down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    Over,
    MayHaveRun,
    Drained,
    Cold,
    Exposed,
    KeyStays,
}

enum Due {
    Doubt(HitId, ForwardNo),
    Retry(HitId),
    Watch,
}

/// What every part needs in a round: the time, the inboxes, the due times, chance, and what goes out.
struct Round {
    now: Duration,
    mail: Inboxes<To, Note>,
    due: DueTimes<Due>,
    chance: WyRand,
    out: Vec<Action>,
}

impl Round {
    fn tell<const N: usize>(&mut self, parts: [To; N], note: &Note) {
        parts.into_iter().for_each(|to| self.mail.put(to, note.clone()));
    }

    fn chance(&mut self) -> f64 {
        (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub struct Sidecar {
    round: Round,
    pods: BTreeMap<PodId, Pod>,
    desk: Desk,
    gate: Gate,
    judge: Judge,
    lister: Lister,
    next_beat: Duration,
}

impl Sidecar {
    pub fn new(now: Duration, terms: StartTerms) -> Self {
        let chance = WyRand::new_seed(terms.seed);
        let round =
            Round { now, mail: Inboxes::default(), due: DueTimes::default(), chance, out: Vec::new() };
        Self {
            round,
            pods: BTreeMap::new(),
            desk: Desk::new(now, &terms),
            gate: Gate::new(&terms),
            judge: Judge::new(&terms),
            lister: Lister { on_request: terms.list_on_request, held: BTreeMap::new(), watched: false },
            next_beat: now,
        }
    }

    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.round.now = now;
        for event in events {
            self.sort(event);
            self.empty();
        }
        while let Some(due) = self.round.due.take(now) {
            match due {
                Due::Doubt(hit, no) => self.round.mail.put(To::Desk, Note::Doubt(hit, no)),
                Due::Retry(hit) => self.round.mail.put(To::Desk, Note::Retry(hit)),
                Due::Watch => self.round.mail.put(To::Lister, Note::Watch),
            }
            self.empty();
        }
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.round.out.push(Action::Wake { at: self.next_beat, id: TimerId(0) });
            let pods: Vec<PodId> = self.pods.keys().copied().collect();
            pods.into_iter().for_each(|pod| self.round.mail.put(To::Pod(pod), Note::Beat));
            self.round.tell([To::Gate, To::Desk, To::Judge], &Note::Beat);
            self.empty();
        }
        std::mem::take(&mut self.round.out)
    }

    fn sort(&mut self, event: Event) {
        let mail = &mut self.round.mail;
        match event {
            Event::List(news) => mail.put(To::Lister, Note::List(news)),
            Event::Hit(hit) => mail.put(To::Gate, Note::Taken(hit)),
            Event::Outcome(outcome) => mail.put(To::Gate, Note::Back(outcome)),
            Event::StreamStarted { hit } => mail.put(To::Gate, Note::Streams(hit)),
            Event::Left(hit) => mail.put(To::Gate, Note::Over(hit)),
            Event::Timer(_) | Event::Probed { .. } => {}
            Event::Stage { news, answer } => {
                if let Some(news) = news {
                    self.round.tell([To::Gate, To::Desk, To::Judge], &Note::Stage(news));
                }
                if let Some(answer) = answer {
                    self.round.mail.put(To::Judge, Note::VoteAnswered(answer));
                }
            }
            Event::Tally { build, group, forwards, failed, .. } => {
                mail.put(To::Judge, Note::Tally { build, group, forwards, failed })
            }
            Event::Flagged { pod, group, .. } => mail.put(To::Judge, Note::Flagged { pod, group }),
        }
    }

    /// The one loop: hands each note to its addressee until all inboxes are empty.
    fn empty(&mut self) {
        while let Some((to, note)) = self.round.mail.take() {
            let round = &mut self.round;
            match to {
                To::Pod(id) => match (self.pods.get_mut(&id), note) {
                    (None, Note::Listed(entry)) => {
                        let (zone, aims) =
                            (self.desk.zone, self.desk.lines.iter().map(|l| l.target).collect());
                        let pod = self.pods.entry(id).or_insert(Pod::new(entry, zone, aims));
                        pod.post_card(round);
                    }
                    (Some(pod), note) => pod.take(note, round),
                    (None, _) => {}
                },
                To::Desk => self.desk.take(note, round),
                To::Gate => self.gate.take(note, round),
                To::Judge => self.judge.take(note, round),
                To::Lister => self.lister.take(note, round),
            }
        }
    }
}

/// Watches the list and tells pods, gate and judge what changed.
struct Lister {
    on_request: bool,
    held: BTreeMap<PodId, PodEntry>,
    watched: bool,
}

impl Lister {
    fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::List(ListNews::Change(rows)) => rows.into_iter().for_each(|row| self.tell(row, round)),
            Note::List(ListNews::Whole(rows) | ListNews::Remembered(rows)) => {
                let gone = self.held.values().filter(|old| rows.iter().all(|row| row.pod != old.pod));
                let gone: Vec<PodEntry> =
                    gone.map(|old| PodEntry { state: PodState::Gone, ..old.clone() }).collect();
                gone.into_iter().chain(rows).for_each(|row| self.tell(row, round));
                if self.on_request && !self.watched {
                    self.watched = true;
                    round.out.push(Action::Watch);
                }
            }
            // A broken or refused watch is asked for again, spread out so that all sidecars don't ask at once.
            Note::List(ListNews::Failed) => {
                let wait = 0.3 + 0.7 * round.chance();
                round.due.put(round.now + Duration::from_secs_f64(wait), Due::Watch);
            }
            Note::Watch => round.out.push(Action::Watch),
            _ => {}
        }
    }

    fn tell(&mut self, mut row: PodEntry, round: &mut Round) {
        let known = self.held.get(&row.pod);
        // A start that nobody dated: a pod that is new to a watched list may be cold.
        if row.started.is_none() && self.watched && known.is_none_or(|k| k.state == PodState::Gone) {
            row.started = Some(round.now);
        } else if row.started.is_none() {
            row.started = known.filter(|k| k.build == row.build).and_then(|k| k.started);
        }
        self.held.insert(row.pod, row.clone());
        round.tell([To::Gate, To::Pod(row.pod), To::Judge], &Note::Listed(row));
    }
}

/// One pod as this sidecar sees it.
struct Pod {
    entry: PodEntry,
    near: bool,
    aims: Vec<Duration>,
    open: BTreeMap<(HitId, ForwardNo), Duration>,
    last_answer: Duration,
    /// Recent time taken, as a share of the target latency.
    pace: f64,
    strikes: u32,
    shut_until: Duration,
    quiet: bool,
}

/// A pod's own account of itself for the desk.
#[derive(Clone)]
struct Card {
    pod: PodId,
    build: BuildId,
    ready: bool,
    started: Option<Duration>,
    size: f64,
    near: bool,
    open: usize,
    pace: f64,
    usable: bool,
    /// Shut, but due for a hit that shows whether it is back.
    wants_proof: bool,
}

impl Pod {
    fn new(entry: PodEntry, zone: ZoneId, aims: Vec<Duration>) -> Self {
        let near = entry.zone == zone;
        Self {
            entry,
            near,
            aims,
            open: BTreeMap::new(),
            last_answer: Duration::ZERO,
            pace: 0.0,
            strikes: 0,
            shut_until: Duration::ZERO,
            quiet: false,
        }
    }

    fn take(&mut self, note: Note, round: &mut Round) {
        let now = round.now;
        match note {
            Note::Listed(entry) => {
                // A restart or another build under the same id: what was seen of it is void.
                if entry.started != self.entry.started || entry.build != self.entry.build {
                    (self.pace, self.strikes, self.shut_until) = (0.0, 0, Duration::ZERO);
                }
                self.entry = entry;
            }
            Note::Sent { hit, no } => {
                self.open.insert((hit, no), now);
            }
            Note::Ended(ended) => {
                self.open.remove(&(ended.outcome.hit, ended.outcome.no));
                self.learn(&ended, now);
            }
            Note::Beat => {
                // Takes hits and answers none: seen by its oldest open forward against its usual time.
                let oldest = self.open.values().min().copied();
                let usual =
                    Duration::from_secs_f64(self.aims[0].as_secs_f64() * (0.15 + 3.0 * self.pace.max(0.05)));
                let was = self.quiet;
                self.quiet = oldest.is_some_and(|sent| now > sent.max(self.last_answer) + usual);
                if was == self.quiet && self.shut_until.is_zero() {
                    return;
                }
            }
            _ => {}
        }
        self.post_card(round);
    }

    fn learn(&mut self, ended: &Ended, now: Duration) {
        let aim = self.aims[usize::from(ended.group.0)].as_secs_f64();
        let took = ended.outcome.took.as_secs_f64() / aim;
        match ended.outcome.fate {
            Fate::Delivered | Fate::Errored => {
                self.last_answer = now;
                (self.strikes, self.shut_until, self.quiet) = (0, Duration::ZERO, false);
                self.pace = if self.pace == 0.0 { took } else { self.pace * 0.9 + took * 0.1 };
            }
            // No connection, a reset, silence: shut for a while, longer each time.
            Fate::Unreached | Fate::Broken | Fate::TimedOut => {
                self.strikes += 1;
                let limit = if ended.outcome.fate == Fate::TimedOut { 2 } else { 1 };
                if self.strikes >= limit {
                    let wait = 0.25 * f64::from(1 << self.strikes.min(4));
                    self.shut_until = now + Duration::from_secs_f64(wait);
                }
            }
            Fate::TurnedAway => self.pace = self.pace * 0.9 + 0.1,
            Fate::Cancelled | Fate::Void => {}
        }
    }

    fn post_card(&mut self, round: &mut Round) {
        let (now, ready) = (round.now, self.entry.state == PodState::Ready);
        let shut = !self.shut_until.is_zero();
        let card = Card {
            pod: self.entry.pod,
            build: self.entry.build,
            ready,
            started: self.entry.started,
            size: self.entry.size.max(0.01),
            near: self.near,
            open: self.open.len(),
            pace: self.pace,
            usable: ready && !shut && !self.quiet,
            wants_proof: ready && shut && now >= self.shut_until && self.open.is_empty(),
        };
        round.mail.put(To::Desk, Note::Card(card));
    }
}

/// How cold pods grow: at least evenly from a share to the whole.
#[derive(Clone, Copy)]
struct Warming {
    from: f64,
    over: Duration,
}

impl Warming {
    fn strength(&self, started: Option<Duration>, now: Duration) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = now.saturating_sub(started).as_secs_f64() / self.over.as_secs_f64().max(1e-6);
        (self.from + (1.0 - self.from) * age).min(1.0)
    }
}

/// The ledger of one hit, as the rules need it.
struct Account {
    group: GroupId,
    key: Option<KeyId>,
    due: Duration,
    forwards: Vec<Sent>,
    over: bool,
    streams: bool,
}

struct Sent {
    pod: PodId,
    build: BuildId,
    zone: ZoneId,
    cell: CellId,
    at: Duration,
    fate: Option<Fate>,
}

impl Sent {
    fn may_have_run(&self) -> bool {
        self.fate.is_none_or(|fate| !fate.never_ran())
    }
}

/// What the gate knows of a pod.
struct Place {
    entry: PodEntry,
    /// When this sidecar was told that it drains or is gone.
    ended: Option<Duration>,
    sends: Window,
}

/// Keeps the five rules: every forward and every final answer passes here.
struct Gate {
    repeat: Vec<Repeat>,
    second_copies: bool,
    max_forwards: usize,
    retry_after: Duration,
    grace: Duration,
    warming: Warming,
    fall_within: Duration,
    caps: Vec<f64>,
    cap_window: Duration,
    cap_free: f64,
    cap_by_group: bool,
    guarded_stages: u8,
    keys_stay: bool,
    may_cancel: bool,
    news: Option<StageNews>,
    places: BTreeMap<PodId, Place>,
    accounts: BTreeMap<HitId, Account>,
    taken: Vec<Window>,
    exposed: BTreeMap<(BuildId, usize), Window>,
    met: BTreeMap<KeyId, BuildId>,
    answered: Rate,
}

impl Gate {
    fn new(terms: &StartTerms) -> Self {
        let (rules, release) = (&terms.rules, &terms.release);
        Self {
            repeat: terms.groups.iter().map(|g| g.repeat).collect(),
            second_copies: terms.second_copies,
            max_forwards: terms.max_forwards.into(),
            retry_after: terms.retry_after.unwrap_or_default(),
            grace: rules.drain_grace,
            warming: Warming { from: rules.cold_from, over: rules.cold_for },
            fall_within: rules.fall_within,
            caps: release.caps.clone(),
            cap_window: release.cap_window,
            cap_free: release.cap_free,
            cap_by_group: release.cap_by_group,
            guarded_stages: release.guarded_stages,
            keys_stay: release.keys_stay,
            may_cancel: terms.may_cancel,
            news: None,
            places: BTreeMap::new(),
            accounts: BTreeMap::new(),
            taken: vec![Window::default(); terms.groups.len()],
            exposed: BTreeMap::new(),
            met: BTreeMap::new(),
            answered: Rate::default(),
        }
    }

    fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Listed(entry) => self.list(entry, round.now),
            Note::Taken(hit) => self.open(hit, round),
            Note::Ask { hit, pod } => match self.allow(hit, pod, round.now) {
                Ok(()) => self.send(hit, pod, round),
                Err(why) => round.mail.put(To::Desk, Note::Refused { hit, pod, why }),
            },
            Note::Back(outcome) => self.end_forward(outcome, round),
            Note::Streams(hit) => {
                if let Some(account) = self.accounts.get_mut(&hit) {
                    account.streams = true;
                }
            }
            Note::End(hit) => self.answer(hit, round),
            Note::Call(hit, no) => {
                let open = self.accounts.get(&hit).is_some_and(|a| !a.streams);
                if self.may_cancel && open {
                    round.out.push(Action::Cancel { hit, no });
                }
            }
            Note::Over(hit) => {
                if let Some(account) = self.accounts.get_mut(&hit) {
                    account.over = true;
                    self.tidy(hit, round);
                    round.mail.put(To::Desk, Note::Over(hit));
                }
            }
            Note::Stage(news) => self.news = Some(news),
            Note::Beat => {
                let from = round.now.saturating_sub(self.cap_window);
                self.taken.iter_mut().chain(self.exposed.values_mut()).for_each(|w| w.forget(from));
            }
            _ => {}
        }
    }

    fn list(&mut self, entry: PodEntry, now: Duration) {
        let fresh = || Place { entry: entry.clone(), ended: None, sends: Window::default() };
        let place = self.places.entry(entry.pod).or_insert_with(fresh);
        if entry.started != place.entry.started {
            place.sends.clear();
        }
        place.ended = match entry.state {
            PodState::Ready => None,
            _ => place.ended.or(Some(now)),
        };
        place.entry = entry;
    }

    fn open(&mut self, hit: Hit, round: &mut Round) {
        if usize::from(hit.group.0) >= self.repeat.len() || self.accounts.contains_key(&hit.id) {
            return;
        }
        let counter = self.counter(hit.group);
        self.taken[counter].note(round.now);
        let account = Account {
            group: hit.group,
            key: hit.key,
            due: hit.due,
            forwards: Vec::new(),
            over: false,
            streams: false,
        };
        self.accounts.insert(hit.id, account);
        round.mail.put(To::Desk, Note::Taken(hit));
    }

    fn counter(&self, group: GroupId) -> usize {
        if self.cap_by_group {
            group.0.into()
        } else {
            0
        }
    }

    /// The five rules for one forward.
    fn allow(&self, hit: HitId, pod: PodId, now: Duration) -> Result<(), Refusal> {
        let account = self.accounts.get(&hit).ok_or(Refusal::Over)?;
        let place = self.places.get(&pod).ok_or(Refusal::Drained)?;
        if account.over
            || account.streams
            || now >= account.due
            || account.forwards.len() >= self.max_forwards
        {
            return Err(Refusal::Over);
        }
        self.allow_repeat(account, &place.entry, now)?;
        if place.ended.is_some_and(|told| now >= told + self.grace) {
            return Err(Refusal::Drained);
        }
        self.allow_cold(place, now)?;
        self.allow_exposure(account, place.entry.build, now)
    }

    /// Rule 2: a second effect is possible only where an earlier forward may have run.
    fn allow_repeat(&self, account: &Account, to: &PodEntry, now: Duration) -> Result<(), Refusal> {
        if !self.second_copies && account.forwards.iter().any(|f| f.fate.is_none()) {
            return Err(Refusal::MayHaveRun);
        }
        let mut ran = account.forwards.iter().filter(|f| f.may_have_run());
        let fine = match self.repeat[usize::from(account.group.0)] {
            Repeat::Repeatable => true,
            Repeat::Mutating => ran.next().is_none(),
            Repeat::Tagged { drops_repeats, memory } => ran.all(|f| {
                let reached = match drops_repeats {
                    Reach::All => true,
                    Reach::Zone => f.zone == to.zone,
                    Reach::Cell => f.cell == to.cell,
                };
                reached && now < f.at + memory
            }),
        };
        fine.then_some(()).ok_or(Refusal::MayHaveRun)
    }

    /// Rule 4, with no word between sidecars: each keeps a cold pod's load to what it gives warm strength, so
    /// that the sum does too, however unequal their traffic.
    fn allow_cold(&self, place: &Place, now: Duration) -> Result<(), Refusal> {
        let strength = self.warming.strength(place.entry.started, now);
        if strength >= 1.0 {
            return Ok(());
        }
        let ready = self.places.values().filter(|p| p.entry.state == PodState::Ready);
        let whole: f64 =
            ready.map(|p| p.entry.size.max(0.01) * self.warming.strength(p.entry.started, now)).sum();
        let fair = self.answered.now(now, RATE_OVER) / whole.max(0.01);
        let most = fair * place.entry.size.max(0.01) * strength * COLD_LOAD * self.fall_within.as_secs_f64();
        let sent = place.sends.since(now.saturating_sub(self.fall_within));
        ((sent as f64) < most + 1.0).then_some(()).ok_or(Refusal::Cold)
    }

    /// The cap of a build on trial; none for builds that are not.
    fn cap(&self, build: BuildId) -> Option<(f64, u8)> {
        let unannounced = Some((self.caps[0], 0));
        let Some(news) = self.news else {
            let lowest = self.places.values().filter(|p| p.ended.is_none()).map(|p| p.entry.build).min();
            return if lowest.is_some_and(|l| build > l) { unannounced } else { None };
        };
        match build.cmp(&news.build) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal if news.phase == Phase::Released => None,
            std::cmp::Ordering::Equal => Some((news.cap, news.stage.0)),
            std::cmp::Ordering::Greater => unannounced,
        }
    }

    /// Rule 5. A lower cap is kept from the moment it is told, without the grace.
    fn allow_exposure(&self, account: &Account, build: BuildId, now: Duration) -> Result<(), Refusal> {
        if let Some(news) = self.news.filter(|n| self.keys_stay && build < n.build) {
            let stays = matches!(news.phase, Phase::OnTrial | Phase::Released);
            let met = account.key.and_then(|key| self.met.get(&key));
            if stays && met.is_some_and(|met| *met > build) {
                return Err(Refusal::KeyStays);
            }
        }
        let Some((cap, stage)) = self.cap(build) else {
            return Ok(());
        };
        let repeatable = self.repeat[usize::from(account.group.0)] == Repeat::Repeatable;
        if cap <= 0.0 || (stage < self.guarded_stages && !repeatable) {
            return Err(Refusal::Exposed);
        }
        let counter = self.counter(account.group);
        // Hits near the window's far edge are left out: they fall out of it before the forwards made for them.
        let sent =
            self.exposed.get(&(build, counter)).map_or(0, |w| w.since(now.saturating_sub(self.cap_window)));
        let taken = self.taken[counter].since(now.saturating_sub(self.cap_window.mul_f64(0.9)));
        let fits = (sent + 1) as f64 <= self.cap_free + cap * taken as f64;
        fits.then_some(()).ok_or(Refusal::Exposed)
    }

    fn send(&mut self, hit: HitId, pod: PodId, round: &mut Round) {
        let (Some(account), Some(place)) = (self.accounts.get_mut(&hit), self.places.get_mut(&pod)) else {
            return;
        };
        let (no, group, entry) = (ForwardNo(account.forwards.len() as u16), account.group, &place.entry);
        let (build, zone, cell) = (entry.build, entry.zone, entry.cell);
        account.forwards.push(Sent { pod, build, zone, cell, at: round.now, fate: None });
        place.sends.note(round.now);
        place.sends.forget(round.now.saturating_sub(self.fall_within));
        let counter = self.counter(group);
        self.exposed.entry((build, counter)).or_default().note(round.now);
        round.out.push(Action::Forward { hit, pod, within: Duration::ZERO });
        round.tell([To::Pod(pod), To::Desk], &Note::Sent { hit, no });
    }

    fn end_forward(&mut self, outcome: Outcome, round: &mut Round) {
        let Some(account) = self.accounts.get_mut(&outcome.hit) else {
            return;
        };
        let Some(sent) = account.forwards.get_mut(usize::from(outcome.no.0)) else {
            return;
        };
        if sent.fate.is_some() {
            return;
        }
        sent.fate = Some(outcome.fate);
        let (pod, build, at) = (sent.pod, sent.build, sent.at);
        let was_open = !account.over;
        account.over |= outcome.over;
        if outcome.fate == Fate::Delivered {
            self.answered.add(round.now, RATE_OVER);
            if let Some(key) = account.key.filter(|_| self.keys_stay) {
                let met = self.met.entry(key).or_insert(build);
                *met = build.max(*met);
            }
        }
        let (hit, group, open) = (outcome.hit, account.group, was_open && !account.over);
        let ended = Ended { outcome, group, build, sent: at, open };
        round.tell([To::Pod(pod), To::Desk, To::Judge], &Note::Ended(ended));
        self.tidy(hit, round);
    }

    /// A hit that is given up: bounced where a retry does no harm, errored elsewhere.
    fn answer(&mut self, hit: HitId, round: &mut Round) {
        let Some(account) = self.accounts.get_mut(&hit).filter(|a| !a.over && !a.streams) else {
            return;
        };
        account.over = true;
        let ran = account.forwards.iter().any(Sent::may_have_run);
        let harmless = match self.repeat[usize::from(account.group.0)] {
            Repeat::Repeatable => true,
            Repeat::Tagged { drops_repeats, .. } => !ran || drops_repeats == Reach::All,
            Repeat::Mutating => !ran,
        };
        round.out.push(match harmless {
            true => Action::Bounce { hit, retry_after: self.retry_after },
            false => Action::Fail { hit },
        });
        self.tidy(hit, round);
        round.mail.put(To::Desk, Note::Over(hit));
    }

    /// Calls off what is still out for a hit that is over, and closes its account once nothing is.
    fn tidy(&mut self, hit: HitId, round: &mut Round) {
        let Some(account) = self.accounts.get(&hit).filter(|a| a.over) else {
            return;
        };
        let out: Vec<u16> =
            (0u16..).zip(&account.forwards).filter(|(_, f)| f.fate.is_none()).map(|(n, _)| n).collect();
        if out.is_empty() {
            self.accounts.remove(&hit);
        } else if self.may_cancel && !account.streams {
            out.into_iter().for_each(|n| round.out.push(Action::Cancel { hit, no: ForwardNo(n) }));
        }
    }
}

/// What the desk needs of a path group.
struct Line {
    target: Duration,
    /// Until when an answer is worth anything to speak of.
    useful: Duration,
    /// Mean benefit of all groups over this one's: over 1 for the cheap.
    cheapness: f64,
    repeats: bool,
    /// Mean time of delivered forwards, in seconds.
    usual: f64,
}

struct OpenHit {
    group: GroupId,
    arrived: Duration,
    due: Duration,
    out: u32,
    tried: Vec<PodId>,
    refused: Vec<PodId>,
    no_trial: bool,
}

/// Holds the open hits and picks pods for them.
struct Desk {
    zone: ZoneId,
    second_copies: bool,
    stage_shares: Vec<f64>,
    caps: Vec<f64>,
    warming: Warming,
    lines: Vec<Line>,
    cards: BTreeMap<PodId, Card>,
    hits: BTreeMap<HitId, OpenHit>,
    news: Option<StageNews>,
    spare: f64,
    out: usize,
    finished: Rate,
    target: f64,
    since: Duration,
}

impl Desk {
    fn new(now: Duration, terms: &StartTerms) -> Self {
        let mean = terms.groups.iter().map(|g| g.benefit).sum::<f64>() / terms.groups.len() as f64;
        let line = |g: &PathGroup| Line {
            target: g.target_latency,
            useful: if g.late_benefit > 0.0 { g.client_timeout } else { g.target_latency },
            cheapness: mean / g.benefit.max(1e-6),
            repeats: g.repeat != Repeat::Mutating,
            usual: g.target_latency.as_secs_f64() * 0.2,
        };
        Self {
            zone: terms.zone,
            second_copies: terms.second_copies,
            stage_shares: terms.release.stage_shares.clone(),
            caps: terms.release.caps.clone(),
            warming: Warming { from: terms.rules.cold_from, over: terms.rules.cold_for },
            lines: terms.groups.iter().map(line).collect(),
            cards: BTreeMap::new(),
            hits: BTreeMap::new(),
            news: None,
            spare: SPARE_MOST,
            out: 0,
            finished: Rate::default(),
            since: now,
            target: terms.groups.iter().map(|g| g.target_latency.as_secs_f64()).fold(f64::MAX, f64::min),
        }
    }

    fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Taken(hit) => self.arrive(hit, round),
            Note::Card(card) => {
                self.cards.insert(card.pod, card);
            }
            Note::Refused { hit, pod, why } => {
                if let Some(open) = self.hits.get_mut(&hit) {
                    open.refused.push(pod);
                    open.no_trial |= why == Refusal::Exposed;
                    match why {
                        Refusal::Over if open.out == 0 => round.mail.put(To::Gate, Note::End(hit)),
                        Refusal::Over => {}
                        _ => self.place(hit, round),
                    }
                }
            }
            Note::Sent { hit, no } => {
                self.out += 1;
                if let Some(open) = self.hits.get_mut(&hit) {
                    open.out += 1;
                    let line = &self.lines[usize::from(open.group.0)];
                    if line.repeats {
                        let patience = (3.0 * line.usual).max(0.4 * line.target.as_secs_f64());
                        round.due.put(round.now + Duration::from_secs_f64(patience), Due::Doubt(hit, no));
                    }
                }
            }
            Note::Ended(ended) => self.end_forward(ended, round),
            Note::Doubt(hit, no) => self.doubt(hit, no, round),
            Note::Retry(hit) => self.place(hit, round),
            Note::Over(hit) => {
                self.hits.remove(&hit);
            }
            Note::Stage(news) => self.news = Some(news),
            _ => {}
        }
    }

    fn arrive(&mut self, hit: Hit, round: &mut Round) {
        self.spare = (self.spare + SPARE_PER_HIT).min(SPARE_MOST);
        let line = &self.lines[usize::from(hit.group.0)];
        let shed = (self.overload(round.now) * 2.0 * line.cheapness).min(1.0);
        let open = OpenHit {
            group: hit.group,
            arrived: round.now,
            due: hit.due,
            out: 0,
            tried: Vec::new(),
            refused: Vec::new(),
            no_trial: false,
        };
        self.hits.insert(hit.id, open);
        if shed > 0.0 && round.chance() < shed {
            round.mail.put(To::Gate, Note::End(hit.id));
        } else {
            self.place(hit.id, round);
        }
    }

    /// How far the wait ahead of a new hit, by Little's law, is past what the target latency bears: 0 to 1.
    fn overload(&self, now: Duration) -> f64 {
        // Before the first answers there is no rate to go by.
        if now < self.since + RATE_OVER {
            return 0.0;
        }
        let open: usize = self.cards.values().filter(|c| c.usable).map(|c| c.open).sum();
        let wait = open as f64 / self.finished.now(now, RATE_OVER).max(5.0);
        ((wait / self.target - 0.6) / 0.6).clamp(0.0, 1.0)
    }

    /// The split: the share of hits that the build on trial gets, by its machines, stage and cap.
    fn trial_share(&self, now: Duration) -> (Option<BuildId>, f64) {
        let newest = self.cards.values().filter(|c| c.ready).map(|c| c.build).max();
        let trial = match (self.news, newest) {
            (Some(n), Some(b)) if b > n.build => Some((b, 0, self.caps[0])),
            (Some(n), Some(b)) if b == n.build && n.phase != Phase::Released => Some((b, n.stage.0, n.cap)),
            (None, Some(b)) if self.cards.values().any(|c| c.ready && c.build < b) => {
                Some((b, 0, self.caps[0]))
            }
            _ => None,
        };
        let Some((build, stage, cap)) = trial else {
            return (None, 0.0);
        };
        let strength = |c: &Card| c.size * self.warming.strength(c.started, now);
        let usable = || self.cards.values().filter(|c| c.usable);
        let whole: f64 = usable().map(strength).sum();
        let new: f64 = usable().filter(|c| c.build == build).map(strength).sum();
        let told = self.stage_shares.get(usize::from(stage)).copied().unwrap_or(1.0);
        (Some(build), (new / whole.max(1e-9)).min(told).min(cap))
    }

    fn place(&mut self, hit: HitId, round: &mut Round) {
        let (trial, share) = self.trial_share(round.now);
        let draw = round.chance();
        let Some(open) = self.hits.get(&hit) else { return };
        let on_trial = |c: &Card| trial == Some(c.build);
        let want_trial = !open.no_trial && draw < share;
        let fits = |c: &&Card| !open.refused.contains(&c.pod) && !open.tried.contains(&c.pod);
        let line = &self.lines[usize::from(open.group.0)];
        let proof = |c: &&Card| c.wants_proof && line.repeats && open.tried.is_empty() && !on_trial(c);
        let best = |side: bool| {
            let cards = self.cards.values().filter(|c| c.usable && on_trial(c) == side).filter(fits);
            cards.min_by(|a, b| self.cost(a, round.now).total_cmp(&self.cost(b, round.now))).map(|c| c.pod)
        };
        let pick = self.cards.values().filter(proof).find(fits).map(|c| c.pod);
        let pick = pick.or_else(|| best(want_trial)).or_else(|| best(!want_trial && !open.no_trial));
        // Nothing healthy: a pod that is only quiet or shut is better than none.
        let last = || {
            let cards = self.cards.values().filter(|c| c.ready && !on_trial(c)).filter(fits);
            cards.min_by(|a, b| self.cost(a, round.now).total_cmp(&self.cost(b, round.now))).map(|c| c.pod)
        };
        let pick = pick.or_else(|| if open.out == 0 { last() } else { None });
        match pick {
            Some(pod) => round.mail.put(To::Gate, Note::Ask { hit, pod }),
            None if open.out > 0 => {}
            None => self.wait(hit, round),
        }
    }

    /// No pod may have it now: it waits while an answer could still be worth something.
    fn wait(&mut self, hit: HitId, round: &mut Round) {
        let Some(open) = self.hits.get_mut(&hit) else {
            return;
        };
        (open.no_trial, open.refused) = (false, Vec::new());
        open.tried.clear();
        let line = &self.lines[usize::from(open.group.0)];
        let last = (open.arrived + line.target.mul_f64(0.7)).min(open.due.saturating_sub(BEAT * 3));
        if round.now < last {
            round.due.put(round.now + BEAT, Due::Retry(hit));
        } else {
            round.mail.put(To::Gate, Note::End(hit));
        }
    }

    fn cost(&self, card: &Card, now: Duration) -> f64 {
        let strength = card.size * self.warming.strength(card.started, now);
        let far = if card.near { 1.0 } else { 1.1 };
        (card.open as f64 + 1.0) * card.pace.max(0.02) * far / strength
    }

    fn end_forward(&mut self, ended: Ended, round: &mut Round) {
        self.out = self.out.saturating_sub(1);
        let line = &mut self.lines[usize::from(ended.group.0)];
        if ended.outcome.fate == Fate::Delivered {
            self.finished.add(round.now, RATE_OVER);
            line.usual = line.usual * 0.95 + ended.outcome.took.as_secs_f64() * 0.05;
        }
        let hit = ended.outcome.hit;
        if !ended.open {
            self.hits.remove(&hit);
            return;
        }
        let Some(open) = self.hits.get_mut(&hit) else {
            return;
        };
        open.out = open.out.saturating_sub(1);
        open.tried.push(ended.outcome.pod);
        if open.out > 0 {
            return;
        }
        let worth = round.now + Duration::from_secs_f64(line.usual * 0.5) < open.arrived + line.useful;
        let again = ended.outcome.fate.never_ran() || line.repeats;
        if again && worth && round.now + BEAT < open.due && self.spare >= 1.0 {
            self.spare -= 1.0;
            (open.no_trial, open.refused) = (true, Vec::new());
            self.place(hit, round);
        } else {
            round.mail.put(To::Gate, Note::End(hit));
        }
    }

    /// A forward takes unusually long: a copy where that is allowed, else it is called off and sent anew.
    fn doubt(&mut self, hit: HitId, no: ForwardNo, round: &mut Round) {
        let Some(open) = self.hits.get_mut(&hit).filter(|o| o.out == 1) else {
            return;
        };
        let line = &self.lines[usize::from(open.group.0)];
        let worth = round.now + Duration::from_secs_f64(line.usual) < open.arrived + line.useful;
        if !worth || self.spare < 1.0 {
            return;
        }
        if self.second_copies {
            self.spare -= 1.0;
            (open.no_trial, open.refused) = (true, Vec::new());
            self.place(hit, round);
        } else {
            round.mail.put(To::Gate, Note::Call(hit, no));
        }
    }
}

/// What was seen of one build in one stage.
#[derive(Default, Clone)]
struct Sample {
    groups: BTreeMap<GroupId, Count>,
    pods: BTreeMap<PodId, Vec<f64>>,
}

#[derive(Default, Clone, Copy)]
struct Count {
    seen: usize,
    bad: usize,
    flagged: usize,
}

impl Sample {
    fn all(&self) -> Count {
        self.groups.values().fold(Count::default(), |a, c| Count {
            seen: a.seen + c.seen,
            bad: a.bad + c.bad,
            flagged: a.flagged + c.flagged,
        })
    }

    fn times(&self) -> Vec<f64> {
        self.pods.values().flatten().copied().collect()
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Whether `new` is worse than `old` by more than `margin` and more than chance explains.
fn worse(new: (usize, usize), old: (usize, usize), margin: f64) -> bool {
    let rate = |(bad, seen): (usize, usize)| bad as f64 / (seen as f64).max(1.0);
    let spread = |(bad, seen): (usize, usize)| {
        let p = (bad as f64 + 0.5) / (seen as f64 + 1.0);
        p * (1.0 - p) / (seen as f64).max(1.0)
    };
    let noise = (spread(new) + spread(old)).sqrt();
    new.0 >= 3 && rate(new) - rate(old) > margin + 1.5 * noise
}

/// Gathers evidence on the build on trial and votes.
struct Judge {
    control: Control,
    vote_life: Duration,
    answer_within: Duration,
    aims: Vec<f64>,
    warm_after: Duration,
    news: Option<StageNews>,
    since: Duration,
    pods: BTreeMap<PodId, PodEntry>,
    new: Sample,
    old: Sample,
    /// Figures of the earlier build from before this stage.
    before: Sample,
    standing: Option<(Verdict, BuildId, StageNo, Duration)>,
    asked: Option<(Verdict, BuildId, StageNo, Duration)>,
    not_before: Duration,
}

impl Judge {
    fn new(terms: &StartTerms) -> Self {
        Self {
            control: terms.release.control,
            vote_life: terms.release.vote_life,
            answer_within: terms.release.vote_answer_within,
            aims: terms.groups.iter().map(|g| g.target_latency.as_secs_f64()).collect(),
            warm_after: terms.rules.cold_for,
            news: None,
            since: Duration::ZERO,
            pods: BTreeMap::new(),
            new: Sample::default(),
            old: Sample::default(),
            before: Sample::default(),
            standing: None,
            asked: None,
            not_before: Duration::ZERO,
        }
    }

    fn take(&mut self, note: Note, round: &mut Round) {
        match note {
            Note::Listed(entry) => {
                self.pods.insert(entry.pod, entry);
            }
            Note::Stage(news) => self.enter(news, round.now),
            Note::Ended(ended) => self.count(&ended),
            Note::Flagged { pod, group } => {
                let Some(build) = self.pods.get(&pod).map(|p| p.build) else {
                    return;
                };
                if let Some(sample) = self.sample(build) {
                    sample.groups.entry(group).or_default().flagged += 1;
                }
            }
            Note::VoteAnswered(answer) => {
                let Some(asked) = self.asked.take() else { return };
                match answer {
                    VoteAnswer::Counted | VoteAnswer::Moot => self.standing = Some(asked),
                    _ => self.not_before = round.now + BEAT * 15,
                }
            }
            Note::Beat => self.vote(round),
            _ => {}
        }
    }

    /// Evidence is gathered afresh each stage.
    fn enter(&mut self, news: StageNews, now: Duration) {
        let same =
            self.news.is_some_and(|n| (n.build, n.stage, n.phase) == (news.build, news.stage, news.phase));
        if !same {
            if self.old.all().seen >= LEAST_SAMPLE {
                self.before = std::mem::take(&mut self.old);
            }
            (self.new, self.old, self.since) = (Sample::default(), Sample::default(), now);
        }
        self.news = Some(news);
    }

    fn sample(&mut self, build: BuildId) -> Option<&mut Sample> {
        let news = self.news?;
        match build.cmp(&news.build) {
            std::cmp::Ordering::Less => Some(&mut self.old),
            std::cmp::Ordering::Equal => Some(&mut self.new),
            std::cmp::Ordering::Greater => None,
        }
    }

    fn count(&mut self, ended: &Ended) {
        let fate = ended.outcome.fate;
        let told = fate.never_ran() || fate == Fate::Cancelled;
        if told || ended.sent < self.since {
            return;
        }
        let cold = self.pods.get(&ended.outcome.pod).and_then(|p| p.started);
        let cold = cold.is_some_and(|started| ended.sent < started + self.warm_after);
        let took = ended.outcome.took.as_secs_f64() / self.aims[usize::from(ended.group.0)];
        let Some(sample) = self.sample(ended.build) else {
            return;
        };
        let count = sample.groups.entry(ended.group).or_default();
        count.seen += 1;
        // A reset is the mark of a dying pod, not of a build.
        count.bad += usize::from(matches!(fate, Fate::Errored));
        if fate == Fate::Delivered && !cold {
            sample.pods.entry(ended.outcome.pod).or_default().push(took);
        }
    }

    fn verdict(&self, now: Duration) -> Verdict {
        let Some(news) = self.news else {
            return Verdict::Withhold;
        };
        if !matches!(news.phase, Phase::OnTrial | Phase::Released) {
            return Verdict::Withhold;
        }
        let of_build = self.pods.values().filter(|p| p.build == news.build && p.state == PodState::Ready);
        let newest = of_build.filter_map(|p| p.started).max().unwrap_or(self.since).max(self.since);
        let short = self.new.all().seen < LEAST_SAMPLE || now < newest + LEAST_TIME;
        if self.new.all().seen >= LEAST_SAMPLE && self.is_bad() {
            return Verdict::Back;
        }
        match (news.phase, self.control) {
            (Phase::OnTrial, Control::Votes) if !short => Verdict::On,
            (Phase::OnTrial, Control::Clock) if short && now < self.since + LONGEST_HOLD => Verdict::Hold,
            _ => Verdict::Withhold,
        }
    }

    fn is_bad(&self) -> bool {
        let old = if self.old.all().seen >= LEAST_SAMPLE { &self.old } else { &self.before };
        let pairs = self.new.groups.iter().map(|(g, c)| (*c, old.groups.get(g).copied().unwrap_or_default()));
        let mut pairs = pairs.chain([(self.new.all(), old.all())]);
        let wrong = pairs.any(|(n, o)| {
            worse((n.bad, n.seen), (o.bad, o.seen), ERROR_MARGIN)
                || worse((n.flagged, n.seen), (o.flagged, o.seen), 0.01)
        });
        wrong || self.is_slow()
    }

    /// Slower by more than chance explains, on most of its pods so that one sick pod does not speak for the
    /// build, and only beside an earlier build that bears the same load now: the last stage starts a whole cold
    /// fleet, whose queues would look like a slow build against times remembered from before.
    fn is_slow(&self) -> bool {
        let (new, old) = (self.new.times(), self.old.times());
        if new.len().min(old.len()) < LEAST_SAMPLE {
            return false;
        }
        let noise = 2.0 * 1.44 * (1.0 / new.len() as f64 + 1.0 / old.len() as f64).sqrt();
        let (Some(now), Some(usual)) = (median(new), median(old)) else { return false };
        let told: Vec<f64> =
            self.new.pods.values().filter(|t| t.len() >= 5).flat_map(|t| median(t.clone())).collect();
        let slow = told.iter().filter(|m| **m > SLOW_MARGIN * usual).count();
        now > SLOW_MARGIN * usual * noise.exp() && slow >= 2 && 2 * slow > told.len()
    }

    /// Calls only on a changed verdict or a lapsing vote.
    fn vote(&mut self, round: &mut Round) {
        let Some(news) = self.news else { return };
        let now = round.now;
        if self.asked.is_some_and(|(.., at)| now > at + self.answer_within + BEAT * 25) {
            self.asked = None;
        }
        let want = self.verdict(now);
        let standing = self.standing.filter(|(_, build, stage, at)| {
            (*build, *stage) == (news.build, news.stage) && now < *at + self.vote_life
        });
        let same = match standing {
            None => want == Verdict::Withhold,
            Some((verdict, _, _, at)) => {
                verdict == want && (want == Verdict::Withhold || now < at + self.vote_life.mul_f64(0.6))
            }
        };
        if same || self.asked.is_some() || now < self.not_before {
            return;
        }
        let (n, o) = (self.new.all(), self.old.all());
        if want == Verdict::Back {
            round.out.push(Action::Log(format!(
                "back: build {} stage {}: {}/{}/{} against {}/{}/{} (bad, flagged, seen)",
                news.build.0, news.stage.0, n.bad, n.flagged, n.seen, o.bad, o.flagged, o.seen
            )));
        }
        self.asked = Some((want, news.build, news.stage, now));
        round.out.push(Action::Vote { verdict: want, build: news.build, stage: news.stage });
    }
}
