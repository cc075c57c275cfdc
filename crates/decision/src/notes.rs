//! What the parts of the decision module tell each other, and what each keeps on record. What a lost list means
//! (`Round::hear` and what follows from it) is decided here and belongs in `choice`: see docs/ROADMAP.md.

use crate::choice::{OUTAGE, REMEMBERED, SERVED_LEASE};
use crate::figures::Figures;
use crate::inbox::Inboxes;
use crate::interface::*;
use crate::ledger::{median, rank, DueTimes, Mean, Window};
use nanorand::{Rng, WyRand};
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The parts that have an inbox.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    Pod(PodId),
    Desk,
    Gate,
    Judge,
    Lister,
}

#[derive(Clone)]
pub enum Note {
    List(EndpointUpdate),
    Listed(Endpoint),
    /// A pod that has been gone for long.
    Forget(PodId),
    Taken(Request),
    /// Desk to gate: a forward to the best of the bids of this turn that the rules allow. The others wait.
    Ask {
        hit: RequestId,
        bids: Vec<Bid>,
        turn: u8,
    },
    /// Gate to desk: none of that turn was allowed; here are the others.
    Refused(RequestId, Vec<Bid>),
    Sent {
        hit: RequestId,
        no: AttemptIndex,
        pod: PodId,
    },
    Back(AttemptResult),
    Ended(Ended),
    Streams(RequestId),
    /// Desk to gate: the hit is given up.
    End(RequestId),
    Over(RequestId),
    Met(RoutingKey, BuildId),
    Stage(StageUpdate),
    VoteAnswered(VoteAnswer),
    Flagged {
        pod: PodId,
        group: ClassId,
    },
    Card(Card),
    Doubt(RequestId, AttemptIndex, PodId),
    Retry(RequestId),
    Beat,
    Watch,
}

/// A forward that ended, with what the gate knew of it.
#[derive(Clone)]
pub struct Ended {
    pub outcome: AttemptResult,
    pub group: ClassId,
    pub build: BuildId,
    pub sent: Duration,
    /// The hit still waits for its final answer.
    pub open: bool,
    pub customer: Option<TenantId>,
    /// Its customer's hits go wrong where others' go well.
    pub sour: bool,
}

/// Why the gate turned a forward down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    Over,
    MayHaveRun,
    Drained,
    Cold,
    Exposed,
    KeyStays,
}

/// What every part needs in a round: the time, the derived start terms, inboxes, due times, chance, and what
/// goes out.
pub struct Round {
    pub now: Duration,
    /// How long past its beat this sidecar was called: it stood still.
    pub late: Duration,
    /// Since when no list is heard; none while a watch stands, and where a list may be relied on for good.
    pub list_lost: Option<Duration>,
    /// Watches and calls for the list that have failed in a row.
    pub list_failures: u32,
    pub figures: Figures,
    pub mail: Inboxes<To, Note>,
    pub due: DueTimes<(To, Note)>,
    pub chance: WyRand,
    pub out: Vec<Action>,
    /// What the other sidecars make of its choices, and each pod's place in their order.
    pub fleet: Option<(FleetView, BTreeMap<PodId, usize>)>,
}

impl Round {
    pub fn new(now: Duration, terms: &SidecarConfig) -> Self {
        Self {
            now,
            late: Duration::ZERO,
            list_lost: None,
            list_failures: 0,
            figures: Figures::of(now, terms),
            mail: Inboxes::default(),
            due: DueTimes::default(),
            chance: WyRand::new_seed(terms.seed),
            out: Vec::new(),
            fleet: None,
        }
    }

    pub fn look_at(&mut self, fleet: Option<FleetView>) {
        let places = |view: &FleetView| {
            view.preference
                .iter()
                .enumerate()
                .map(|(n, pod)| (*pod, n))
                .collect()
        };
        self.fleet = fleet
            .map(|view| (places(&view), view))
            .map(|(places, view)| (view, places));
    }

    /// A pod's place in this sidecar's order, the greatest first: the fleet's, or else by hash; beside told places a hash
    /// is halved, to stand below all of them.
    pub fn rank(&self, pod: PodId) -> u64 {
        let told = self.fleet.as_ref().and_then(|(_, places)| places.get(&pod));
        told.map_or_else(
            || rank(u64::from(self.figures.own_number), pod.0) >> u32::from(self.fleet.is_some()),
            |place| u64::MAX - *place as u64,
        )
    }

