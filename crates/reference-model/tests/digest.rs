//! Digests of what the decisions put out: any change of a decision, of the order of random draws, of an iteration or of a
//! sum of floats changes them. Numbers are hashed, never names, so that renaming leaves them alone. The text of log lines
//! is left out; that there was one is hashed.
//!
//! `decision` hashes every action, in order, of one sidecar in a small simulation of its own. `reference-model` hashes
//! what the drawn runs of the reference model counted, and at which step it caught each planted break.

use limewing_decision::interface::*;
use limewing_decision::DecisionEngine;
use limewing_reference_model::coverage::Coverage;
use limewing_reference_model::mutation::Mutation;
use limewing_reference_model::simulation::play;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: u64 = 20;
const STEP: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(1000);
const RUN: Duration = Duration::from_secs(150);
const PODS: u64 = 12;
/// Requests a second, on average.
const RATE: f64 = 90.0;

/// 64-bit FNV-1a.
struct Digest(u64);

impl Digest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn new() -> Self {
        Self(Self::OFFSET_BASIS)
    }

    fn number(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(Self::PRIME);
        }
    }

    fn span(&mut self, span: Duration) {
        self.number(span.as_nanos() as u64);
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                request: hit,
                pod,
                timeout: within,
            } => {
                self.number(0);
                self.number(hit.0);
                self.number(pod.0);
                self.span(*within);
            }
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => {
                self.number(1);
                self.number(hit.0);
                self.number(no.0.into());
            }
            Action::Reject {
                request: hit,
                retry_after,
            } => {
                self.number(2);
                self.number(hit.0);
                self.span(*retry_after);
            }
            Action::Fail { request: hit } => {
                self.number(3);
                self.number(hit.0);
            }
            Action::Vote {
                verdict,
                build,
                stage,
            } => {
                self.number(4);
                self.number(match verdict {
                    Verdict::Abstain => 0,
                    Verdict::Promote => 1,
                    Verdict::Hold => 2,
                    Verdict::RollBack => 3,
                });
                self.number(build.0.into());
                self.number(stage.0.into());
            }
            Action::WatchEndpoints => self.number(5),
            Action::WakeAt { at } => {
                self.number(6);
                self.span(*at);
            }
            Action::Log(_) => self.number(7),
        }
    }
}

/// How often each kind of action came, so that a digest of nothing is noticed.
#[derive(Default)]
struct Counts {
    forwards: u64,
    cancels: u64,
    bounces: u64,
    fails: u64,
    votes: [u64; 4],
    watches: u64,
    wakes: u64,
    logs: u64,
    refused_starts: u64,
}

impl Counts {
    fn count(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { .. } => self.forwards += 1,
            Action::CancelAttempt { .. } => self.cancels += 1,
            Action::Reject { .. } => self.bounces += 1,
            Action::Fail { .. } => self.fails += 1,
            Action::Vote { verdict, .. } => {
                self.votes[match verdict {
                    Verdict::Abstain => 0,
                    Verdict::Promote => 1,
                    Verdict::Hold => 2,
                    Verdict::RollBack => 3,
                }] += 1
            }
            Action::WatchEndpoints => self.watches += 1,
            Action::WakeAt { .. } => self.wakes += 1,
            Action::Log(_) => self.logs += 1,
        }
    }
}

/// One attempt of a request at a pod.
#[derive(Clone, Copy)]
struct Attempt {
    incarnation: u32,
    request: RequestId,
    index: AttemptIndex,
    pod: PodId,
}

/// A request that the sidecar was given.
struct Open {
    class: usize,
    due: Duration,
    /// For each attempt, whether it has ended.
    ended: Vec<bool>,
    over: bool,
    streams: bool,
}

struct Server {
    entry: Endpoint,
    runs: bool,
    hangs: bool,
    slowness: f64,
    error_rate: f64,
    open: u32,
}

enum Scheduled {
    Arrival,
    Tell(u32, Event),
    Connected(Attempt),
    Answer(Attempt, AttemptOutcome),
    TimeUp(Attempt),
    StreamEnd(Attempt, AttemptOutcome),
    ClientLeaves(u32, RequestId),
    ServerFault,
    ServerRecovers(usize),
    ServerDies(usize),
    ServerRestarts(usize, u16),
    ListCall(u32),
    WatchBreaks,
    StageStep,
    FleetChange,
    KeyMet,
    WrongAnswer,
    Stall,
    Restart,
    Overload(f64),
}

