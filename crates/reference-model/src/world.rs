//! A fleet drawn from a seed, with its troubles, in steps of 5 ms: pods, list service, installer, clients and
//! links are stand-ins; the decisions are the real ones.

use crate::coverage::Coverage;
use crate::model::ReferenceModel;
use crate::mutation::{Mutation, MutationContext, RequestKind};
use crate::violation::Violation;
use limewing_decision::interface::*;
use limewing_decision::DecisionEngine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const START: Duration = Duration::from_secs(1000);
const LASTS: Duration = Duration::from_secs(24);
/// The share of attempts that find no kept connection, and that of connections that break before the first byte.
const DIALLED: f64 = 0.1;
const BROKEN_UNUSED: [f64; 4] = [0.05, 0.5, 0.5, 0.0];
/// The longest that a connection takes to stand.
const LONGEST_DIAL: u64 = 1000;
/// A watch that says nothing for this long, or a call that has no answer by then, is given up.
const LIST_QUIET: Duration = Duration::from_millis(1200);
/// How long a stage lasts.
const STAGE: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The first step that broke a rule.
#[derive(Debug)]
pub struct Broken {
    pub seed: u64,
    pub step: usize,
    pub breach: Violation,
}

enum Happens {
    Tell(usize, u32, Event),
    /// The connection of an attempt stands, after so many that broke.
    Stands(Job, u8),
    /// A forward comes to its pod.
    Arrives(usize, Job),
    /// Its result comes back.
    Returns(Job, AttemptOutcome),
    /// Its client waits no longer.
    Due(Job),
    StreamEnds(Job, AttemptOutcome),
    Arrival,
    Retry(ClassId, Option<RoutingKey>, u8),
    Leaves(usize, u32, RequestId),
    PodDies(usize),
    PodStarts {
        place: usize,
        build: u16,
    },
    PodGoes(usize),
    Listed(Vec<Endpoint>),
    Hangs(usize, bool),
    Slow(usize, f64),
    LosesAnswers(usize, bool),
    Call(usize, u32),
    WatchBreaks(usize),
    /// A call that has no answer is given up.
    CallGivenUp(usize, u32),
    Discovery(Discovery),
    Stalls(usize, bool),
    Dies(usize),
    Starts(usize),
    Lag(Duration),
    NewsLate(Duration),
    InstallerDown(bool),
    LowersCap,
    Steps(u64),
    Overload(f64),
}

/// How the list service does.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Discovery {
    Answers,
    Refuses,
    Silent,
}

#[derive(Clone)]
struct Job {
    sidecar: usize,
    life: u32,
    hit: RequestId,
    no: AttemptIndex,
    group: ClassId,
    pod: PodId,
}

struct PodNow {
    entry: Endpoint,
    runs: bool,
    began: Duration,
    hung: bool,
    slow: f64,
    loses: bool,
    waiting: VecDeque<Job>,
    working: Vec<(Duration, Job)>,
}

struct Open {
    group: ClassId,
    key: Option<RoutingKey>,
    due: Duration,
    retries: u8,
    /// Its forwards, and whether each has ended.
    out: Vec<bool>,
    over: bool,
    streams: bool,
}

struct Host {
    module: Option<DecisionEngine>,
    life: u32,
    stalled: bool,
    waiting: Vec<Event>,
    wake: Duration,
    open: BTreeMap<RequestId, Open>,
    /// How much of the list's log it has had, and when it had it at the latest.
    listed: usize,
    held: BTreeMap<PodId, Endpoint>,
    watches: bool,
    /// When anything was last heard of the list: a standing watch has an empty line in each step.
    heard: Duration,
    /// Connections that stand, each with its attempt and how many broke before it.
    standing: Vec<(Job, u8)>,
    lag: Duration,
    news_lag: Duration,
    told: Option<StageUpdate>,
    news_due: Duration,
    vote: Option<(Duration, Verdict, BuildId, StageIndex)>,
}

pub struct World {
    chance: StdRng,
    /// Draws what befalls connections and the list service, so that the rest of a run stays as its seed drew it.
    links: StdRng,
    discovery: Discovery,
    /// Pods that drain turn new attempts away; else they serve them until they go.
    drains_turn_away: bool,
    now: Duration,
    step: usize,
    terms: SidecarConfig,
    due: BTreeMap<(Duration, u64), Happens>,
    number: u64,
    pods: Vec<PodNow>,
    next_pod: u64,
    hosts: Vec<Host>,
    log: Vec<(Duration, Vec<Endpoint>)>,
    news: StageUpdate,
    /// Counts the installer's states: a step due from an older one is moot.
    state: u64,
    installer_down: bool,
    held_for: Duration,
    bad: BTreeMap<u16, f64>,
    next_hit: u64,
    rate: f64,
    overload: f64,
    work: f64,
    cores: usize,
    /// The extra lag of the list and of the news.
    lag: Duration,
    news_late: Duration,
    model: ReferenceModel,
    mutation: Mutation,
    turns: u64,
}

/// Plays one drawn run to its end, and adds what it put to the test.
///
/// # Errors
/// The first step at which a rule broke.
pub fn play(seed: u64, mutation: Mutation, coverage: &mut Coverage) -> Result<(), Box<Broken>> {
    let mut world = World::draw(seed, mutation);
    world.model.coverage = *coverage;
    let done = world.run();
    *coverage = world.model.coverage;
    done.map_err(|breach| {
        Box::new(Broken {
            seed,
            step: world.step,
            breach,
        })
    })
}

fn is_control(event: &Event) -> bool {
    matches!(event, Event::Endpoints(_) | Event::Stage { .. })
}

/// Tells truly for how long nothing had been heard when the loss of a list is told.
fn fill_loss(event: &mut Event, silent: Duration) {
    if let Event::Endpoints(EndpointUpdate::WatchLost(loss)) = event {
        loss.silent_for = silent;
    }
}

