//! What the parts of the decision module tell each other, and what each keeps on record. What a lost list means
//! (`Round::hear` and what follows from it) is decided here and belongs in `choice`: see docs/ROADMAP.md.

use crate::choice::{CACHED_LEASE_FRACTION, OUTAGE_LEASES, SERVED_LEASE_FRACTION};
use crate::figures::DerivedConfig;
use crate::inbox::Mailboxes;
use crate::interface::*;
use crate::ledger::{median, rendezvous_rank, RunningMean, SlidingWindow, TimerQueue};
use nanorand::{Rng, WyRand};
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The parts that have an inbox.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    OutlierDetector(PodId),
    LoadBalancer,
    AdmissionControl,
    CanaryAnalysis,
    EndpointTracker,
}

#[derive(Clone)]
pub enum Message {
    EndpointsUpdated(EndpointUpdate),
    EndpointChanged(Endpoint),
    /// A pod that has been gone for long.
    EndpointForgotten(PodId),
    RequestArrived(Request),
    /// Desk to gate: a forward to the best of the bids of this turn that the rules allow. The others wait.
    AttemptProposed {
        request: RequestId,
        candidates: Vec<Candidate>,
        tier: u8,
    },
    /// Gate to desk: none of that turn was allowed; here are the others.
    AttemptRefused(RequestId, Vec<Candidate>),
    AttemptStarted {
        request: RequestId,
        attempt: AttemptIndex,
        pod: PodId,
    },
    AttemptFinished(AttemptResult),
    AttemptEnded(AttemptEnded),
    StreamStarted(RequestId),
    /// Desk to gate: the hit is given up.
    RequestGivenUp(RequestId),
    RequestClosed(RequestId),
    KeyServed(RoutingKey, BuildId),
    StageUpdated(StageUpdate),
    VoteAnswered(VoteAnswer),
    ResponseFlagged {
        pod: PodId,
        class: ClassId,
    },
    SnapshotPublished(EndpointSnapshot),
    HedgeCheckDue(RequestId, AttemptIndex, PodId),
    PlacementDue(RequestId),
    Tick,
    WatchDue,
}

/// A forward that ended, with what the gate knew of it.
#[derive(Clone)]
pub struct AttemptEnded {
    pub result: AttemptResult,
    pub class: ClassId,
    pub build: BuildId,
    pub sent_at: Duration,
    /// The hit still waits for its final answer.
    pub request_open: bool,
    pub tenant: Option<TenantId>,
    /// Its customer's hits go wrong where others' go well.
    pub tenant_outlier: bool,
}

/// Why the gate turned a forward down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    RequestClosed,
    MayHaveRun,
    EndpointDrained,
    SlowStart,
    ExposureCap,
    StickyKey,
}

/// What every part needs in a round: the time, the derived start terms, inboxes, due times, chance, and what
/// goes out.
pub struct Context {
    pub now: Duration,
    /// How long past its beat this sidecar was called: it stood still.
    pub lateness: Duration,
    /// Since when no list is heard; none while a watch stands, and where a list may be relied on for good.
    pub endpoints_lost_at: Option<Duration>,
    /// Watches and calls for the list that have failed in a row.
    pub watch_failures: u32,
    pub config: DerivedConfig,
    pub mailboxes: Mailboxes<Component, Message>,
    pub timers: TimerQueue<(Component, Message)>,
    pub rng: WyRand,
    pub actions: Vec<Action>,
    /// What the other sidecars make of its choices, and each pod's place in their order.
    pub fleet: Option<(FleetView, BTreeMap<PodId, usize>)>,
}

impl Context {
    pub fn new(now: Duration, terms: &SidecarConfig) -> Self {
        Self {
            now,
            lateness: Duration::ZERO,
            endpoints_lost_at: None,
            watch_failures: 0,
            config: DerivedConfig::new(now, terms),
            mailboxes: Mailboxes::default(),
            timers: TimerQueue::default(),
            rng: WyRand::new_seed(terms.seed),
            actions: Vec::new(),
            fleet: None,
        }
    }