/// A sidecar with servers, clients, an endpoint list and a rollout, in steps of 10 ms.
struct Simulation {
    rng: StdRng,
    now: Duration,
    settings: SidecarConfig,
    sidecar: DecisionEngine,
    incarnation: u32,
    events: Vec<Event>,
    wake_at: Duration,
    stalled_until: Duration,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    queued: u64,
    servers: Vec<Server>,
    requests: BTreeMap<RequestId, Open>,
    next_request: u64,
    overload: f64,
    watching: bool,
    last_heard: Duration,
    missed: Vec<Endpoint>,
    stage: StageUpdate,
    stage_since: Duration,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn class(repeat: Idempotency, latency: u64, timeout: u64, streamed: bool) -> RequestClass {
    RequestClass {
        idempotency: repeat,
        latency_objective: ms(latency),
        client_timeout: ms(timeout),
        priority_weight: latency as f64 / 300.0,
        late_weight: if latency == 300 { 0.2 } else { 0.0 },
        streaming: streamed,
    }
}

fn settings(seed: u64, rng: &mut StdRng) -> SidecarConfig {
    let reach = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][rng.random_range(0..3)];
    let keyed = Idempotency::Keyed {
        deduplicated_by: reach,
        window: ms(1500),
    };
    let control = [Control::Votes, Control::Clock][(seed % 2) as usize];
    let list_on_request = rng.random_bool(0.8);
    let lease = list_on_request && rng.random_bool(0.6);
    SidecarConfig {
        seed: rng.random_range(0..u64::MAX),
        sidecar_count: rng.random_range(1..=5),
        sidecar_index: 0,
        zone: ZoneId(rng.random_range(0..2)),
        classes: vec![
            class(Idempotency::Idempotent, 300, 1200, false),
            class(keyed, 600, 2500, false),
            class(Idempotency::NonIdempotent, 500, 2000, false),
            class(Idempotency::Idempotent, 600, 1500, true),
        ],
        watch_on_request: list_on_request,
        endpoints_pushed: false,
        endpoint_lease: lease.then_some(ms(2000)),
        cancellation: rng.random_bool(0.7),
        hedging: rng.random_bool(0.7),
        retry_after: rng.random_bool(0.6).then_some(ms(500)),
        max_attempts: rng.random_range(2..=6),
        safety: SafetyLimits {
            drain_grace: ms([500, 1000][rng.random_range(0..2)]),
            slow_start_from: 0.35,
            slow_start_duration: ms(3400),
            overload_multiple: [2.0, 2.5][rng.random_range(0..2)],
            overload_window: ms([1000, 1500, 3000][rng.random_range(0..3)]),
        },
        rollout: RolloutConfig {
            control,
            stage_shares: vec![0.15, 0.4, 1.0],
            exposure_caps: vec![0.2, 0.5, 1.0],
            exposure_window: ms(2000),
            exposure_free: 1.0,
            exposure_per_class: rng.random_bool(0.5),
            guarded_stages: rng.random_range(0..3),
            sticky_keys: rng.random_bool(0.5),
            vote_ttl: ms(4000),
            vote_timeout: ms(1000),
            rollback_quorum: rng.random_range(1..3),
            hold_quorum: 1,
            promote_quorum: rng.random_range(1..3),
            vote_rate_limit: rng.random_bool(0.5).then_some(5.0),
        },
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = settings(seed, &mut rng);
        let stage = StageUpdate {
            build: BuildId(1),
            stage: StageIndex(2),
            phase: Phase::Released,
            cap: 1.0,
            age: Duration::ZERO,
        };
        let servers = (1..=PODS).map(|number| Server::new(number, 1)).collect();
        let mut simulation = Self {
            rng,
            now: START,
            sidecar: DecisionEngine::new(START, settings.clone()),
            settings,
            incarnation: 0,
            events: Vec::new(),
            wake_at: START,
            stalled_until: START,
            queue: BTreeMap::new(),
            queued: 0,
            servers,
            requests: BTreeMap::new(),
            next_request: 0,
            overload: 1.0,
            watching: false,
            last_heard: START,
            missed: Vec::new(),
            stage,
            stage_since: START,
        };
        simulation.start_sidecar();
        simulation.later(ms(1), Scheduled::Arrival);
        simulation.later(ms(3000), Scheduled::StageStep);
        simulation.later(ms(2500), Scheduled::FleetChange);
        simulation.later(ms(2000), Scheduled::ServerFault);
        simulation.later(ms(5000), Scheduled::KeyMet);
        simulation.later(ms(4000), Scheduled::WrongAnswer);
        simulation.later(ms(7000), Scheduled::WatchBreaks);
        simulation.later(ms(9000), Scheduled::Stall);
        simulation.later(ms(70_000), Scheduled::Restart);
        simulation.later(ms(30_000), Scheduled::Overload(3.0));
        simulation.later(ms(40_000), Scheduled::Overload(1.0));
        simulation.later(ms(110_000), Scheduled::Overload(5.0));
        simulation.later(ms(118_000), Scheduled::Overload(0.3));
        simulation
    }