impl World {
    fn draw(seed: u64, mutation: Mutation) -> Self {
        let mut chance = StdRng::seed_from_u64(seed);
        let mut links = StdRng::seed_from_u64(!seed);
        let reach = [
            DeduplicationScope::All,
            DeduplicationScope::Zone,
            DeduplicationScope::Cell,
        ][chance.random_range(0..3)];
        let group = |repeat, target, timeout, streamed| RequestClass {
            idempotency: repeat,
            latency_objective: ms(target),
            client_timeout: ms(timeout),
            priority_weight: 1.0,
            late_weight: if target == 300 { 0.2 } else { 0.0 },
            streaming: streamed,
        };
        let tagged = Idempotency::Keyed {
            deduplicated_by: reach,
            window: ms(1500),
        };
        let groups = vec![
            group(Idempotency::Idempotent, 300, 1200, false),
            group(tagged, 600, 2500, false),
            group(Idempotency::NonIdempotent, 500, 2000, false),
            group(Idempotency::Idempotent, 600, 1500, true),
        ];
        let sidecars = chance.random_range(2..=4u32);
        let clock = chance.random_bool(0.6);
        let terms = SidecarConfig {
            seed: 0,
            sidecar_count: sidecars,
            sidecar_index: 0,
            zone: ZoneId(0),
            classes: groups,
            watch_on_request: chance.random_bool(0.6),
            endpoints_pushed: false,
            endpoint_lease: None,
            cancellation: chance.random_bool(0.7),
            hedging: chance.random_bool(0.6),
            retry_after: chance.random_bool(0.5).then_some(ms(500)),
            max_attempts: chance.random_range(2..=6),
            safety: SafetyLimits {
                drain_grace: ms([500, 1000][chance.random_range(0..2)]),
                slow_start_from: 0.35,
                slow_start_duration: ms(3400),
                overload_multiple: [2.0, 2.5][chance.random_range(0..2)],
                overload_window: ms([1000, 1500, 3000][chance.random_range(0..3)]),
            },
            rollout: RolloutConfig {
                control: if clock {
                    Control::Clock
                } else {
                    Control::Votes
                },
                stage_shares: vec![0.15, 0.4, 1.0],
                exposure_caps: vec![0.2, 0.5, 1.0],
                exposure_window: ms(2000),
                exposure_free: 1.0,
                exposure_per_class: chance.random_bool(0.5),
                guarded_stages: chance.random_range(0..3),
                sticky_keys: chance.random_bool(0.5),
                vote_ttl: ms(4000),
                vote_timeout: ms(1000),
                rollback_quorum: 1,
                hold_quorum: 1,
                promote_quorum: 1,
                vote_rate_limit: None,
            },
        };
        let leased = terms.watch_on_request && links.random_bool(0.4);
        let list_lease = leased.then(|| ms(links.random_range(1500..2500)));
        let terms = SidecarConfig {
            endpoint_lease: list_lease,
            ..terms
        };
        let drains_turn_away = links.random_bool(0.7);
        let (work, cores) = (0.05, 2);
        let pods = chance.random_range(6..=10usize);
        let rate = pods as f64 * cores as f64 / work * chance.random_range(0.25..0.8);
        let (now, build) = (START, BuildId(1));
        let age = Duration::ZERO;
        let news = StageUpdate {
            build,
            stage: StageIndex(2),
            phase: Phase::Released,
            cap: 1.0,
            age,
        };
        let mut world = Self {
            chance,
            links,
            discovery: Discovery::Answers,
            drains_turn_away,
            now,
            step: 0,
            terms,
            due: BTreeMap::new(),
            number: 0,
            pods: Vec::new(),
            next_pod: 0,
            hosts: Vec::new(),
            log: Vec::new(),
            news,
            state: 0,
            installer_down: false,
            held_for: Duration::ZERO,
            bad: BTreeMap::new(),
            next_hit: 0,
            rate,
            overload: 1.0,
            work,
            cores,
            lag: Duration::ZERO,
            news_late: Duration::ZERO,
            model: ReferenceModel::default(),
            mutation,
            turns: 0,
        };
        // Most pods have run for long; some are as new as the fleet.
        let young = world.chance.random_bool(0.2);
        for _ in 0..pods {
            let id = world.new_id();
            world.start_pod(
                id,
                1,
                if young {
                    None
                } else {
                    Some(START - ms(600_000))
                },
            );
        }
        let rows: Vec<Endpoint> = world.pods.iter().map(|pod| pod.entry.clone()).collect();
        world.log.push((START - ms(60_000), rows));
        world
            .model
            .list_changed(START - ms(60_000), world.list_at(1));
        for _ in 0..sidecars {
            let (lag, news_lag) = (
                ms(world.chance.random_range(50..1500)),
                ms(world.chance.random_range(50..800)),
            );
            let held = world
                .list_at(1)
                .into_iter()
                .map(|row| (row.pod, row))
                .collect();
            world.hosts.push(Host {
                module: None,
                life: 0,
                stalled: false,
                waiting: Vec::new(),
                wake: START,
                open: BTreeMap::new(),
                listed: 1,
                held,
                watches: false,
                heard: START,
                standing: Vec::new(),
                lag,
                news_lag,
                told: None,
                news_due: START,
                vote: None,
            });
        }
        world.draw_troubles(pods);
        if leased {
            world.draw_outages();
        }
        world
    }

    /// The list service is lost for long, once or twice.
    fn draw_outages(&mut self) {
        for from in [1000, 12_000]
            .into_iter()
            .take(self.links.random_range(1..=2))
        {
            let how = [Discovery::Refuses, Discovery::Silent][self.links.random_range(0..2)];
            let at = START + ms(from + self.links.random_range(0..4000));
            let till = at + ms(self.links.random_range(5000..9000));
            self.at(at, Happens::Discovery(how));
            self.at(till, Happens::Discovery(Discovery::Answers));
        }
    }