    pub fn set_fleet_view(&mut self, fleet: Option<FleetView>) {
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
            || {
                rendezvous_rank(u64::from(self.config.sidecar_index), pod.0)
                    >> u32::from(self.fleet.is_some())
            },
            |place| u64::MAX - *place as u64,
        )
    }

    /// How many pods it is told to use at the least.
    pub fn min_endpoints(&self) -> usize {
        self.fleet
            .as_ref()
            .map_or(0, |(view, _)| view.min_endpoints)
    }

    /// Whether others are to prove a pod that is shut.
    pub fn is_probed_by_peers(&self, pod: PodId) -> bool {
        self.fleet
            .as_ref()
            .is_some_and(|(view, _)| view.probed_by_peers.contains(&pod))
    }

    pub fn broadcast<const N: usize>(&mut self, parts: [Component; N], note: &Message) {
        parts
            .into_iter()
            .for_each(|to| self.mailboxes.push(to, note.clone()));
    }

    /// Keeps on record since when no list is heard. One that was held before the start may be of any age.
    fn hear(&mut self, news: &EndpointUpdate) {
        let failed = matches!(news, EndpointUpdate::WatchLost(_));
        self.watch_failures = if failed {
            self.watch_failures.saturating_add(1)
        } else {
            0
        };
        let Some(lease) = self.config.endpoint_lease else {
            return;
        };
        self.endpoints_lost_at = match news {
            EndpointUpdate::WatchLost(WatchLoss {
                cause: WatchLossCause::NoService,
                ..
            }) => Some(self.now),
            EndpointUpdate::WatchLost(loss) => {
                self.endpoints_lost_at.or(Some(self.ago(loss.silent_for)))
            }
            EndpointUpdate::Cached(_) => Some(self.ago(lease.mul_f64(1.0 - CACHED_LEASE_FRACTION))),
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_) => None,
        };
    }

    pub fn endpoints_are_current(&self) -> bool {
        self.endpoints_lost_at.is_none()
    }

    /// Whether no list has been heard for so many leases.
    fn is_unheard_for(&self, leases: u32) -> bool {
        let until = |lost: Duration, lease: Duration| lost + lease * leases;
        self.endpoints_lost_at
            .zip(self.config.endpoint_lease)
            .is_some_and(|(lost, lease)| self.now >= until(lost, lease))
    }

    /// Since when a pod must have served to be relied on: any time, while lists are heard or were until lately.
    pub fn served_since(&self) -> Duration {
        match self.config.endpoint_lease {
            Some(lease) if self.is_unheard_for(1) => self.ago(lease.mul_f64(SERVED_LEASE_FRACTION)),
            _ => Duration::ZERO,
        }
    }

    /// Whether no list has been heard for so long that its service must be down.
    pub fn is_list_service_down(&self) -> bool {
        self.is_unheard_for(OUTAGE_LEASES)
    }

    /// A number from 0 to 1, evenly.
    pub fn random_unit(&mut self) -> f64 {
        (self.rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Puts a note into an inbox later.
    pub fn schedule(&mut self, wait: Duration, to: Component, note: Message) {
        self.timers.schedule(self.now + wait, (to, note));
    }

    /// Brings an event to the parts that it concerns.
    pub fn dispatch_event(&mut self, event: Event) {
        match event {
            Event::Endpoints(news) => {
                self.hear(&news);
                self.mailboxes
                    .push(Component::EndpointTracker, Message::EndpointsUpdated(news));
            }
            Event::RequestArrived(hit) => self
                .mailboxes
                .push(Component::AdmissionControl, Message::RequestArrived(hit)),
            Event::AttemptFinished(outcome) => self.mailboxes.push(
                Component::AdmissionControl,
                Message::AttemptFinished(outcome),
            ),
            Event::StreamStarted { request: hit } => self
                .mailboxes
                .push(Component::AdmissionControl, Message::StreamStarted(hit)),
            Event::ClientDisconnected(hit) => self
                .mailboxes
                .push(Component::AdmissionControl, Message::RequestClosed(hit)),
            Event::Stage {
                update: news,
                vote_answer: answer,
            } => {
                if let Some(news) = news {
                    self.broadcast(
                        [
                            Component::AdmissionControl,
                            Component::LoadBalancer,
                            Component::CanaryAnalysis,
                        ],
                        &Message::StageUpdated(news),
                    );
                }
                if let Some(answer) = answer {
                    self.mailboxes
                        .push(Component::CanaryAnalysis, Message::VoteAnswered(answer));
                }
            }
            Event::Fleet(view) => self.set_fleet_view(view),
            Event::KeyServed(key, build) => self
                .mailboxes
                .push(Component::AdmissionControl, Message::KeyServed(key, build)),
            Event::Flagged { pod, class: group } => self.mailboxes.push(
                Component::CanaryAnalysis,
                Message::ResponseFlagged { pod, class: group },
            ),
        }
    }

    pub fn ago(&self, span: Duration) -> Duration {
        self.now.saturating_sub(span)
    }
}

/// A pod's own account of itself for the desk.
#[derive(Clone)]
pub struct EndpointSnapshot {
    pub endpoint: Endpoint,
    /// Its place in this sidecar's own order of pods.
    pub rank: u64,
    pub ready: bool,
    pub in_flight: usize,
    /// Recent time taken, as a share of the target latency, and over how many answers.
    pub latency_ratio: RunningMean,
    pub usable: bool,
    /// Shut, but due for a hit that shows whether it is back.
    pub wants_health_check: bool,
    /// When the latest attempt was sent that it served.
    pub last_served_at: Duration,
}

impl EndpointSnapshot {
    pub fn rank_key(&self) -> (u64, PodId) {
        (self.rank, self.endpoint.pod)
    }
}

/// A pod that a hit may go to.
#[derive(Clone, Copy)]
pub struct Candidate {
    pub pod: PodId,
    pub build: BuildId,
    /// Those of the lowest turn are asked for first.
    pub tier: u8,
    /// The draw that stands for load not seen.
    pub random_draw: f64,
    /// What the hit would bear there; not told before its turn.
    pub cost: f64,
    /// The part of its build's pods that this sidecar uses.
    pub used_fraction: f64,
}

/// The greatest is asked for first: of the lowest turn, then the cheapest, then of the lowest pod.
impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let (turn, pod) = (|| other.tier.cmp(&self.tier), || other.pod.cmp(&self.pod));
        turn()
            .then_with(|| other.cost.total_cmp(&self.cost))
            .then_with(pod)
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// Puts the best bid at the end, and leaves the others in no order.
pub fn best_last(bids: &mut [Candidate]) {
    if let Some(best) = (0..bids.len()).max_by(|a, b| bids[*a].cmp(&bids[*b])) {
        bids.swap(best, bids.len() - 1);
    }
}

/// The last card of each pod, by pod.
#[derive(Default)]
pub struct EndpointTable {
    snapshots: Vec<EndpointSnapshot>,
    /// Hits open at the usable ones.
    in_flight: usize,
    /// Which are there, ready or usable, or their builds, changed since this was last asked.
    changed: bool,
}

impl EndpointTable {
    fn position(&self, pod: PodId) -> Result<usize, usize> {
        self.snapshots
            .binary_search_by_key(&pod, |card| card.endpoint.pod)
    }

    pub fn get(&self, pod: PodId) -> Option<&EndpointSnapshot> {
        self.position(pod).ok().map(|place| &self.snapshots[place])
    }

    pub fn put(&mut self, card: EndpointSnapshot) {
        let counts = |card: &EndpointSnapshot| if card.usable { card.in_flight } else { 0 };
        self.in_flight += counts(&card);
        match self.position(card.endpoint.pod) {
            Ok(place) => {
                let old = &mut self.snapshots[place];
                let same = (old.ready, old.usable, old.rank)
                    == (card.ready, card.usable, card.rank)
                    && old.endpoint.build == card.endpoint.build;
                (self.in_flight, self.changed) =
                    (self.in_flight - counts(old), self.changed || !same);
                *old = card;
            }
            Err(place) => {
                self.changed = true;
                self.snapshots.insert(place, card);
            }
        }
    }

    pub fn remove(&mut self, pod: PodId) {
        if let Ok(place) = self.position(pod) {
            let card = self.snapshots.remove(place);
            self.in_flight -= if card.usable { card.in_flight } else { 0 };
            self.changed = true;
        }
    }

    pub fn iter(&self) -> std::slice::Iter<'_, EndpointSnapshot> {
        self.snapshots.iter()
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}

/// What is known of the cards together, until one of them changes.
#[derive(Default)]
pub struct FleetSummary {
    /// The lowest and the highest build that is ready.
    pub build_range: Option<(BuildId, BuildId)>,
    /// On trial when the ranks were sorted.
    pub trial_build: Option<BuildId>,
    /// The usable pods of the base, and of the trial, lowest rank first.
    pub ranks: [Vec<(u64, PodId)>; 2],
}

impl FleetSummary {
    /// Looks all cards over, if one came, went, shut or opened.
    pub fn refresh(&mut self, cards: &mut EndpointTable) {
        if cards.take_changed() {
            let builds = cards.iter().filter(|c| c.ready).map(|c| c.endpoint.build);
            let span = |span: Option<(BuildId, BuildId)>, b: BuildId| {
                Some(span.map_or((b, b), |(l, h)| (b.min(l), b.max(h))))
            };
            self.build_range = builds.fold(None, span);
            self.sort_ranks(cards, self.trial_build);
        }
    }

    pub fn sort_ranks(&mut self, cards: &EndpointTable, trial: Option<BuildId>) {
        self.trial_build = trial;
        for (side, ranks) in self.ranks.iter_mut().enumerate() {
            let here = |c: &&EndpointSnapshot| {
                c.usable && usize::from(trial == Some(c.endpoint.build)) == side
            };
            ranks.clear();
            ranks.extend(cards.iter().filter(here).map(EndpointSnapshot::rank_key));
            ranks.sort_unstable();
        }
    }
}

/// The gate's account of one hit.
pub struct RequestRecord {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub routing_key: Option<RoutingKey>,
    pub deadline: Duration,
    pub attempts: Vec<AttemptRecord>,
    pub closed: bool,
    pub streaming: bool,
}

impl RequestRecord {
    pub fn new(hit: &Request) -> Self {
        let (group, customer, key, due) = (hit.class, hit.tenant, hit.routing_key, hit.deadline);
        Self {
            class: group,
            tenant: customer,
            routing_key: key,
            deadline: due,
            attempts: Vec::new(),
            closed: false,
            streaming: false,
        }
    }

    /// Puts a forward on record and tells its number.
    pub fn record_attempt(&mut self, to: &Endpoint, at: Duration) -> AttemptIndex {
        let (pod, build, zone, cell, started) = (to.pod, to.build, to.zone, to.cell, to.started_at);
        self.attempts.push(AttemptRecord {
            pod,
            build,
            zone,
            cell,
            pod_started_at: started,
            sent_at: at,
            outcome: None,
        });
        AttemptIndex(self.attempts.len() as u16 - 1)
    }

    /// An attempt that has no outcome yet.
    pub fn open_attempt(&self, no: AttemptIndex) -> Option<&AttemptRecord> {
        self.attempts
            .get(usize::from(no.0))
            .filter(|sent| sent.outcome.is_none())
    }

    pub fn open_attempts(&self) -> Vec<AttemptIndex> {
        let numbered = (0u16..).zip(&self.attempts);
        numbered
            .filter(|(_, f)| f.outcome.is_none())
            .map(|(n, _)| AttemptIndex(n))
            .collect()
    }
}

pub struct AttemptRecord {
    pub build: BuildId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub pod: PodId,
    /// The start of the pod that it was meant for.
    pub pod_started_at: Option<Duration>,
    pub sent_at: Duration,
    pub outcome: Option<AttemptOutcome>,
}

impl AttemptRecord {
    /// Whether `pod` knows of this forward if it ran, so that it drops a repeat.
    pub fn is_deduplicated_by(&self, pod: &Endpoint, reach: DeduplicationScope) -> bool {
        match reach {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == pod.zone,
            DeduplicationScope::Cell => self.cell == pod.cell,
        }
    }

    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|fate| !fate.never_ran())
    }
}