    fn later(&mut self, wait: Duration, what: Scheduled) {
        self.queued += 1;
        self.queue.insert((self.now + wait, self.queued), what);
    }

    fn after(&mut self, from: u64, to: u64) -> Duration {
        ms(self.rng.random_range(from..to))
    }

    fn run(&mut self, digest: &mut Digest, counts: &mut Counts) {
        while self.now < START + RUN {
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let what = entry.remove();
                self.happen(what, digest, counts);
            }
            if self.watching || !self.settings.watch_on_request {
                self.last_heard = self.now;
            }
            let due = !self.events.is_empty() || self.now >= self.wake_at;
            if self.now >= self.stalled_until && due {
                self.step_sidecar(digest, counts);
            }
            self.now += STEP;
        }
    }

    fn step_sidecar(&mut self, digest: &mut Digest, counts: &mut Counts) {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let mut rest = events;
        if self.rng.random_bool(0.3) {
            let is_control =
                |event: &Event| matches!(event, Event::Endpoints(_) | Event::Stage { .. });
            let (first, then): (Vec<Event>, Vec<Event>) = rest.into_iter().partition(is_control);
            actions.extend(self.sidecar.apply_events(self.now, first));
            rest = then;
        }
        actions.extend(self.sidecar.handle(self.now, rest));
        digest.span(self.now);
        for action in actions {
            digest.action(&action);
            counts.count(&action);
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request: hit, pod, ..
            } => self.forward(hit, pod),
            Action::CancelAttempt {
                request: hit,
                attempt: no,
            } => self.cancel(hit, no),
            Action::Reject { request: hit, .. } | Action::Fail { request: hit } => {
                if let Some(open) = self.requests.get_mut(&hit) {
                    open.over = true;
                }
            }
            Action::Vote { build, stage, .. } => self.answer_vote(build, stage),
            Action::WatchEndpoints => {
                let wait = self.after(40, 400);
                self.later(wait, Scheduled::ListCall(self.incarnation));
            }
            Action::WakeAt { at } => self.wake_at = at,
            Action::Log(_) => {}
        }
    }

    fn forward(&mut self, request: RequestId, pod: PodId) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let index = AttemptIndex(open.ended.len() as u16);
        let too_many = index.0 >= self.settings.max_attempts;
        let never_sent = open.over || open.streams || too_many || self.now >= open.due;
        open.ended.push(never_sent);
        let due = open.due;
        let attempt = Attempt {
            incarnation: self.incarnation,
            request,
            index,
            pod,
        };
        if never_sent {
            return self.tell_outcome(attempt, AttemptOutcome::NeverSent, STEP);
        }
        self.later(due.saturating_sub(self.now), Scheduled::TimeUp(attempt));
        let dials = self.rng.random_bool(0.15);
        let wait = if dials {
            self.after(5, 900)
        } else {
            Duration::ZERO
        };
        self.later(wait, Scheduled::Connected(attempt));
    }

    fn cancel(&mut self, request: RequestId, index: AttemptIndex) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(ended) = open.ended.get_mut(usize::from(index.0)) else {
            return;
        };
        if *ended || open.streams {
            return;
        }
        *ended = true;
        let attempt = Attempt {
            incarnation: self.incarnation,
            request,
            index,
            pod: PodId(0),
        };
        self.tell_outcome(attempt, AttemptOutcome::Cancelled, STEP);
    }

    fn answer_vote(&mut self, build: BuildId, stage: StageIndex) {
        let current = build == self.stage.build && stage == self.stage.stage;
        let answer = match self.rng.random_range(0..12) {
            0 => VoteAnswer::Full,
            1 => VoteAnswer::Unanswered,
            2 => VoteAnswer::Failed,
            _ if !current => VoteAnswer::Moot,
            _ => VoteAnswer::Counted,
        };
        let wait = match answer {
            VoteAnswer::Unanswered => self.settings.rollout.vote_timeout,
            _ => self.after(30, 250),
        };
        let news = (answer == VoteAnswer::Counted).then_some(self.stage);
        let event = Event::Stage {
            update: news,
            vote_answer: Some(answer),
        };
        self.later(wait, Scheduled::Tell(self.incarnation, event));
    }

    fn tell_outcome(&mut self, attempt: Attempt, fate: AttemptOutcome, took: Duration) {
        let over = self
            .requests
            .get(&attempt.request)
            .is_some_and(|open| open.over);
        let event = Event::AttemptFinished(AttemptResult {
            request: attempt.request,
            attempt: attempt.index,
            pod: attempt.pod,
            outcome: fate,
            duration: took,
            request_over: over,
        });
        self.later(STEP, Scheduled::Tell(attempt.incarnation, event));
    }

    fn happen(&mut self, what: Scheduled, digest: &mut Digest, counts: &mut Counts) {
        match what {
            Scheduled::Arrival => self.request_arrives(),
            Scheduled::Tell(incarnation, event) => {
                if incarnation == self.incarnation {
                    self.events.push(event);
                }
            }
            Scheduled::Connected(attempt) => self.begin(attempt, digest, counts),
            Scheduled::Answer(attempt, fate) => self.attempt_ends(attempt, fate),
            Scheduled::TimeUp(attempt) => self.attempt_ends(attempt, AttemptOutcome::TimedOut),
            Scheduled::StreamEnd(attempt, fate) => self.stream_ends(attempt, fate),
            Scheduled::ClientLeaves(incarnation, request) => {
                self.client_leaves(incarnation, request);
            }
            Scheduled::ServerFault => self.server_fault(),
            Scheduled::ServerRecovers(at) => {
                self.servers[at].hangs = false;
                self.servers[at].slowness = 1.0;
                self.servers[at].error_rate = 0.0;
            }
            Scheduled::ServerDies(at) => {
                self.servers[at].runs = false;
                self.servers[at].entry.state = PodState::Gone;
                self.list_changed(at);
            }
            Scheduled::ServerRestarts(at, build) => self.server_restarts(at, build),
            Scheduled::ListCall(incarnation) => self.list_call(incarnation),
            Scheduled::WatchBreaks => self.watch_breaks(),
            Scheduled::StageStep => self.stage_step(),
            Scheduled::FleetChange => self.fleet_change(),
            Scheduled::KeyMet => {
                let key = RoutingKey(self.rng.random_range(1..80));
                self.events.push(Event::KeyServed(key, self.stage.build));
                let wait = self.after(300, 3000);
                self.later(wait, Scheduled::KeyMet);
            }
            Scheduled::WrongAnswer => {
                let pod = PodId(self.rng.random_range(1..=PODS));
                let group = ClassId(self.rng.random_range(0..4));
                self.events.push(Event::Flagged { pod, class: group });
                let wait = self.after(200, 4000);
                self.later(wait, Scheduled::WrongAnswer);
            }
            Scheduled::Stall => {
                self.stalled_until = self.now + self.after(100, 2500);
                let wait = self.after(8000, 25_000);
                self.later(wait, Scheduled::Stall);
            }
            Scheduled::Restart => self.start_sidecar(),
            Scheduled::Overload(factor) => self.overload = factor,
        }
    }

    fn request_arrives(&mut self) {
        let wait = -self.rng.random_range(1e-9..1.0_f64).ln() / (RATE * self.overload.min(4.0));
        self.later(Duration::from_secs_f64(wait), Scheduled::Arrival);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let class = [0, 0, 0, 1, 1, 2, 2, 3][self.rng.random_range(0..8)];
        let keyed = self.rng.random_bool(0.6);
        let key = keyed.then(|| RoutingKey(self.rng.random_range(1..80)));
        let known = self.rng.random_bool(0.9);
        let customer = known.then(|| TenantId(self.rng.random_range(0..4)));
        let timeout = self.settings.classes[class].client_timeout;
        let due = self.now + timeout.mul_f64(self.rng.random_range(0.3..1.0));
        let open = Open {
            class,
            due,
            ended: Vec::new(),
            over: false,
            streams: false,
        };
        self.requests.insert(id, open);
        self.events.push(Event::RequestArrived(Request {
            id,
            class: ClassId(class as u16),
            tenant: customer,
            routing_key: key,
            deadline: due,
        }));
        if self.rng.random_bool(0.03) {
            let wait = self.after(10, 400);
            self.later(wait, Scheduled::ClientLeaves(self.incarnation, id));
        }
        let wait = due + ms(40) - self.now;
        self.later(wait, Scheduled::ClientLeaves(self.incarnation, id));
    }

    /// The connection of an attempt stands: its first byte leaves, if the decisions still allow it.
    fn begin(&mut self, attempt: Attempt, digest: &mut Digest, counts: &mut Counts) {
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get(&attempt.request) else {
            return;
        };
        if open.ended[usize::from(attempt.index.0)] {
            return;
        }
        if open.over || open.streams || self.now >= open.due {
            return self.attempt_ends(attempt, AttemptOutcome::NeverSent);
        }
        let Some(at) = self
            .server_of(attempt.pod)
            .filter(|at| self.servers[*at].runs)
        else {
            let wait = [ms(2), ms(250)][usize::from(self.rng.random_bool(0.5))];
            return self.later(
                wait,
                Scheduled::Answer(attempt, AttemptOutcome::ConnectFailed),
            );
        };
        let allowed = self
            .sidecar
            .may_begin(self.now, attempt.request, attempt.index);
        digest.number(8);
        digest.number(u64::from(allowed));
        if !allowed {
            counts.refused_starts += 1;
            return self.attempt_ends(attempt, AttemptOutcome::NeverSent);
        }
        self.serve(at, attempt);
    }

    fn server_of(&self, pod: PodId) -> Option<usize> {
        self.servers
            .iter()
            .position(|server| server.entry.pod == pod)
    }

    fn serve(&mut self, at: usize, attempt: Attempt) {
        let (slowness, error_rate) = (self.servers[at].slowness, self.servers[at].error_rate);
        let drains = self.servers[at].entry.state == PodState::Draining;
        if self.servers[at].open >= 40 || (drains && self.rng.random_bool(0.7)) {
            return self.later(ms(2), Scheduled::Answer(attempt, AttemptOutcome::Rejected));
        }
        if self.servers[at].hangs || self.rng.random_bool(0.01) {
            return;
        }
        self.servers[at].open += 1;
        let load = 1.0 + f64::from(self.servers[at].open) / 4.0;
        let took = 30.0 * load * slowness * self.rng.random_range(0.5..1.6);
        let fate = match self.rng.random_range(0.0..1.0) {
            draw if draw < error_rate => AttemptOutcome::Failed,
            draw if draw < error_rate + 0.004 => AttemptOutcome::ConnectionReset,
            _ => AttemptOutcome::Succeeded,
        };
        self.later(ms(took as u64), Scheduled::Answer(attempt, fate));
    }

    fn attempt_ends(&mut self, attempt: Attempt, fate: AttemptOutcome) {
        let served = matches!(
            fate,
            AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::ConnectionReset
        );
        if let Some(at) = self.server_of(attempt.pod).filter(|_| served) {
            self.servers[at].open = self.servers[at].open.saturating_sub(1);
        }
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let index = usize::from(attempt.index.0);
        if open.ended[index] || (open.streams && fate == AttemptOutcome::TimedOut) {
            return;
        }
        let streamed = self.settings.classes[open.class].streaming;
        if streamed && fate == AttemptOutcome::Succeeded && !open.over && !open.streams {
            open.streams = true;
            self.events.push(Event::StreamStarted {
                request: attempt.request,
            });
            let ends = [AttemptOutcome::Succeeded, AttemptOutcome::ConnectionReset]
                [usize::from(self.rng.random_bool(0.2))];
            let wait = self.after(20, 800);
            return self.later(wait, Scheduled::StreamEnd(attempt, ends));
        }
        open.ended[index] = true;
        let fate = match fate {
            AttemptOutcome::Succeeded if open.streams => AttemptOutcome::Cancelled,
            fate => fate,
        };
        open.over |= fate == AttemptOutcome::Succeeded;
        let took = self.after(20, 400);
        self.tell_outcome(attempt, fate, took);
    }

    fn stream_ends(&mut self, attempt: Attempt, fate: AttemptOutcome) {
        if attempt.incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        open.over = true;
        open.ended[usize::from(attempt.index.0)] = true;
        self.tell_outcome(attempt, fate, ms(60));
    }

    fn client_leaves(&mut self, incarnation: u32, request: RequestId) {
        if incarnation != self.incarnation {
            return;
        }
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if !open.over {
            open.over = true;
            self.events.push(Event::ClientDisconnected(request));
        }
    }

    fn server_fault(&mut self) {
        let at = self.rng.random_range(0..self.servers.len());
        let till = self.after(800, 6000);
        match self.rng.random_range(0..6) {
            0 => self.servers[at].hangs = true,
            1 => self.servers[at].slowness = self.rng.random_range(2.0..8.0),
            2 => self.servers[at].error_rate = self.rng.random_range(0.2..1.0),
            3 => {
                // Dies at once; the list tells of it later, and it comes back.
                self.servers[at].runs = false;
                let build = self.servers[at].entry.build.0;
                let wait = self.after(300, 2500);
                self.later(wait, Scheduled::ServerDies(at));
                self.later(wait + till, Scheduled::ServerRestarts(at, build));
            }
            4 => self.drain(at),
            _ => {
                for server in &mut self.servers {
                    server.slowness = 2.5;
                }
                for all in 0..self.servers.len() {
                    self.later(till, Scheduled::ServerRecovers(all));
                }
            }
        }
        self.later(till, Scheduled::ServerRecovers(at));
        let wait = self.after(600, 3000);
        self.later(wait, Scheduled::ServerFault);
    }

    fn drain(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if !server.runs || server.entry.state != PodState::Ready {
            return;
        }
        server.entry.state = PodState::Draining;
        let build = server.entry.build.0;
        self.list_changed(at);
        let wait = self.after(1500, 5000);
        self.later(wait, Scheduled::ServerDies(at));
        let wait = wait + self.after(500, 4000);
        self.later(wait, Scheduled::ServerRestarts(at, build));
    }

    fn server_restarts(&mut self, at: usize, build: u16) {
        let server = &mut self.servers[at];
        server.runs = true;
        server.open = 0;
        server.entry.state = PodState::Ready;
        server.entry.build = BuildId(build);
        server.entry.started_at = Some(self.now);
        self.list_changed(at);
    }

    fn list_changed(&mut self, at: usize) {
        let entry = self.servers[at].entry.clone();
        if self.watching || !self.settings.watch_on_request {
            let whole = self.rng.random_bool(0.15);
            let news = if whole {
                EndpointUpdate::Snapshot(self.list())
            } else {
                EndpointUpdate::Delta(vec![entry])
            };
            let event = Event::Endpoints(news);
            let wait = self.after(20, 1200);
            self.later(wait, Scheduled::Tell(self.incarnation, event));
        } else {
            self.missed.push(entry);
        }
    }

    fn list(&self) -> Vec<Endpoint> {
        let listed = |server: &&Server| server.entry.state != PodState::Gone;
        let servers = self.servers.iter().filter(listed);
        servers.map(|server| server.entry.clone()).collect()
    }

    fn list_call(&mut self, incarnation: u32) {
        if incarnation != self.incarnation || self.watching {
            return;
        }
        if self.rng.random_bool(0.4) {
            return self.lose_list();
        }
        self.watching = true;
        let missed = std::mem::take(&mut self.missed);
        let news = if self.rng.random_bool(0.5) {
            EndpointUpdate::Snapshot(self.list())
        } else {
            EndpointUpdate::Delta(missed)
        };
        self.events.push(Event::Endpoints(news));
    }

    fn lose_list(&mut self) {
        self.watching = false;
        let silent = self.now.saturating_sub(self.last_heard);
        let why = [
            WatchLossCause::Ended,
            WatchLossCause::NoService,
            WatchLossCause::TimedOut,
            WatchLossCause::Refused,
        ][self.rng.random_range(0..4)];
        let loss = WatchLoss {
            silent_for: silent,
            cause: why,
        };
        self.events
            .push(Event::Endpoints(EndpointUpdate::WatchLost(loss)));
    }

    fn watch_breaks(&mut self) {
        if self.watching && self.settings.watch_on_request {
            self.lose_list();
        }
        let wait = self.after(4000, 15_000);
        self.later(wait, Scheduled::WatchBreaks);
    }

    fn stage_step(&mut self) {
        let shares = [2, 5, PODS as usize];
        match self.stage.phase {
            Phase::Released | Phase::RolledBack => {
                let build = BuildId(self.stage.build.0 + 1);
                self.stage = StageUpdate {
                    build,
                    stage: StageIndex(0),
                    phase: Phase::OnTrial,
                    cap: 0.2,
                    age: Duration::ZERO,
                };
                self.roll_out(build.0, shares[0]);
            }
            Phase::OnTrial if self.rng.random_bool(0.2) => {
                self.stage.phase = Phase::RollingBack;
                self.stage.cap = 0.0;
                self.roll_out(self.stage.build.0 - 1, PODS as usize);
            }
            Phase::OnTrial if self.rng.random_bool(0.2) => self.stage.cap *= 0.5,
            Phase::OnTrial if self.stage.stage.0 < 2 => {
                self.stage.stage.0 += 1;
                let stage = usize::from(self.stage.stage.0);
                self.stage.cap = [0.2, 0.5, 1.0][stage];
                self.roll_out(self.stage.build.0, shares[stage]);
            }
            Phase::OnTrial => {
                self.stage.phase = Phase::Released;
                self.stage.cap = 1.0;
            }
            Phase::RollingBack => self.stage.phase = Phase::RolledBack,
        }
        self.stage_since = self.now;
        let wait = self.after(20, 900);
        let event = Event::Stage {
            update: Some(self.stage),
            vote_answer: None,
        };
        self.later(wait, Scheduled::Tell(self.incarnation, event));
        let wait = self.after(2500, 9000);
        self.later(wait, Scheduled::StageStep);
    }

    /// Restarts servers with a build until so many run it. Every third build answers many requests with errors.
    fn roll_out(&mut self, build: u16, count: usize) {
        let bad = build.is_multiple_of(3);
        for at in 0..count {
            if self.servers[at].entry.build.0 == build {
                continue;
            }
            self.servers[at].runs = false;
            self.servers[at].error_rate = if bad { 0.4 } else { 0.0 };
            let wait = self.after(200, 2500);
            self.later(wait, Scheduled::ServerRestarts(at, build));
        }
    }

    fn fleet_change(&mut self) {
        let view = if self.rng.random_bool(0.15) {
            None
        } else {
            let mut order: Vec<PodId> = (1..=PODS).map(PodId).collect();
            order.rotate_left(self.rng.random_range(0..PODS as usize));
            let uses = self.rng.random_range(2..=PODS as usize);
            let held = (0..self.rng.random_range(0..3))
                .map(|_| PodId(self.rng.random_range(1..=PODS)))
                .collect();
            Some(FleetView {
                preference: order,
                min_endpoints: uses,
                probed_by_peers: held,
            })
        };
        self.events.push(Event::Fleet(view));
        let wait = self.after(1000, 6000);
        self.later(wait, Scheduled::FleetChange);
    }

    /// The first start, or a restart: what was in flight is lost, and the list is the one held before.
    fn start_sidecar(&mut self) {
        self.incarnation += 1;
        self.sidecar = DecisionEngine::new(self.now, self.settings.clone());
        self.requests.clear();
        self.events.clear();
        self.watching = false;
        self.last_heard = self.now;
        self.wake_at = self.now;
        self.stalled_until = self.now;
        let age = self.now - self.stage_since;
        let news = StageUpdate { age, ..self.stage };
        self.events
            .push(Event::Endpoints(EndpointUpdate::Cached(self.list())));
        self.events.push(Event::Stage {
            update: Some(news),
            vote_answer: None,
        });
        self.later(ms(100), Scheduled::ListCall(self.incarnation));
    }
}