    /// What goes wrong, and when. Each kind may come more than once, and beside others.
    fn draw_troubles(&mut self, pods: usize) {
        for sidecar in 0..self.hosts.len() {
            self.at(START, Happens::Starts(sidecar));
        }
        self.at(START, Happens::Arrival);
        let offer = ms(self.chance.random_range(1500..4000));
        self.at(START + offer, Happens::Steps(0));
        for _ in 0..self.chance.random_range(5..12) {
            let at = START + ms(self.chance.random_range(500..20_000));
            let till = at + ms(self.chance.random_range(300..5000));
            let pod = self.chance.random_range(0..pods);
            let sidecar = self.chance.random_range(0..self.hosts.len());
            match self.chance.random_range(0..14) {
                0 => {
                    // Several pods die at once; some come back with another build under the same id.
                    for pod in pod..(pod + self.chance.random_range(1..4)).min(pods) {
                        let build = if self.chance.random_bool(0.3) {
                            0
                        } else {
                            self.pods[pod].entry.build.0
                        };
                        self.at(at, Happens::PodDies(pod));
                        self.at(till, Happens::PodStarts { place: pod, build });
                    }
                }
                1 => {
                    self.at(at, Happens::Hangs(pod, true));
                    self.at(till, Happens::Hangs(pod, false));
                }
                2 => {
                    let factor = self.chance.random_range(2.0..8.0);
                    self.at(at, Happens::Slow(pod, factor));
                    self.at(till, Happens::Slow(pod, 1.0));
                }
                3 => {
                    self.at(at, Happens::LosesAnswers(pod, true));
                    self.at(till, Happens::LosesAnswers(pod, false));
                }
                4 => self.at(at, Happens::WatchBreaks(sidecar)),
                5 => {
                    self.at(at, Happens::Stalls(sidecar, true));
                    self.at(at + (till - at) / 3, Happens::Stalls(sidecar, false));
                }
                6 | 7 => {
                    self.at(at, Happens::Dies(sidecar));
                    self.at(at + (till - at) / 3, Happens::Starts(sidecar));
                }
                8 => {
                    let lag = ms(self.chance.random_range(1000..6000));
                    self.at(at, Happens::Lag(lag));
                    self.at(till, Happens::Lag(Duration::ZERO));
                }
                9 => {
                    let late = ms(self.chance.random_range(1000..5000));
                    self.at(at, Happens::NewsLate(late));
                    self.at(till, Happens::NewsLate(Duration::ZERO));
                }
                10 => {
                    self.at(at, Happens::InstallerDown(true));
                    self.at(till, Happens::InstallerDown(false));
                }
                11 => self.at(at, Happens::LowersCap),
                12 => {
                    let factor = self.chance.random_range(1.2..2.5);
                    self.at(at, Happens::Overload(factor));
                    self.at(till, Happens::Overload(1.0));
                }
                _ => {
                    // All pods slow at once.
                    let factor = self.chance.random_range(1.5..4.0);
                    for pod in 0..pods {
                        self.at(at, Happens::Slow(pod, factor));
                        self.at(till, Happens::Slow(pod, 1.0));
                    }
                }
            }
        }
    }

    fn new_id(&mut self) -> PodId {
        self.next_pod += 1;
        PodId(self.next_pod)
    }

    fn at(&mut self, at: Duration, what: Happens) {
        self.number += 1;
        self.due.insert((at.max(self.now), self.number), what);
    }

    fn later(&mut self, wait: Duration, what: Happens) {
        self.at(self.now + wait, what);
    }

    fn tell_later(&mut self, wait: Duration, sidecar: usize, event: Event) {
        let life = self.hosts[sidecar].life;
        self.later(wait, Happens::Tell(sidecar, life, event));
    }

