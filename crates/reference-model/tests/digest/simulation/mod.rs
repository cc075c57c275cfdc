//! A small simulation of one sidecar, in steps of 10 ms. It is separate from the simulation of the reference model,
//! whose runs may change with a rule.

mod config;
mod discovery;
mod requests;
mod rollout;
mod servers;

use super::action_counts::ActionCounts;
use super::hash::hash_action;
use config::draw_config;
use limewing_decision::interface::{
    Action, AttemptIndex, AttemptOutcome, BuildId, ClassId, Endpoint, EndpointUpdate, Event, Phase,
    PodId, PodState, RequestId, RoutingKey, SidecarConfig, StageIndex, StageOrder, StageUpdate,
};
use limewing_decision::DecisionEngine;
use limewing_reference_model::event_queue::EventQueue;
use limewing_test_support::digest::Digest;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use servers::Server;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(1000);
const RUN_DURATION: Duration = Duration::from_secs(150);
const POD_COUNT: u64 = 12;
/// The mean request rate.
const REQUESTS_PER_SECOND: f64 = 90.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One attempt of a request at a pod.
#[derive(Clone, Copy)]
struct Attempt {
    incarnation: u32,
    request: RequestId,
    index: AttemptIndex,
    pod: PodId,
}

/// A request that was delivered to the sidecar and may still be in progress.
struct OpenRequest {
    class: usize,
    deadline: Duration,
    /// Whether each attempt has ended, by attempt index.
    ended: Vec<bool>,
    is_over: bool,
    is_streaming: bool,
}

/// A scheduled event. A field of type `u32` is the incarnation of the sidecar, one of type `usize` is the index of a
/// server.
enum ScheduledEvent {
    Arrival,
    Deliver(u32, Event),
    ConnectionReady(Attempt),
    AttemptEnds(Attempt, AttemptOutcome),
    AttemptTimesOut(Attempt),
    StreamEnds(Attempt, AttemptOutcome),
    ClientDisconnects(u32, RequestId),
    ServerFault,
    ServerRecovers(usize),
    ServerExits(usize),
    /// Restarts a server with the given build.
    ServerRestarts(usize, u16),
    ListCall(u32),
    WatchBreaks,
    StageAdvance,
    FleetViewChange,
    KeyServed,
    Flag,
    Stall,
    Restart,
    Overload(f64),
}