impl Server {
    fn new(number: u64, build: u16) -> Self {
        let entry = Endpoint {
            pod: PodId(number),
            state: PodState::Ready,
            build: BuildId(build),
            weight: [1.0, 1.0, 0.5, 2.0][(number % 4) as usize],
            started_at: (!number.is_multiple_of(3)).then_some(START - Duration::from_secs(600)),
            zone: ZoneId((number % 2) as u16),
            cell: CellId((number / 4) as u16),
            machine_type: MachineTypeId((number % 2) as u16),
        };
        Self {
            entry,
            runs: true,
            hangs: false,
            slowness: 1.0,
            error_rate: 0.0,
            open: 0,
        }
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn decisions() {
    let (mut digest, mut counts) = (Digest::new(), Counts::default());
    for seed in 0..SEEDS {
        Simulation::new(seed).run(&mut digest, &mut counts);
    }
    // Each kind of action was put out, or the digest would say little.
    assert!(counts.forwards > 100_000, "{} attempts", counts.forwards);
    assert!(counts.cancels > 100, "{} cancels", counts.cancels);
    assert!(counts.bounces > 100, "{} rejections", counts.bounces);
    assert!(counts.fails > 100, "{} failures", counts.fails);
    let [_, on, hold, back] = counts.votes;
    assert!(on > 5 && hold > 5 && back > 5, "{on} {hold} {back} votes");
    assert!(counts.watches > 100, "{} list calls", counts.watches);
    assert!(counts.wakes > 1000, "{} wakes", counts.wakes);
    assert!(counts.logs > 0, "{} log lines", counts.logs);
    let refused = counts.refused_starts;
    assert!(refused > 20, "{refused} refused first bytes");
    println!("digest decision {:016x}", digest.0);
}

/// Breaks that the reference model catches, each at a step that depends on every action before it.
const BREAKS: [Mutation; 16] = [
    Mutation::DropsAnswers,
    Mutation::AnswersTwice,
    Mutation::StartsAfterAnswer,
    Mutation::RepeatsNonIdempotent,
    Mutation::RejectsAll,
    Mutation::LeavesDeduplicationScope,
    Mutation::UsesRemovedPods,
    Mutation::FloodsColdPods,
    Mutation::ExceedsCap,
    Mutation::IgnoresGuardedStages,
    Mutation::IgnoresStickyKeys,
    Mutation::DoublesAttempts,
    Mutation::NeverWatches,
    Mutation::SkipsPermission,
    Mutation::SkipsPermissionOnRedial,
    Mutation::IgnoresEndpointLease,
];

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn reference_model() {
    let mut digest = Digest::new();
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let kept = play(seed, Mutation::None, &mut coverage).is_ok();
        digest.number(u64::from(kept));
        hash_coverage(&mut digest, &coverage);
    }
    for (number, broken) in BREAKS.into_iter().enumerate() {
        for seed in [number as u64, number as u64 + 100] {
            let mut coverage = Coverage::default();
            if let Err(caught) = play(seed, broken, &mut coverage) {
                digest.number(caught.step as u64);
                digest.number(caught.violation.rule.number().into());
                digest.number(caught.violation.sidecar as u64);
                digest.span(caught.violation.at);
            }
            hash_coverage(&mut digest, &coverage);
        }
    }
    println!("digest reference-model {:016x}", digest.0);
}

fn hash_coverage(digest: &mut Digest, coverage: &Coverage) {
    let counts = [
        coverage.requests,
        coverage.answers,
        coverage.streams,
        coverage.repeats,
        coverage.proven_retries,
        coverage.answers_after_run,
        coverage.attempts_beside_drained_pod,
        coverage.redials,
        coverage.withheld,
        coverage.withheld_past_grace,
        coverage.begun_on_expired_list,
        coverage.begun_beside_stale_pod,
        coverage.attempts_at_cold_pods,
        coverage.attempts_on_trial,
        coverage.lowered_caps,
        coverage.guarded_requests,
        coverage.sticky_attempts,
    ];
    for count in counts {
        digest.number(count as u64);
    }
}