/// What the gate knows of a pod.
pub struct EndpointState {
    pub endpoint: Endpoint,
    /// When this sidecar was told that it drains or is gone.
    pub leaving_since: Option<Duration>,
    pub attempts: SlidingWindow,
    /// This sidecar's luck with the parts of a forward that the pod may get, 0 to 1; drawn anew at each start.
    pub fractional_allowance: f64,
}

impl EndpointState {
    pub fn new(entry: &Endpoint) -> Self {
        Self {
            endpoint: entry.clone(),
            leaving_since: None,
            attempts: SlidingWindow::default(),
            fractional_allowance: 0.0,
        }
    }

    pub fn update(&mut self, entry: Endpoint, now: Duration, luck: f64) {
        if entry.started_at != self.endpoint.started_at {
            self.attempts.clear();
        }
        self.fractional_allowance = luck;
        self.leaving_since = match entry.state {
            PodState::Ready => None,
            _ => self.leaving_since.or(Some(now)),
        };
        self.endpoint = entry;
    }

    /// Whether an attempt was meant for this life of the pod, and the pod neither drains nor is gone.
    pub fn still_accepts(&self, sent: &AttemptRecord) -> bool {
        let same_life =
            (self.endpoint.build, self.endpoint.started_at) == (sent.build, sent.pod_started_at);
        self.leaving_since.is_none() && same_life
    }
}