    /// How many pods it is told to use at the least.
    pub fn uses(&self) -> usize {
        self.fleet
            .as_ref()
            .map_or(0, |(view, _)| view.min_endpoints)
    }

    /// Whether others are to prove a pod that is shut.
    pub fn is_held(&self, pod: PodId) -> bool {
        self.fleet
            .as_ref()
            .is_some_and(|(view, _)| view.probed_by_peers.contains(&pod))
    }

    pub fn tell<const N: usize>(&mut self, parts: [To; N], note: &Note) {
        parts
            .into_iter()
            .for_each(|to| self.mail.put(to, note.clone()));
    }

    /// Keeps on record since when no list is heard. One that was held before the start may be of any age.
    fn hear(&mut self, news: &EndpointUpdate) {
        let failed = matches!(news, EndpointUpdate::WatchLost(_));
        self.list_failures = if failed {
            self.list_failures.saturating_add(1)
        } else {
            0
        };
        let Some(lease) = self.figures.list_lease else {
            return;
        };
        self.list_lost = match news {
            EndpointUpdate::WatchLost(WatchLoss {
                cause: WatchLossCause::NoService,
                ..
            }) => Some(self.now),
            EndpointUpdate::WatchLost(loss) => self.list_lost.or(Some(self.ago(loss.silent_for))),
            EndpointUpdate::Cached(_) => Some(self.ago(lease.mul_f64(1.0 - REMEMBERED))),
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_) => None,
        };
    }

    pub fn hears_list(&self) -> bool {
        self.list_lost.is_none()
    }

    /// Whether no list has been heard for so many leases.
    fn is_unheard_for(&self, leases: u32) -> bool {
        let until = |lost: Duration, lease: Duration| lost + lease * leases;
        self.list_lost
            .zip(self.figures.list_lease)
            .is_some_and(|(lost, lease)| self.now >= until(lost, lease))
    }

    /// Since when a pod must have served to be relied on: any time, while lists are heard or were until lately.
    pub fn relies_since(&self) -> Duration {
        match self.figures.list_lease {
            Some(lease) if self.is_unheard_for(1) => self.ago(lease.mul_f64(SERVED_LEASE)),
            _ => Duration::ZERO,
        }
    }

    /// Whether no list has been heard for so long that its service must be down.
    pub fn is_list_service_down(&self) -> bool {
        self.is_unheard_for(OUTAGE)
    }

    /// A number from 0 to 1, evenly.
    pub fn chance(&mut self) -> f64 {
        (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Puts a note into an inbox later.
    pub fn later(&mut self, wait: Duration, to: To, note: Note) {
        self.due.put(self.now + wait, (to, note));
    }

    /// Brings an event to the parts that it concerns.
    pub fn deliver(&mut self, event: Event) {
        match event {
            Event::Endpoints(news) => {
                self.hear(&news);
                self.mail.put(To::Lister, Note::List(news));
            }
            Event::RequestArrived(hit) => self.mail.put(To::Gate, Note::Taken(hit)),
            Event::AttemptFinished(outcome) => self.mail.put(To::Gate, Note::Back(outcome)),
            Event::StreamStarted { request: hit } => self.mail.put(To::Gate, Note::Streams(hit)),
            Event::ClientDisconnected(hit) => self.mail.put(To::Gate, Note::Over(hit)),
            Event::Stage {
                update: news,
                vote_answer: answer,
            } => {
                if let Some(news) = news {
                    self.tell([To::Gate, To::Desk, To::Judge], &Note::Stage(news));
                }
                if let Some(answer) = answer {
                    self.mail.put(To::Judge, Note::VoteAnswered(answer));
                }
            }
            Event::Fleet(view) => self.look_at(view),
            Event::KeyServed(key, build) => self.mail.put(To::Gate, Note::Met(key, build)),
            Event::Flagged { pod, class: group } => {
                self.mail.put(To::Judge, Note::Flagged { pod, group })
            }
        }
    }

    pub fn ago(&self, span: Duration) -> Duration {
        self.now.saturating_sub(span)
    }
}

/// A pod's own account of itself for the desk.
#[derive(Clone)]
pub struct Card {
    pub entry: Endpoint,
    /// Its place in this sidecar's own order of pods.
    pub rank: u64,
    pub ready: bool,
    pub open: usize,
    /// Recent time taken, as a share of the target latency, and over how many answers.
    pub pace: Mean,
    pub usable: bool,
    /// Shut, but due for a hit that shows whether it is back.
    pub wants_proof: bool,
    /// When the latest attempt was sent that it served.
    pub served: Duration,
}

impl Card {
    pub fn ranked(&self) -> (u64, PodId) {
        (self.rank, self.entry.pod)
    }
}

/// A pod that a hit may go to.
#[derive(Clone, Copy)]
pub struct Bid {
    pub pod: PodId,
    pub build: BuildId,
    /// Those of the lowest turn are asked for first.
    pub turn: u8,
    /// The draw that stands for load not seen.
    pub chance: f64,
    /// What the hit would bear there; not told before its turn.
    pub cost: f64,
    /// The part of its build's pods that this sidecar uses.
    pub part: f64,
}

/// The greatest is asked for first: of the lowest turn, then the cheapest, then of the lowest pod.
impl Ord for Bid {
    fn cmp(&self, other: &Self) -> Ordering {
        let (turn, pod) = (|| other.turn.cmp(&self.turn), || other.pod.cmp(&self.pod));
        turn()
            .then_with(|| other.cost.total_cmp(&self.cost))
            .then_with(pod)
    }
}

impl PartialOrd for Bid {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Bid {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Bid {}

/// Puts the best bid at the end, and leaves the others in no order.
pub fn best_last(bids: &mut [Bid]) {
    if let Some(best) = (0..bids.len()).max_by(|a, b| bids[*a].cmp(&bids[*b])) {
        bids.swap(best, bids.len() - 1);
    }
}

/// The last card of each pod, by pod.
#[derive(Default)]
pub struct Cards {
    cards: Vec<Card>,
    /// Hits open at the usable ones.
    open: usize,
    /// Which are there, ready or usable, or their builds, changed since this was last asked.
    changed: bool,
}

impl Cards {
    fn place(&self, pod: PodId) -> Result<usize, usize> {
        self.cards.binary_search_by_key(&pod, |card| card.entry.pod)
    }

    pub fn get(&self, pod: PodId) -> Option<&Card> {
        self.place(pod).ok().map(|place| &self.cards[place])
    }

    pub fn put(&mut self, card: Card) {
        let counts = |card: &Card| if card.usable { card.open } else { 0 };
        self.open += counts(&card);
        match self.place(card.entry.pod) {
            Ok(place) => {
                let old = &mut self.cards[place];
                let same = (old.ready, old.usable, old.rank)
                    == (card.ready, card.usable, card.rank)
                    && old.entry.build == card.entry.build;
                (self.open, self.changed) = (self.open - counts(old), self.changed || !same);
                *old = card;
            }
            Err(place) => {
                self.changed = true;
                self.cards.insert(place, card);
            }
        }
    }

    pub fn remove(&mut self, pod: PodId) {
        if let Ok(place) = self.place(pod) {
            let card = self.cards.remove(place);
            self.open -= if card.usable { card.open } else { 0 };
            self.changed = true;
        }
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Card> {
        self.cards.iter()
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}

/// What is known of the cards together, until one of them changes.
#[derive(Default)]
pub struct Overview {
    /// The lowest and the highest build that is ready.
    pub builds: Option<(BuildId, BuildId)>,
    /// On trial when the ranks were sorted.
    pub trial: Option<BuildId>,
    /// The usable pods of the base, and of the trial, lowest rank first.
    pub ranks: [Vec<(u64, PodId)>; 2],
}

impl Overview {
    /// Looks all cards over, if one came, went, shut or opened.
    pub fn look_over(&mut self, cards: &mut Cards) {
        if cards.take_changed() {
            let builds = cards.iter().filter(|c| c.ready).map(|c| c.entry.build);
            let span = |span: Option<(BuildId, BuildId)>, b: BuildId| {
                Some(span.map_or((b, b), |(l, h)| (b.min(l), b.max(h))))
            };
            self.builds = builds.fold(None, span);
            self.sort(cards, self.trial);
        }
    }

    pub fn sort(&mut self, cards: &Cards, trial: Option<BuildId>) {
        self.trial = trial;
        for (side, ranks) in self.ranks.iter_mut().enumerate() {
            let here = |c: &&Card| c.usable && usize::from(trial == Some(c.entry.build)) == side;
            ranks.clear();
            ranks.extend(cards.iter().filter(here).map(Card::ranked));
            ranks.sort_unstable();
        }
    }
}

/// The gate's account of one hit.
pub struct Account {
    pub group: ClassId,
    pub customer: Option<TenantId>,
    pub key: Option<RoutingKey>,
    pub due: Duration,
    pub forwards: Vec<Sent>,
    pub over: bool,
    pub streams: bool,
}

impl Account {
    pub fn of(hit: &Request) -> Self {
        let (group, customer, key, due) = (hit.class, hit.tenant, hit.routing_key, hit.deadline);
        Self {
            group,
            customer,
            key,
            due,
            forwards: Vec::new(),
            over: false,
            streams: false,
        }
    }

    /// Puts a forward on record and tells its number.
    pub fn sent(&mut self, to: &Endpoint, at: Duration) -> AttemptIndex {
        let (pod, build, zone, cell, started) = (to.pod, to.build, to.zone, to.cell, to.started_at);
        self.forwards.push(Sent {
            pod,
            build,
            zone,
            cell,
            started,
            at,
            fate: None,
        });
        AttemptIndex(self.forwards.len() as u16 - 1)
    }

    /// An attempt that has no outcome yet.
    pub fn out(&self, no: AttemptIndex) -> Option<&Sent> {
        self.forwards
            .get(usize::from(no.0))
            .filter(|sent| sent.fate.is_none())
    }

    pub fn still_out(&self) -> Vec<AttemptIndex> {
        let numbered = (0u16..).zip(&self.forwards);
        numbered
            .filter(|(_, f)| f.fate.is_none())
            .map(|(n, _)| AttemptIndex(n))
            .collect()
    }
}

pub struct Sent {
    pub build: BuildId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub pod: PodId,
    /// The start of the pod that it was meant for.
    pub started: Option<Duration>,
    pub at: Duration,
    pub fate: Option<AttemptOutcome>,
}

impl Sent {
    /// Whether `pod` knows of this forward if it ran, so that it drops a repeat.
    pub fn remembered_by(&self, pod: &Endpoint, reach: DeduplicationScope) -> bool {
        match reach {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == pod.zone,
            DeduplicationScope::Cell => self.cell == pod.cell,
        }
    }

    pub fn may_have_run(&self) -> bool {
        self.fate.is_none_or(|fate| !fate.never_ran())
    }
}

/// What the gate knows of a pod.
pub struct Place {
    pub entry: Endpoint,
    /// When this sidecar was told that it drains or is gone.
    pub ended: Option<Duration>,
    pub sends: Window,
    /// This sidecar's luck with the parts of a forward that the pod may get, 0 to 1; drawn anew at each start.
    pub luck: f64,
}

impl Place {
    pub fn of(entry: &Endpoint) -> Self {
        Self {
            entry: entry.clone(),
            ended: None,
            sends: Window::default(),
            luck: 0.0,
        }
    }

    pub fn list(&mut self, entry: Endpoint, now: Duration, luck: f64) {
        if entry.started_at != self.entry.started_at {
            self.sends.clear();
        }
        self.luck = luck;
        self.ended = match entry.state {
            PodState::Ready => None,
            _ => self.ended.or(Some(now)),
        };
        self.entry = entry;
    }

    /// Whether an attempt was meant for this life of the pod, and the pod neither drains nor is gone.
    pub fn still_takes(&self, sent: &Sent) -> bool {
        let same_life = (self.entry.build, self.entry.started_at) == (sent.build, sent.started);
        self.ended.is_none() && same_life
    }
}

/// The rows of the list as they were told last, each with the time since when its pod is gone.
#[derive(Default)]
pub struct Held(BTreeMap<PodId, (Endpoint, Option<Duration>)>);

impl Held {
    /// Keeps a row; tells whether its pod has gone by it.
    pub fn put(&mut self, row: &Endpoint, now: Duration) -> bool {
        let before = self.0.get(&row.pod).and_then(|(_, gone)| *gone);
        let gone = (row.state == PodState::Gone).then(|| before.unwrap_or(now));
        self.0.insert(row.pod, (row.clone(), gone));
        gone.is_some() && before.is_none()
    }

    /// Forgets a pod that has been gone since then or longer; tells whether it did.
    pub fn forget(&mut self, pod: PodId, since: Duration) -> bool {
        let gone = self.0.get(&pod).and_then(|(_, gone)| *gone);
        let forgets = gone.is_some_and(|gone| gone <= since);
        if forgets {
            self.0.remove(&pod);
        }
        forgets
    }

    /// The rows that a whole list no longer has, as gone.
    pub fn gone_from(&self, list: &[Endpoint]) -> Vec<Endpoint> {
        let listed: BTreeSet<PodId> = list.iter().map(|row| row.pod).collect();
        let gone = self
            .0
            .values()
            .filter(|(row, _)| !listed.contains(&row.pod));
        gone.map(|(row, _)| Endpoint {
            state: PodState::Gone,
            ..row.clone()
        })
        .collect()
    }
}

/// The gate's record of all pods, with what is derived from it.
#[derive(Default)]
pub struct Places {
    places: BTreeMap<PodId, Place>,
    /// The lowest build that runs on a pod which neither drains nor is gone, once it was asked for.
    lowest: Cell<Option<Option<BuildId>>>,
    /// The strength of all ready pods together, and the time for which it was summed up.
    strength: Cell<Option<(Duration, f64)>>,
}

impl Places {
    pub fn get(&self, pod: PodId) -> Option<&Place> {
        self.places.get(&pod)
    }

    pub fn get_mut(&mut self, pod: PodId) -> Option<&mut Place> {
        self.places.get_mut(&pod)
    }

    pub fn values(&self) -> impl Iterator<Item = &Place> {
        self.places.values()
    }

    pub fn remove(&mut self, pod: PodId) {
        self.places.remove(&pod);
    }

    pub fn list(&mut self, entry: Endpoint, now: Duration, luck: f64) {
        let place = self
            .places
            .entry(entry.pod)
            .or_insert_with(|| Place::of(&entry));
        place.list(entry, now, luck);
        self.lowest.set(None);
        self.strength.set(None);
    }

    /// The lowest build that runs on a pod which neither drains nor is gone, found once for each change of the list.
    pub fn lowest(&self) -> Option<BuildId> {
        let find = || {
            let present = self.places.values().filter(|place| place.ended.is_none());
            present.map(|place| place.entry.build).min()
        };
        let lowest = self.lowest.get().unwrap_or_else(find);
        self.lowest.set(Some(lowest));
        lowest
    }

    /// The strength of all ready pods together, summed up once for each time that it is asked for.
    pub fn strength(&self, now: Duration, figures: &Figures) -> f64 {
        if let Some((_, known)) = self.strength.get().filter(|(at, _)| *at == now) {
            return known;
        }
        let ready = self
            .places
            .values()
            .filter(|place| place.entry.state == PodState::Ready);
        let sum = ready
            .map(|p| p.entry.weight * figures.strength(p.entry.started_at, now))
            .sum();
        self.strength.set(Some((now, sum)));
        sum
    }
}

/// What a pod has seen of itself since its start.
#[derive(Default)]
pub struct Health {
    pub last_answer: Duration,
    /// When the latest attempt was sent that it served; zero once it has turned one away since.
    pub served: Duration,
    /// Recent time taken, as a share of the target latency.
    pub pace: Mean,
    pub strikes: u32,
    pub shuts: u32,
    /// Shut, and not proven again before this; zero while it is open.
    pub shut_until: Duration,
}

/// The desk's record of an open hit.
pub struct OpenHit {
    pub group: ClassId,
    pub customer: Option<TenantId>,
    /// Where its last forward went.
    pub at: Option<PodId>,
    pub arrived: Duration,
    pub due: Duration,
    pub out: u32,
    pub tried: Vec<PodId>,
    pub no_trial: bool,
}

impl OpenHit {
    pub fn of(hit: &Request, arrived: Duration) -> Self {
        let (group, customer) = (hit.class, hit.tenant);
        Self {
            group,
            customer,
            at: None,
            arrived,
            due: hit.deadline,
            out: 0,
            tried: Vec::new(),
            no_trial: false,
        }
    }
}

/// What was seen of one build in one stage.
#[derive(Default, Clone)]
pub struct Sample {
    pub groups: BTreeMap<ClassId, Count>,
    pub pods: BTreeMap<PodId, ByPod>,
    /// The times of all pods, shortest first.
    times: Vec<f64>,
}

#[derive(Default, Clone)]
pub struct ByPod {
    pub seen: usize,
    pub bad: usize,
    pub flagged: usize,
    /// Times taken, scaled to a warm pod and to what the earlier build takes on its kind of machine.
    pub times: Vec<f64>,
}

#[derive(Default, Clone, Copy, Debug)]
pub struct Count {
    pub seen: usize,
    /// Errors, and time-outs among them.
    pub bad: usize,
    pub timed_out: usize,
    pub flagged: usize,
}

impl Sample {
    pub fn all(&self) -> Count {
        self.groups.values().fold(Count::default(), |a, c| Count {
            seen: a.seen + c.seen,
            bad: a.bad + c.bad,
            timed_out: a.timed_out + c.timed_out,
            flagged: a.flagged + c.flagged,
        })
    }

    /// What was seen of each path group, and of all, beside what another sample saw of it.
    pub fn beside(&self, other: &Self) -> Vec<(Count, Count)> {
        let of_other = |group: &ClassId| other.groups.get(group).copied().unwrap_or_default();
        let by_group = self
            .groups
            .iter()
            .map(|(group, count)| (*count, of_other(group)));
        by_group.chain([(self.all(), other.all())]).collect()
    }

    pub fn count(&mut self, group: ClassId, pod: PodId, fate: AttemptOutcome, time: Option<f64>) {
        let bad = matches!(fate, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
        let (count, by_pod) = (
            self.groups.entry(group).or_default(),
            self.pods.entry(pod).or_default(),
        );
        (count.seen, by_pod.seen) = (count.seen + 1, by_pod.seen + 1);
        (count.bad, by_pod.bad) = (count.bad + usize::from(bad), by_pod.bad + usize::from(bad));
        count.timed_out += usize::from(fate == AttemptOutcome::TimedOut);
        by_pod.times.extend(time);
        if let Some(time) = time {
            let place = self
                .times
                .partition_point(|known| known.total_cmp(&time).is_lt());
            self.times.insert(place, time);
        }
    }

    /// Forgets half of what was seen: counts in proportion, of the times the older ones.
    pub fn halve(&mut self) {
        for count in self.groups.values_mut() {
            let Count {
                seen,
                bad,
                timed_out,
                flagged,
            } = *count;
            *count = Count {
                seen: seen / 2,
                bad: bad / 2,
                timed_out: timed_out / 2,
                flagged: flagged / 2,
            };
        }
        for by_pod in self.pods.values_mut() {
            (by_pod.seen, by_pod.bad, by_pod.flagged) =
                (by_pod.seen / 2, by_pod.bad / 2, by_pod.flagged / 2);
            by_pod.times.drain(..by_pod.times.len().div_ceil(2));
        }
        self.pods.retain(|_, by_pod| by_pod.seen > 0);
        self.times = self.pods.values().flat_map(|p| &p.times).copied().collect();
        self.times.sort_by(f64::total_cmp);
    }

    pub fn flag(&mut self, group: ClassId, pod: PodId) {
        self.groups.entry(group).or_default().flagged += 1;
        self.pods.entry(pod).or_default().flagged += 1;
    }

    /// All times but those of the pod whose middle one is the longest.
    pub fn times_without_slowest(&self) -> Vec<f64> {
        let mut pods: Vec<&Vec<f64>> = self.pods.values().map(|p| &p.times).collect();
        pods.sort_by(|a, b| {
            median(a.to_vec())
                .unwrap_or(0.0)
                .total_cmp(&median(b.to_vec()).unwrap_or(0.0))
        });
        pods.pop();
        pods.into_iter().flatten().copied().collect()
    }

    pub fn times(&self) -> &[f64] {
        &self.times
    }
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, times) = (self.all(), self.times());
        write!(
            f,
            "{} bad and {} flagged of {}",
            all.bad, all.flagged, all.seen
        )?;
        write!(
            f,
            " on {} pods, median {:.2} of {}",
            self.pods.len(),
            times.get(times.len() / 2).unwrap_or(&0.0),
            times.len()
        )
    }
}

/// A vote as it was sent.
#[derive(Clone, Copy, PartialEq)]
pub struct Vote {
    pub verdict: Verdict,
    pub build: BuildId,
    pub stage: StageIndex,
    pub at: Duration,
}