/// A simulation of one sidecar with servers, clients, an endpoint list and a rollout, in steps of 10 ms.
pub(super) struct Simulation {
    rng: StdRng,
    now: Duration,
    config: SidecarConfig,
    sidecar: DecisionEngine,
    incarnation: u32,
    events: Vec<Event>,
    wake_at: Duration,
    stalled_until: Duration,
    queue: EventQueue<ScheduledEvent>,
    servers: Vec<Server>,
    requests: BTreeMap<RequestId, OpenRequest>,
    next_request: u64,
    overload: f64,
    is_watching: bool,
    last_list_contact: Duration,
    missed_changes: Vec<Endpoint>,
    stage: StageUpdate,
    stage_since: Duration,
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = draw_config(seed, &mut rng);
        let stage = StageUpdate {
            build: BuildId(1),
            stage: StageIndex(2),
            phase: Phase::Released,
            cap: 1.0,
            age: Duration::ZERO,
            order: StageOrder::default(),
        };
        let servers = (1..=POD_COUNT)
            .map(|number| Server::new(number, 1))
            .collect();
        let mut simulation = Self {
            rng,
            now: START,
            sidecar: DecisionEngine::new(START, config.clone()),
            config,
            incarnation: 0,
            events: Vec::new(),
            wake_at: START,
            stalled_until: START,
            queue: EventQueue::new(),
            servers,
            requests: BTreeMap::new(),
            next_request: 0,
            overload: 1.0,
            is_watching: false,
            last_list_contact: START,
            missed_changes: Vec::new(),
            stage,
            stage_since: START,
        };
        simulation.start_sidecar();
        simulation.schedule_in(ms(1), ScheduledEvent::Arrival);
        simulation.schedule_in(ms(3000), ScheduledEvent::StageAdvance);
        simulation.schedule_in(ms(2500), ScheduledEvent::FleetViewChange);
        simulation.schedule_in(ms(2000), ScheduledEvent::ServerFault);
        simulation.schedule_in(ms(5000), ScheduledEvent::KeyServed);
        simulation.schedule_in(ms(4000), ScheduledEvent::Flag);
        simulation.schedule_in(ms(7000), ScheduledEvent::WatchBreaks);
        simulation.schedule_in(ms(9000), ScheduledEvent::Stall);
        simulation.schedule_in(ms(70_000), ScheduledEvent::Restart);
        simulation.schedule_in(ms(30_000), ScheduledEvent::Overload(3.0));
        simulation.schedule_in(ms(40_000), ScheduledEvent::Overload(1.0));
        simulation.schedule_in(ms(110_000), ScheduledEvent::Overload(5.0));
        simulation.schedule_in(ms(118_000), ScheduledEvent::Overload(0.3));
        simulation
    }

    fn schedule_in(&mut self, wait: Duration, event: ScheduledEvent) {
        self.queue.schedule(self.now + wait, event);
    }

    /// Returns a random duration in a range of milliseconds.
    fn draw_wait(&mut self, from: u64, to: u64) -> Duration {
        ms(self.rng.random_range(from..to))
    }

    pub(super) fn run(&mut self, digest: &mut Digest, counts: &mut ActionCounts) {
        while self.now < START + RUN_DURATION {
            while let Some(event) = self.queue.pop_due(self.now) {
                self.handle(event, digest, counts);
            }
            if self.is_watching || !self.config.watch_on_request {
                self.last_list_contact = self.now;
            }
            let is_due = !self.events.is_empty() || self.now >= self.wake_at;
            if self.now >= self.stalled_until && is_due {
                self.step_sidecar(digest, counts);
            }
            self.now += STEP;
        }
    }

    fn step_sidecar(&mut self, digest: &mut Digest, counts: &mut ActionCounts) {
        let mut rest = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        if self.rng.random_bool(0.3) {
            let is_control =
                |event: &Event| matches!(event, Event::Endpoints(_) | Event::Stage { .. });
            let (first, then): (Vec<Event>, Vec<Event>) = rest.into_iter().partition(is_control);
            actions.extend(self.sidecar.apply_events(self.now, first));
            rest = then;
        }
        actions.extend(self.sidecar.handle(self.now, rest));
        digest.time(self.now);
        for action in actions {
            hash_action(digest, &action);
            counts.count(&action);
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, pod, .. } => self.start_attempt(request, pod),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, .. } | Action::Fail { request } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.is_over = true;
                }
            }
            Action::Vote { build, stage, .. } => self.answer_vote(build, stage),
            Action::WatchEndpoints => {
                let wait = self.draw_wait(40, 400);
                self.schedule_in(wait, ScheduledEvent::ListCall(self.incarnation));
            }
            Action::WakeAt { at } => self.wake_at = at,
            Action::Log(_) => {}
        }
    }

    fn handle(&mut self, event: ScheduledEvent, digest: &mut Digest, counts: &mut ActionCounts) {
        match event {
            ScheduledEvent::Arrival => self.request_arrives(),
            ScheduledEvent::Deliver(incarnation, event) => {
                if incarnation == self.incarnation {
                    self.events.push(event);
                }
            }
            ScheduledEvent::ConnectionReady(attempt) => {
                self.connection_ready(attempt, digest, counts)
            }
            ScheduledEvent::AttemptEnds(attempt, outcome) => self.attempt_ends(attempt, outcome),
            ScheduledEvent::AttemptTimesOut(attempt) => {
                self.attempt_ends(attempt, AttemptOutcome::TimedOut)
            }
            ScheduledEvent::StreamEnds(attempt, outcome) => self.stream_ends(attempt, outcome),
            ScheduledEvent::ClientDisconnects(incarnation, request) => {
                self.client_disconnects(incarnation, request);
            }
            ScheduledEvent::ServerFault => self.draw_server_fault(),
            ScheduledEvent::ServerRecovers(index) => {
                self.servers[index].hangs = false;
                self.servers[index].slowness = 1.0;
                self.servers[index].error_rate = 0.0;
            }
            ScheduledEvent::ServerExits(index) => {
                self.servers[index].is_running = false;
                self.servers[index].endpoint.state = PodState::Gone;
                self.list_changed(index);
            }
            ScheduledEvent::ServerRestarts(index, build) => self.server_restarts(index, build),
            ScheduledEvent::ListCall(incarnation) => self.list_call(incarnation),
            ScheduledEvent::WatchBreaks => self.watch_breaks(),
            ScheduledEvent::StageAdvance => self.advance_stage(),
            ScheduledEvent::FleetViewChange => self.change_fleet_view(),
            ScheduledEvent::KeyServed => {
                let key = RoutingKey(self.rng.random_range(1..80));
                self.events.push(Event::KeyServed(key, self.stage.build));
                let wait = self.draw_wait(300, 3000);
                self.schedule_in(wait, ScheduledEvent::KeyServed);
            }
            ScheduledEvent::Flag => {
                let pod = PodId(self.rng.random_range(1..=POD_COUNT));
                let class = ClassId(self.rng.random_range(0..4));
                self.events.push(Event::Flagged { pod, class });
                let wait = self.draw_wait(200, 4000);
                self.schedule_in(wait, ScheduledEvent::Flag);
            }
            ScheduledEvent::Stall => {
                self.stalled_until = self.now + self.draw_wait(100, 2500);
                let wait = self.draw_wait(8000, 25_000);
                self.schedule_in(wait, ScheduledEvent::Stall);
            }
            ScheduledEvent::Restart => self.start_sidecar(),
            ScheduledEvent::Overload(factor) => self.overload = factor,
        }
    }

    /// Starts or restarts the sidecar. Requests in flight are lost, and the endpoint list comes from the cache.
    fn start_sidecar(&mut self) {
        self.incarnation += 1;
        self.sidecar = DecisionEngine::new(self.now, self.config.clone());
        self.requests.clear();
        self.events.clear();
        self.is_watching = false;
        self.last_list_contact = self.now;
        self.wake_at = self.now;
        self.stalled_until = self.now;
        let age = self.now - self.stage_since;
        let update = StageUpdate { age, ..self.stage };
        self.events
            .push(Event::Endpoints(EndpointUpdate::Cached(self.list())));
        self.events.push(Event::Stage {
            update: Some(update),
            vote_answer: None,
        });
        self.schedule_in(ms(100), ScheduledEvent::ListCall(self.incarnation));
    }
}