    fn run(&mut self) -> Result<(), Violation> {
        while self.now < START + LASTS {
            self.step += 1;
            while let Some(entry) = self
                .due
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let what = entry.remove();
                self.happen(what);
            }
            self.pods_work();
            for sidecar in 0..self.hosts.len() {
                self.bring_list(sidecar);
                self.bring_news(sidecar);
                self.turn(sidecar)?;
            }
            let hosts = &self.hosts;
            self.model
                .check_deadlines(self.now, |sidecar| hosts[sidecar].stalled)?;
            self.now += STEP;
        }
        Ok(())
    }

    fn turn(&mut self, sidecar: usize) -> Result<(), Violation> {
        let host = &mut self.hosts[sidecar];
        if host.stalled || host.module.is_none() {
            return Ok(());
        }
        if !host.waiting.is_empty() || self.now >= host.wake {
            let mut events = std::mem::take(&mut host.waiting);
            let silent = self.now.saturating_sub(host.heard);
            events.iter_mut().for_each(|event| fill_loss(event, silent));
            // Lists and news come by ways of their own: at times behind what came in the same step, and at times the
            // host brings them first, before it writes to any pod.
            if self.chance.random_bool(0.5) {
                events.sort_by_key(is_control);
            } else if self.links.random_bool(0.5) {
                let (ahead, rest) = events.into_iter().partition(is_control);
                events = rest;
                self.bring(sidecar, ahead, DecisionEngine::apply_events)?;
                self.write(sidecar)?;
            }
            self.bring(sidecar, events, DecisionEngine::handle)?;
        }
        self.write(sidecar)
    }

    /// Brings events to the decisions, and carries out what these say.
    fn bring(
        &mut self,
        sidecar: usize,
        events: Vec<Event>,
        to: fn(&mut DecisionEngine, Duration, Vec<Event>) -> Vec<Action>,
    ) -> Result<(), Violation> {
        let host = &mut self.hosts[sidecar];
        let Some(module) = host.module.as_mut() else {
            return Ok(());
        };
        self.model.record_events(sidecar, self.now, &events);
        let actions = to(module, self.now, events);
        self.turns += 1;
        let held: Vec<Endpoint> = host.held.values().cloned().collect();
        let groups: BTreeMap<RequestId, RequestKind> = host
            .open
            .iter()
            .map(|(hit, open)| {
                (
                    *hit,
                    RequestKind {
                        class: open.group,
                        routing_key: open.key,
                    },
                )
            })
            .collect();
        let context = MutationContext {
            turn: self.turns,
            now: self.now,
            config: &self.terms,
            endpoints: &held,
            requests: &groups,
        };
        let actions = self.mutation.apply(actions, &context);
        self.model.check_actions(sidecar, self.now, &actions)?;
        actions
            .into_iter()
            .for_each(|action| self.carry_out(sidecar, action));
        Ok(())
    }

    /// Writes the attempts whose connections stand.
    fn write(&mut self, sidecar: usize) -> Result<(), Violation> {
        let standing = std::mem::take(&mut self.hosts[sidecar].standing);
        standing
            .into_iter()
            .try_for_each(|(job, broken)| self.begin(job, broken))
    }

    /// Writes an attempt on a connection that stands, if the decisions still allow it. The connection may break unused.
    fn begin(&mut self, job: Job, broken: u8) -> Result<(), Violation> {
        let host = &self.hosts[job.sidecar];
        let (Some(module), Some(open)) = (&host.module, host.open.get(&job.hit)) else {
            return Ok(());
        };
        if open.out[usize::from(job.no.0)] {
            return Ok(());
        }
        if open.over || open.streams || self.now >= open.due {
            self.returns(&job, AttemptOutcome::NeverSent);
            return Ok(());
        }
        let place = self
            .pods
            .iter()
            .position(|now| now.entry.pod == job.pod && now.runs);
        let Some(place) = place else {
            // No process there: refused at once, or nothing at all for as long as a connection may take.
            let wait = if self.chance.random_bool(0.5) { 2 } else { 250 };
            self.later(
                ms(wait),
                Happens::Returns(job, AttemptOutcome::ConnectFailed),
            );
            return Ok(());
        };
        if self.mutation.asks_before_first_byte(broken)
            && !module.may_begin(self.now, job.hit, job.no)
        {
            self.model.attempt_withheld(job.sidecar, self.now, job.pod);
            self.returns(&job, AttemptOutcome::NeverSent);
            return Ok(());
        }
        if self.links.random_bool(BROKEN_UNUSED[usize::from(broken)]) {
            self.dial(job, broken + 1);
            return Ok(());
        }
        self.model
            .check_first_byte(job.sidecar, self.now, job.hit, job.no, broken > 0)?;
        let wait = ms(self.chance.random_range(1..5));
        self.later(wait, Happens::Arrives(place, job));
        Ok(())
    }

    /// Finds a connection for an attempt: mostly one that is kept, else one that has to be dialled.
    fn dial(&mut self, job: Job, broken: u8) {
        if broken == 0 && !self.links.random_bool(DIALLED) {
            return self.hosts[job.sidecar].standing.push((job, broken));
        }
        let wait = ms(self.links.random_range(5..=LONGEST_DIAL));
        self.later(wait, Happens::Stands(job, broken));
    }

    fn carry_out(&mut self, sidecar: usize, action: Action) {
        let life = self.hosts[sidecar].life;
        match action {
            Action::StartAttempt {
                request: hit, pod, ..
            } => self.send(sidecar, hit, pod),
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => {
                let Some(open) = self.hosts[sidecar].open.get_mut(&hit) else {
                    return;
                };
                let (over, streams, group) = (open.over, open.streams, open.group);
                let Some(out) = open.out.get_mut(usize::from(no.0)).filter(|ended| !**ended) else {
                    return;
                };
                if streams {
                    return;
                }
                *out = true;
                let job = Job {
                    sidecar,
                    life,
                    hit,
                    no,
                    group,
                    pod: PodId(0),
                };
                self.tell_outcome(&job, AttemptOutcome::Cancelled, over, STEP);
            }
            Action::Reject { request: hit, .. } | Action::Fail { request: hit } => {
                let bounced = matches!(action, Action::Reject { .. });
                let Some(open) = self.hosts[sidecar]
                    .open
                    .get_mut(&hit)
                    .filter(|open| !open.over)
                else {
                    return;
                };
                open.over = true;
                let (group, key, retries) = (open.group, open.key, open.retries);
                let again = bounced
                    || self.terms.classes[usize::from(group.0)].idempotency
                        == Idempotency::Idempotent;
                if again && retries > 0 && self.chance.random_bool(0.6) {
                    let wait = ms(self.chance.random_range(20..600));
                    self.later(wait, Happens::Retry(group, key, retries - 1));
                }
            }
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.vote(sidecar, verdict, build, stage),
            Action::WatchEndpoints => {
                let wait = ms(self.chance.random_range(40..400));
                self.later(wait, Happens::Call(sidecar, life));
            }
            Action::WakeAt { at } => self.hosts[sidecar].wake = at,
            _ => {}
        }
    }

    fn send(&mut self, sidecar: usize, hit: RequestId, pod: PodId) {
        let (life, most) = (self.hosts[sidecar].life, self.terms.max_attempts);
        let Some(open) = self.hosts[sidecar].open.get_mut(&hit) else {
            return;
        };
        let no = AttemptIndex(open.out.len() as u16);
        let void = open.over || open.streams || no.0 >= most || self.now >= open.due;
        open.out.push(void);
        let (group, over, due) = (open.group, open.over, open.due);
        let job = Job {
            sidecar,
            life,
            hit,
            no,
            group,
            pod,
        };
        if void {
            return self.tell_outcome(&job, AttemptOutcome::NeverSent, over, STEP);
        }
        self.at(due, Happens::Due(job.clone()));
        self.dial(job, 0);
    }

    fn tell_outcome(&mut self, job: &Job, fate: AttemptOutcome, over: bool, took: Duration) {
        let (hit, no, pod) = (job.hit, job.no, job.pod);
        let event = Event::AttemptFinished(AttemptResult {
            request: hit,
            attempt: no,
            pod,
            outcome: fate,
            duration: took,
            request_over: over,
        });
        let late = if fate != AttemptOutcome::TimedOut && self.chance.random_bool(0.02) {
            ms(self.chance.random_range(5..15))
        } else {
            STEP
        };
        self.later(late, Happens::Tell(job.sidecar, job.life, event));
    }

    fn happen(&mut self, what: Happens) {
        match what {
            Happens::Tell(sidecar, life, event) => {
                let host = &mut self.hosts[sidecar];
                if host.life == life && host.module.is_some() {
                    host.waiting.push(event);
                }
            }
            Happens::Stands(job, broken) => {
                let host = &mut self.hosts[job.sidecar];
                if host.life == job.life {
                    host.standing.push((job, broken));
                }
            }
            Happens::Arrives(place, job) => self.arrives(place, job),
            Happens::Returns(job, fate) => self.returns(&job, fate),
            Happens::Due(job) => self.returns(&job, AttemptOutcome::TimedOut),
            Happens::StreamEnds(job, fate) => {
                let host = &mut self.hosts[job.sidecar];
                if host.life != job.life {
                    return;
                }
                let Some(open) = host.open.get_mut(&job.hit) else {
                    return;
                };
                open.over = true;
                open.out[usize::from(job.no.0)] = true;
                self.tell_outcome(&job, fate, true, STEP);
            }
            Happens::Arrival => {
                let group = ClassId([0, 0, 1, 1, 2, 2, 3][self.chance.random_range(0..7)]);
                let key = self
                    .chance
                    .random_bool(0.7)
                    .then(|| RoutingKey(self.chance.random_range(1..60)));
                self.hit(group, key, 2);
                let wait =
                    -self.chance.random_range(1e-9..1.0_f64).ln() / (self.rate * self.overload);
                self.later(Duration::from_secs_f64(wait), Happens::Arrival);
            }
            Happens::Retry(group, key, retries) => self.hit(group, key, retries),
            Happens::Leaves(sidecar, life, hit) => {
                let host = &mut self.hosts[sidecar];
                let Some(open) = host
                    .open
                    .get_mut(&hit)
                    .filter(|open| !open.over && host.life == life)
                else {
                    return;
                };
                open.over = true;
                host.waiting.push(Event::ClientDisconnected(hit));
            }
            Happens::PodDies(place) => {
                let pod = &mut self.pods[place];
                if !std::mem::take(&mut pod.runs) {
                    return;
                }
                let held: Vec<Job> = pod
                    .waiting
                    .drain(..)
                    .chain(pod.working.drain(..).map(|(_, job)| job))
                    .collect();
                held.into_iter().for_each(|job| {
                    self.later(
                        ms(2),
                        Happens::Returns(job, AttemptOutcome::ConnectionReset),
                    )
                });
                let gone = Endpoint {
                    state: PodState::Gone,
                    ..self.pods[place].entry.clone()
                };
                let late = ms(self.chance.random_range(500..4000));
                self.later(late, Happens::Listed(vec![gone]));
            }
            Happens::PodStarts { place, build } => {
                let build = if build == 0 { self.news.build.0 } else { build };
                let (id, drains) = (
                    self.pods[place].entry.pod,
                    self.pods[place].entry.state != PodState::Ready,
                );
                if !self.pods[place].runs && !drains {
                    self.start_at(place, id, build);
                }
            }
            Happens::PodGoes(place) => {
                let pod = &mut self.pods[place];
                pod.runs = false;
                let held: Vec<Job> = pod
                    .waiting
                    .drain(..)
                    .chain(pod.working.drain(..).map(|(_, job)| job))
                    .collect();
                held.into_iter().for_each(|job| {
                    self.later(
                        ms(2),
                        Happens::Returns(job, AttemptOutcome::ConnectionReset),
                    )
                });
                let gone = Endpoint {
                    state: PodState::Gone,
                    ..self.pods[place].entry.clone()
                };
                self.happen(Happens::Listed(vec![gone]));
            }
            Happens::Listed(rows) => {
                // Word of an end that came to nothing: the pod runs again.
                let stale = |row: &Endpoint| {
                    let now = self
                        .pods
                        .iter()
                        .find(|pod| pod.entry.pod == row.pod && pod.runs);
                    row.state == PodState::Gone
                        && now.is_some_and(|pod| pod.entry.started_at != row.started_at)
                };
                let rows: Vec<Endpoint> = rows.into_iter().filter(|row| !stale(row)).collect();
                if !rows.is_empty() {
                    self.log.push((self.now, rows));
                    let whole = self.list_at(self.log.len());
                    self.model.list_changed(self.now, whole);
                }
            }
            Happens::Hangs(place, hangs) => self.pods[place].hung = hangs,
            Happens::Slow(place, factor) => self.pods[place].slow = factor,
            Happens::LosesAnswers(place, loses) => self.pods[place].loses = loses,
            Happens::Call(sidecar, life) => self.call(sidecar, life),
            Happens::WatchBreaks(sidecar) => {
                if self.hosts[sidecar].module.is_some() && self.terms.watch_on_request {
                    self.lose_list(sidecar, WatchLossCause::Ended);
                }
            }
            Happens::CallGivenUp(sidecar, life) => {
                if self.hosts[sidecar].life == life && self.hosts[sidecar].module.is_some() {
                    self.lose_list(sidecar, WatchLossCause::Ended);
                }
            }
            Happens::Discovery(how) => {
                self.discovery = how;
                // One that refuses has closed what stood; one that is silent leaves it to be found out.
                let watching = (0..self.hosts.len()).filter(|sidecar| self.hosts[*sidecar].watches);
                let closed: Vec<usize> = watching.filter(|_| how == Discovery::Refuses).collect();
                closed
                    .into_iter()
                    .for_each(|sidecar| self.lose_list(sidecar, WatchLossCause::Ended));
            }
            Happens::Stalls(sidecar, stalls) => {
                self.hosts[sidecar].stalled = stalls;
                if !stalls {
                    self.model.sidecar_resumed(sidecar, self.now);
                }
            }
            Happens::Dies(sidecar) => {
                let host = &mut self.hosts[sidecar];
                host.module = None;
                host.life += 1;
                host.waiting.clear();
                host.standing.clear();
                host.open.clear();
                host.told = None;
                self.model.sidecar_stopped(sidecar);
            }
            Happens::Starts(sidecar) => self.start_sidecar(sidecar),
            Happens::Lag(lag) => self.lag = lag,
            Happens::NewsLate(late) => self.news_late = late,
            Happens::InstallerDown(down) => self.installer_down = down,
            Happens::LowersCap => {
                if self.news.phase == Phase::OnTrial {
                    self.change(StageUpdate {
                        cap: self.news.cap * 0.4,
                        ..self.news
                    });
                }
            }
            Happens::Steps(state) => self.steps(state),
            Happens::Overload(factor) => self.overload = factor,
        }
    }

    fn hit(&mut self, group: ClassId, key: Option<RoutingKey>, retries: u8) {
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|s| self.hosts[*s].module.is_some())
            .collect();
        if up.is_empty() {
            return;
        }
        // Unequal traffic: the first sidecar gets the most.
        let sidecar =
            up[(up.len() as f64 * self.chance.random_range(0.0..1.0_f64).powi(2)) as usize];
        self.next_hit += 1;
        let id = RequestId(self.next_hit);
        let timeout = self.terms.classes[usize::from(group.0)].client_timeout;
        let due = self.now + timeout.mul_f64(self.chance.random_range(0.4..1.0));
        let customer = Some(TenantId(self.chance.random_range(0..3)));
        let host = &mut self.hosts[sidecar];
        let (out, over, streams) = (Vec::new(), false, false);
        host.open.insert(
            id,
            Open {
                group,
                key,
                due,
                retries,
                out,
                over,
                streams,
            },
        );
        host.waiting.push(Event::RequestArrived(Request {
            id,
            class: group,
            tenant: customer,
            routing_key: key,
            deadline: due,
        }));
        let life = host.life;
        if self.chance.random_bool(0.02) {
            let at = self.now + timeout.mul_f64(self.chance.random_range(0.0..0.4));
            self.at(at, Happens::Leaves(sidecar, life, id));
        }
        self.at(due + ms(40), Happens::Leaves(sidecar, life, id));
    }

    fn arrives(&mut self, place: usize, job: Job) {
        let pod = &mut self.pods[place];
        if !pod.runs || pod.entry.pod != job.pod {
            return self.returns(&job, AttemptOutcome::ConnectionReset);
        }
        let leaves = self.drains_turn_away && pod.entry.state == PodState::Draining;
        if leaves || pod.waiting.len() >= 20 {
            return self.later(ms(1), Happens::Returns(job, AttemptOutcome::Rejected));
        }
        pod.waiting.push_back(job);
    }

    fn pods_work(&mut self) {
        let (now, rules) = (self.now, self.terms.safety.clone());
        for place in 0..self.pods.len() {
            let pod = &mut self.pods[place];
            if pod.hung || !pod.runs {
                continue;
            }
            let done: Vec<Job> = pod
                .working
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, job)| job.clone())
                .collect();
            pod.working.retain(|(at, _)| *at > now);
            let (build, loses) = (pod.entry.build.0, pod.loses);
            let age = now.saturating_sub(pod.began).as_secs_f64()
                / rules.slow_start_duration.as_secs_f64();
            let strength = (rules.slow_start_from + (1.0 - rules.slow_start_from) * age).min(1.0);
            while pod.working.len() < self.cores && !pod.waiting.is_empty() {
                let Some(job) = pod.waiting.pop_front() else {
                    break;
                };
                let work = self.work * self.chance.random_range(0.5..1.5) * pod.slow / strength;
                pod.working.push((now + Duration::from_secs_f64(work), job));
            }
            for job in done {
                let bad = self.bad.get(&build).copied().unwrap_or(0.0);
                let fate = match self.chance.random_range(0.0..1.0) {
                    x if x < bad => AttemptOutcome::Failed,
                    x if x < bad + 0.002 => AttemptOutcome::ConnectionReset,
                    _ => AttemptOutcome::Succeeded,
                };
                if !(loses && self.chance.random_bool(0.4)) {
                    self.later(ms(1), Happens::Returns(job, fate));
                }
            }
        }
    }

    fn returns(&mut self, job: &Job, fate: AttemptOutcome) {
        let host = &mut self.hosts[job.sidecar];
        if host.life != job.life {
            return;
        }
        let Some(open) = host.open.get_mut(&job.hit) else {
            return;
        };
        let no = usize::from(job.no.0);
        if open.out[no] || open.streams && fate == AttemptOutcome::TimedOut {
            return;
        }
        let streamed = self.terms.classes[usize::from(job.group.0)].streaming;
        if streamed && fate == AttemptOutcome::Succeeded && !open.over {
            // The others of this hit end by themselves; their answers go nowhere.
            open.streams = true;
            host.waiting.push(Event::StreamStarted { request: job.hit });
            let ends = if self.chance.random_bool(0.2) {
                AttemptOutcome::ConnectionReset
            } else {
                AttemptOutcome::Succeeded
            };
            let wait = ms(self.chance.random_range(20..800));
            return self.later(wait, Happens::StreamEnds(job.clone(), ends));
        }
        open.out[no] = true;
        let fate = if open.streams && fate == AttemptOutcome::Succeeded {
            AttemptOutcome::Cancelled
        } else {
            fate
        };
        open.over |= fate == AttemptOutcome::Succeeded;
        let over = open.over;
        self.tell_outcome(job, fate, over, ms(50));
    }

    fn start_pod(&mut self, id: PodId, build: u16, began: Option<Duration>) {
        let place = self.pods.len() as u64;
        let (zone, cell) = (ZoneId((place % 2) as u16), CellId((place / 3) as u16));
        let entry = Endpoint {
            pod: id,
            state: PodState::Ready,
            build: BuildId(build),
            weight: 1.0,
            started_at: Some(began.unwrap_or(self.now)),
            zone,
            cell,
            machine_type: MachineTypeId(0),
        };
        let (runs, hung, slow, loses) = (true, false, 1.0, false);
        let (waiting, working) = (VecDeque::new(), Vec::new());
        let began = began.unwrap_or(self.now);
        self.model
            .pod_started(id, began, self.cores as f64 / self.work);
        self.pods.push(PodNow {
            entry,
            runs,
            began,
            hung,
            slow,
            loses,
            waiting,
            working,
        });
    }

    /// A process begins at a place, under an old id or a new one.
    fn start_at(&mut self, place: usize, id: PodId, build: u16) {
        self.model
            .pod_started(id, self.now, self.cores as f64 / self.work);
        let now = self.now;
        let pod = &mut self.pods[place];
        pod.entry = Endpoint {
            pod: id,
            state: PodState::Ready,
            build: BuildId(build),
            started_at: Some(now),
            ..pod.entry.clone()
        };
        (pod.runs, pod.began, pod.slow, pod.hung, pod.loses) = (true, now, 1.0, false, false);
        let row = pod.entry.clone();
        self.happen(Happens::Listed(vec![row]));
    }

    /// The list after so many entries of the log.
    fn list_at(&self, entries: usize) -> Vec<Endpoint> {
        let mut rows: BTreeMap<PodId, Endpoint> = BTreeMap::new();
        for row in self.log[..entries].iter().flat_map(|(_, rows)| rows) {
            rows.insert(row.pod, row.clone());
        }
        rows.into_values()
            .filter(|row| row.state != PodState::Gone)
            .collect()
    }

    fn known_by(&self, sidecar: usize) -> usize {
        let host = &self.hosts[sidecar];
        let last = self
            .log
            .iter()
            .take_while(|(at, _)| *at + host.lag + self.lag <= self.now)
            .count();
        last.max(host.listed)
    }

    fn bring_list(&mut self, sidecar: usize) {
        if self.hosts[sidecar].module.is_none()
            || (self.terms.watch_on_request && !self.hosts[sidecar].watches)
        {
            return;
        }
        if self.terms.watch_on_request && !self.hears(sidecar) {
            return;
        }
        let upto = self.known_by(sidecar);
        let from = self.hosts[sidecar].listed;
        if upto > from {
            let rows: Vec<Endpoint> = self.log[from..upto]
                .iter()
                .flat_map(|(_, rows)| rows.clone())
                .collect();
            let news = if self.chance.random_bool(0.1) {
                EndpointUpdate::Snapshot(self.list_at(upto))
            } else {
                EndpointUpdate::Delta(rows)
            };
            self.give_list(sidecar, upto, news);
        }
    }

    /// Whether a watch says anything in this step; one that has been silent for too long is given up.
    fn hears(&mut self, sidecar: usize) -> bool {
        let host = &mut self.hosts[sidecar];
        let speaks = self.discovery == Discovery::Answers;
        if speaks && !host.stalled {
            host.heard = self.now;
            self.model.list_heard(sidecar, self.now);
        }
        if !speaks && self.now >= host.heard + LIST_QUIET {
            self.lose_list(sidecar, WatchLossCause::Ended);
        }
        speaks
    }

    /// The host tells the decisions that a watch or a call was lost.
    fn lose_list(&mut self, sidecar: usize, why: WatchLossCause) {
        let host = &mut self.hosts[sidecar];
        host.watches = false;
        host.waiting
            .push(Event::Endpoints(EndpointUpdate::WatchLost(WatchLoss {
                cause: why,
                ..WatchLoss::default()
            })));
    }

    fn give_list(&mut self, sidecar: usize, upto: usize, news: EndpointUpdate) {
        let held = self
            .list_at(upto)
            .into_iter()
            .map(|row| (row.pod, row))
            .collect();
        let host = &mut self.hosts[sidecar];
        (host.listed, host.held) = (upto, held);
        host.waiting.push(Event::Endpoints(news));
    }

    /// The list service answers a call: the changes missed, all of it, or not at all.
    fn call(&mut self, sidecar: usize, life: u32) {
        if self.hosts[sidecar].life != life || self.hosts[sidecar].module.is_none() {
            return;
        }
        match self.discovery {
            Discovery::Refuses => return self.lose_list(sidecar, WatchLossCause::Refused),
            Discovery::Silent => {
                return self.later(LIST_QUIET, Happens::CallGivenUp(sidecar, life))
            }
            Discovery::Answers if self.chance.random_bool(0.15) => {
                return self.lose_list(sidecar, WatchLossCause::Ended)
            }
            Discovery::Answers => {}
        }
        self.hosts[sidecar].watches = true;
        let (from, upto) = (self.hosts[sidecar].listed, self.known_by(sidecar));
        let news = if self.chance.random_bool(0.3) {
            EndpointUpdate::Snapshot(self.list_at(upto))
        } else {
            let rows = self.log[from..upto]
                .iter()
                .flat_map(|(_, rows)| rows.clone());
            EndpointUpdate::Delta(rows.collect())
        };
        self.give_list(sidecar, upto, news);
    }

    fn start_sidecar(&mut self, sidecar: usize) {
        if self.hosts[sidecar].module.is_some() {
            return;
        }
        let zone = ZoneId((sidecar % 2) as u16);
        let seed = self.chance.random_range(0..u64::MAX);
        let terms = SidecarConfig {
            seed,
            sidecar_index: sidecar as u32,
            zone,
            ..self.terms.clone()
        };
        self.model.sidecar_started(sidecar, self.now, terms.clone());
        let remembered: Vec<Endpoint> = self.hosts[sidecar].held.values().cloned().collect();
        let news = self.hosts[sidecar].told.unwrap_or(self.news);
        let list_lease = terms
            .endpoint_lease
            .filter(|_| self.mutation != Mutation::IgnoresEndpointLease);
        let host = &mut self.hosts[sidecar];
        host.module = Some(DecisionEngine::new(
            self.now,
            SidecarConfig {
                endpoint_lease: list_lease,
                ..terms
            },
        ));
        (host.watches, host.wake, host.told, host.heard) = (false, self.now, Some(news), self.now);
        host.waiting = vec![
            Event::Endpoints(EndpointUpdate::Cached(remembered)),
            Event::Stage {
                update: Some(news),
                vote_answer: None,
            },
        ];
        if self.terms.watch_on_request {
            // Whoever hosts the module asks once for it.
            let life = host.life;
            self.later(ms(100), Happens::Call(sidecar, life));
        }
    }

    fn change(&mut self, news: StageUpdate) {
        self.news = news;
        self.state += 1;
        self.held_for = Duration::ZERO;
        for sidecar in 0..self.hosts.len() {
            let wait = self.hosts[sidecar].news_lag + self.news_late;
            self.hosts[sidecar].news_due = self.hosts[sidecar].news_due.max(self.now + wait);
            let news = self.news;
            let at = self.hosts[sidecar].news_due;
            let life = self.hosts[sidecar].life;
            self.at(
                at,
                Happens::Tell(
                    sidecar,
                    life,
                    Event::Stage {
                        update: Some(news),
                        vote_answer: None,
                    },
                ),
            );
        }
    }

    fn bring_news(&mut self, sidecar: usize) {
        let host = &mut self.hosts[sidecar];
        for event in &host.waiting {
            if let Event::Stage {
                update: Some(news), ..
            } = event
            {
                host.told = Some(*news);
            }
        }
    }

    fn vote(&mut self, sidecar: usize, verdict: Verdict, build: BuildId, stage: StageIndex) {
        let wait = ms(self.chance.random_range(30..250));
        let here =
            build == self.news.build && (stage == self.news.stage || verdict == Verdict::RollBack);
        let answer = match self.chance.random_range(0..20) {
            _ if self.installer_down && self.chance.random_bool(0.5) => VoteAnswer::Failed,
            _ if self.installer_down => VoteAnswer::Unanswered,
            0 => VoteAnswer::Full,
            1 => VoteAnswer::Unanswered,
            _ if !here => VoteAnswer::Moot,
            _ => VoteAnswer::Counted,
        };
        let counts = answer == VoteAnswer::Counted
            || (answer == VoteAnswer::Unanswered && self.chance.random_bool(0.5) && here);
        if counts {
            self.hosts[sidecar].vote = Some((self.now, verdict, build, stage));
            if verdict == Verdict::RollBack
                && matches!(self.news.phase, Phase::OnTrial | Phase::Released)
            {
                self.go_back();
            }
        }
        let wait = if answer == VoteAnswer::Unanswered {
            self.terms.rollout.vote_timeout
        } else {
            wait
        };
        self.tell_later(
            wait,
            sidecar,
            Event::Stage {
                update: None,
                vote_answer: Some(answer),
            },
        );
    }

    fn go_back(&mut self) {
        self.change(StageUpdate {
            phase: Phase::RollingBack,
            cap: 0.0,
            ..self.news
        });
        let earlier = self.news.build.0 - 1;
        self.bring_in(self.news.build.0, earlier, 1.0);
        let state = self.state;
        self.later(ms(2500), Happens::Steps(state));
    }

    /// Starts machines of a build for a share of the fleet; each drains what it takes the place of.
    fn bring_in(&mut self, of: u16, to: u16, share: f64) {
        let ready = |pod: &PodNow, build: u16| {
            pod.runs && pod.entry.build.0 == build && pod.entry.state == PodState::Ready
        };
        let whole = self
            .pods
            .iter()
            .filter(|pod| pod.runs && pod.entry.state == PodState::Ready)
            .count();
        let have = self.pods.iter().filter(|pod| ready(pod, to)).count();
        let want = ((whole as f64 * share).ceil() as usize).saturating_sub(have);
        let places: Vec<usize> = (0..self.pods.len())
            .filter(|place| ready(&self.pods[*place], of))
            .take(want)
            .collect();
        for place in places {
            let id = self.new_id();
            let (zone, cell) = (self.pods[place].entry.zone, self.pods[place].entry.cell);
            self.start_pod(id, to, None);
            let fresh = self.pods.len() - 1;
            (self.pods[fresh].entry.zone, self.pods[fresh].entry.cell) = (zone, cell);
            let row = self.pods[fresh].entry.clone();
            self.pods[place].entry.state = PodState::Draining;
            let drains = self.pods[place].entry.clone();
            self.happen(Happens::Listed(vec![row, drains]));
            let mut wait = ms(self.chance.random_range(1500..3500));
            if self.terms.endpoint_lease.is_some() {
                // Long beside the lease, or no pod would be there that has drained for longer.
                wait += ms(self.links.random_range(0..5000));
            }
            self.later(wait, Happens::PodGoes(place));
        }
    }

    fn steps(&mut self, state: u64) {
        if state != self.state {
            return;
        }
        if self.installer_down {
            return self.later(ms(500), Happens::Steps(state));
        }
        let life = self.terms.rollout.vote_ttl;
        let standing = |verdict: Verdict| {
            let here = |(at, what, build, stage): (Duration, Verdict, BuildId, StageIndex)| {
                let now = build == self.news.build && stage == self.news.stage;
                what == verdict && now && self.now < at + life
            };
            self.hosts.iter().any(|host| host.vote.is_some_and(here))
        };
        let clock = self.terms.rollout.control == Control::Clock;
        if self.news.phase == Phase::OnTrial {
            let waits = if clock {
                standing(Verdict::Hold)
            } else {
                !standing(Verdict::Promote)
            };
            // An operator gives up on a build that nothing moves.
            if waits && self.held_for < ms(6000) {
                self.held_for += ms(250);
                return self.later(ms(250), Happens::Steps(state));
            }
        }
        let shares = self.terms.rollout.stage_shares.clone();
        let caps = self.terms.rollout.exposure_caps.clone();
        let (build, stage) = (self.news.build, usize::from(self.news.stage.0));
        match self.news.phase {
            Phase::Released | Phase::RolledBack => {
                let next = BuildId(build.0 + 1);
                let bad = if self.chance.random_bool(0.4) {
                    self.chance.random_range(0.1..0.5)
                } else {
                    0.0
                };
                self.bad.insert(next.0, bad);
                // Machines come first, or the news does: an unannounced build counts as in its first stage.
                let of = self
                    .pods
                    .iter()
                    .filter(|pod| pod.runs && pod.entry.state == PodState::Ready);
                let of = of.map(|pod| pod.entry.build.0).min().unwrap_or(1);
                self.bring_in(of, next.0, shares[0]);
                let (stage, phase, cap) = (StageIndex(0), Phase::OnTrial, caps[0]);
                self.change(StageUpdate {
                    build: next,
                    stage,
                    phase,
                    cap,
                    ..self.news
                });
            }
            Phase::OnTrial if stage + 1 < shares.len() => {
                let before = self
                    .pods
                    .iter()
                    .filter(|pod| pod.runs && pod.entry.build < build);
                let of = before.map(|pod| pod.entry.build.0).max().unwrap_or(build.0);
                self.bring_in(of, build.0, shares[stage + 1]);
                let (stage, cap) = (StageIndex(stage as u8 + 1), caps[stage + 1]);
                self.change(StageUpdate {
                    stage,
                    cap,
                    ..self.news
                });
            }
            Phase::OnTrial => self.change(StageUpdate {
                phase: Phase::Released,
                cap: 1.0,
                ..self.news
            }),
            Phase::RollingBack => self.change(StageUpdate {
                phase: Phase::RolledBack,
                cap: 0.0,
                ..self.news
            }),
        }
        let state = self.state;
        self.later(STAGE, Happens::Steps(state));
    }
}