/// The rows of the list as they were told last, each with the time since when its pod is gone.
#[derive(Default)]
pub struct KnownEndpoints(BTreeMap<PodId, (Endpoint, Option<Duration>)>);

impl KnownEndpoints {
    /// Keeps a row; tells whether its pod has gone by it.
    pub fn insert(&mut self, row: &Endpoint, now: Duration) -> bool {
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
    pub fn missing_from(&self, list: &[Endpoint]) -> Vec<Endpoint> {
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
pub struct EndpointStates {
    states: BTreeMap<PodId, EndpointState>,
    /// The lowest build that runs on a pod which neither drains nor is gone, once it was asked for.
    lowest_build: Cell<Option<Option<BuildId>>>,
    /// The strength of all ready pods together, and the time for which it was summed up.
    ready_capacity: Cell<Option<(Duration, f64)>>,
}

impl EndpointStates {
    pub fn get(&self, pod: PodId) -> Option<&EndpointState> {
        self.states.get(&pod)
    }

    pub fn get_mut(&mut self, pod: PodId) -> Option<&mut EndpointState> {
        self.states.get_mut(&pod)
    }

    pub fn values(&self) -> impl Iterator<Item = &EndpointState> {
        self.states.values()
    }

    pub fn remove(&mut self, pod: PodId) {
        self.states.remove(&pod);
    }

    pub fn update(&mut self, entry: Endpoint, now: Duration, luck: f64) {
        let place = self
            .states
            .entry(entry.pod)
            .or_insert_with(|| EndpointState::new(&entry));
        place.update(entry, now, luck);
        self.lowest_build.set(None);
        self.ready_capacity.set(None);
    }

    /// The lowest build that runs on a pod which neither drains nor is gone, found once for each change of the list.
    pub fn lowest_build(&self) -> Option<BuildId> {
        let find = || {
            let present = self
                .states
                .values()
                .filter(|place| place.leaving_since.is_none());
            present.map(|place| place.endpoint.build).min()
        };
        let lowest = self.lowest_build.get().unwrap_or_else(find);
        self.lowest_build.set(Some(lowest));
        lowest
    }

    /// The strength of all ready pods together, summed up once for each time that it is asked for.
    pub fn ready_capacity(&self, now: Duration, figures: &DerivedConfig) -> f64 {
        if let Some((_, known)) = self.ready_capacity.get().filter(|(at, _)| *at == now) {
            return known;
        }
        let ready = self
            .states
            .values()
            .filter(|place| place.endpoint.state == PodState::Ready);
        let sum = ready
            .map(|p| p.endpoint.weight * figures.capacity_factor(p.endpoint.started_at, now))
            .sum();
        self.ready_capacity.set(Some((now, sum)));
        sum
    }
}

/// What a pod has seen of itself since its start.
#[derive(Default)]
pub struct EndpointHealth {
    pub last_success_at: Duration,
    /// When the latest attempt was sent that it served; zero once it has turned one away since.
    pub last_served_at: Duration,
    /// Recent time taken, as a share of the target latency.
    pub latency_ratio: RunningMean,
    pub consecutive_failures: u32,
    pub ejections: u32,
    /// Shut, and not proven again before this; zero while it is open.
    pub ejected_until: Duration,
}

/// The desk's record of an open hit.
pub struct OpenRequest {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// Where its last forward went.
    pub last_pod: Option<PodId>,
    pub arrived_at: Duration,
    pub deadline: Duration,
    pub attempts_in_flight: u32,
    pub tried_pods: Vec<PodId>,
    pub avoids_trial: bool,
}

impl OpenRequest {
    pub fn new(hit: &Request, arrived: Duration) -> Self {
        let (group, customer) = (hit.class, hit.tenant);
        Self {
            class: group,
            tenant: customer,
            last_pod: None,
            arrived_at: arrived,
            deadline: hit.deadline,
            attempts_in_flight: 0,
            tried_pods: Vec::new(),
            avoids_trial: false,
        }
    }
}

/// What was seen of one build in one stage.
#[derive(Default, Clone)]
pub struct CanarySample {
    pub by_class: BTreeMap<ClassId, OutcomeCounts>,
    pub by_pod: BTreeMap<PodId, PodSample>,
    /// The times of all pods, shortest first.
    latencies: Vec<f64>,
}

#[derive(Default, Clone)]
pub struct PodSample {
    pub outcomes: usize,
    pub failures: usize,
    pub flagged: usize,
    /// Times taken, scaled to a warm pod and to what the earlier build takes on its kind of machine.
    pub latencies: Vec<f64>,
}

#[derive(Default, Clone, Copy, Debug)]
pub struct OutcomeCounts {
    pub outcomes: usize,
    /// Errors, and time-outs among them.
    pub failures: usize,
    pub timed_out: usize,
    pub flagged: usize,
}

impl CanarySample {
    pub fn total(&self) -> OutcomeCounts {
        self.by_class
            .values()
            .fold(OutcomeCounts::default(), |a, c| OutcomeCounts {
                outcomes: a.outcomes + c.outcomes,
                failures: a.failures + c.failures,
                timed_out: a.timed_out + c.timed_out,
                flagged: a.flagged + c.flagged,
            })
    }

    /// What was seen of each path group, and of all, beside what another sample saw of it.
    pub fn paired_with(&self, other: &Self) -> Vec<(OutcomeCounts, OutcomeCounts)> {
        let of_other = |group: &ClassId| other.by_class.get(group).copied().unwrap_or_default();
        let by_group = self
            .by_class
            .iter()
            .map(|(group, count)| (*count, of_other(group)));
        by_group.chain([(self.total(), other.total())]).collect()
    }

    pub fn record(&mut self, group: ClassId, pod: PodId, fate: AttemptOutcome, time: Option<f64>) {
        let bad = matches!(fate, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
        let (count, by_pod) = (
            self.by_class.entry(group).or_default(),
            self.by_pod.entry(pod).or_default(),
        );
        (count.outcomes, by_pod.outcomes) = (count.outcomes + 1, by_pod.outcomes + 1);
        (count.failures, by_pod.failures) = (
            count.failures + usize::from(bad),
            by_pod.failures + usize::from(bad),
        );
        count.timed_out += usize::from(fate == AttemptOutcome::TimedOut);
        by_pod.latencies.extend(time);
        if let Some(time) = time {
            let place = self
                .latencies
                .partition_point(|known| known.total_cmp(&time).is_lt());
            self.latencies.insert(place, time);
        }
    }

    /// Forgets half of what was seen: counts in proportion, of the times the older ones.
    pub fn halve(&mut self) {
        for count in self.by_class.values_mut() {
            let OutcomeCounts {
                outcomes: seen,
                failures: bad,
                timed_out,
                flagged,
            } = *count;
            *count = OutcomeCounts {
                outcomes: seen / 2,
                failures: bad / 2,
                timed_out: timed_out / 2,
                flagged: flagged / 2,
            };
        }
        for by_pod in self.by_pod.values_mut() {
            (by_pod.outcomes, by_pod.failures, by_pod.flagged) =
                (by_pod.outcomes / 2, by_pod.failures / 2, by_pod.flagged / 2);
            by_pod.latencies.drain(..by_pod.latencies.len().div_ceil(2));
        }
        self.by_pod.retain(|_, by_pod| by_pod.outcomes > 0);
        self.latencies = self
            .by_pod
            .values()
            .flat_map(|p| &p.latencies)
            .copied()
            .collect();
        self.latencies.sort_by(f64::total_cmp);
    }

    pub fn record_flag(&mut self, group: ClassId, pod: PodId) {
        self.by_class.entry(group).or_default().flagged += 1;
        self.by_pod.entry(pod).or_default().flagged += 1;
    }

    /// All times but those of the pod whose middle one is the longest.
    pub fn latencies_without_slowest_pod(&self) -> Vec<f64> {
        let mut pods: Vec<&Vec<f64>> = self.by_pod.values().map(|p| &p.latencies).collect();
        pods.sort_by(|a, b| {
            median(a.to_vec())
                .unwrap_or(0.0)
                .total_cmp(&median(b.to_vec()).unwrap_or(0.0))
        });
        pods.pop();
        pods.into_iter().flatten().copied().collect()
    }

    pub fn latencies(&self) -> &[f64] {
        &self.latencies
    }
}

impl fmt::Display for CanarySample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (all, times) = (self.total(), self.latencies());
        write!(
            f,
            "{} bad and {} flagged of {}",
            all.failures, all.flagged, all.outcomes
        )?;
        write!(
            f,
            " on {} pods, median {:.2} of {}",
            self.by_pod.len(),
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
    pub cast_at: Duration,
}
