//! The simulated fleet: pods with random service times, an endpoint list, and a rollout service that advances stages on a
//! timer.

mod requests;
mod rollout;

use crate::config::{sidecar_config, SoakConfig};
use limewing_decision::interface::{
    Action, AttemptIndex, BuildId, Endpoint, EndpointUpdate, Event, Phase, RequestId, VoteAnswer,
    WatchLoss,
};
use limewing_decision::DecisionEngine;
use limewing_reference_model::event_queue::EventQueue;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use requests::OpenRequest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Start time of the simulated clock.
const START: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(86_400);
const ROLLOUTS_PER_DAY: u32 = 2;
/// Divisor of the idle time per day. The endpoint list becomes unavailable after that fraction of it.
const OUTAGE_NIGHT_DIVISOR: u32 = 4;
/// Duration of a call to the discovery service.
const WATCH_CALL_DURATION: Duration = Duration::from_secs(1);
/// Probability that a call during an outage finds the service still down.
const OUTAGE_PERSISTENCE: f64 = 0.9999;

/// Totals of one simulated day.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayTotals {
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of events passed to the decision engine.
    pub events: u64,
    /// Number of calls to the decision engine without an event.
    pub ticks: u64,
    /// Number of requests that a pod answered.
    pub succeeded: u64,
    /// Number of requests that were rejected.
    pub rejected: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of votes that were cast.
    pub votes: u64,
    /// Time spent in the decision engine, measured by the caller's stopwatch.
    pub handling_time: Duration,
}

/// An event of the simulation that is scheduled for a point in time.
enum ScheduledEvent {
    RequestArrives,
    AttemptEnds(RequestId, AttemptIndex),
    RolloutStarts,
    StageStarts(u8),
    RolloutEnds,
    /// The draining pods of a build are removed.
    PodsRemoved(BuildId),
    ListFails,
    WatchCall,
}

/// The decision engine of one sidecar, and the simulated fleet around it.
pub struct Soak {
    config: SoakConfig,
    engine: DecisionEngine,
    now: Duration,
    wake_at: Duration,
    queue: EventQueue<ScheduledEvent>,
    rng: StdRng,
    endpoints: Vec<Endpoint>,
    last_pod: u64,
    build: BuildId,
    last_request: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
    is_list_down: bool,
    requests_left_today: u64,
    totals: DayTotals,
}

impl Soak {
    /// Creates a fleet whose first build is released, before its first day.
    #[must_use]
    pub fn new(config: SoakConfig) -> Self {
        let mut soak = Self {
            config,
            engine: DecisionEngine::new(START, sidecar_config(&config)),
            now: START,
            wake_at: START,
            queue: EventQueue::new(),
            rng: StdRng::seed_from_u64(config.seed),
            endpoints: Vec::new(),
            last_pod: 0,
            build: BuildId(config.build),
            last_request: 0,
            requests: BTreeMap::new(),
            is_list_down: false,
            requests_left_today: 0,
            totals: DayTotals::default(),
        };
        let endpoints = soak.new_pods(config.pods, None);
        soak.endpoints.clone_from(&endpoints);
        let stage = soak.stage_event(0, Phase::Released, 1.0);
        soak.deliver(vec![
            Event::Endpoints(EndpointUpdate::Cached(Vec::new())),
            Event::Endpoints(EndpointUpdate::Snapshot(endpoints)),
            stage,
        ]);
        soak
    }

    /// Simulates one day. Measures each call of the decision engine with `stopwatch`, which returns the time since a fixed
    /// point.
    pub fn simulate_day(&mut self, stopwatch: impl Fn() -> Duration) -> DayTotals {
        self.totals = DayTotals::default();
        let end = self.now + DAY;
        self.schedule_day();
        while self.now < end {
            self.now = self.next_wake().min(end).max(self.now);
            let mut events = Vec::new();
            while let Some(event) = self.queue.pop_due(self.now) {
                self.process_scheduled_event(event, &mut events);
            }
            let started_at = stopwatch();
            let actions = self.handle(events);
            self.totals.handling_time += stopwatch().saturating_sub(started_at);
            self.execute_all(actions);
        }
        self.totals
    }

    /// Schedules the first request, the rollouts, and an outage of the endpoint list for hours of the night.
    fn schedule_day(&mut self) {
        self.requests_left_today = self.config.requests_per_day;
        let busy_seconds = self.config.requests_per_day as f64 / self.config.requests_per_second;
        let busy = Duration::from_secs_f64(busy_seconds);
        self.schedule_in(Duration::ZERO, ScheduledEvent::RequestArrives);
        for rollout in 1..=ROLLOUTS_PER_DAY {
            let wait = busy * rollout / (ROLLOUTS_PER_DAY + 1);
            self.schedule_in(wait, ScheduledEvent::RolloutStarts);
        }
        let into_night = DAY.saturating_sub(busy) / OUTAGE_NIGHT_DIVISOR;
        self.schedule_in(busy + into_night, ScheduledEvent::ListFails);
    }

    /// Returns when the next event is due or the decision engine is to be called.
    fn next_wake(&self) -> Duration {
        let is_idle = self.requests_left_today == 0 && self.requests.is_empty();
        let wake_at = if is_idle {
            self.wake_at.max(self.now + self.config.idle_step)
        } else {
            self.wake_at
        };
        self.queue
            .next_due()
            .map_or(wake_at, |due| due.min(wake_at))
    }

    fn schedule_in(&mut self, wait: Duration, event: ScheduledEvent) {
        self.queue.schedule(self.now + wait, event);
    }

    fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.totals.events += events.len() as u64;
        self.totals.ticks += u64::from(events.is_empty());
        self.engine.handle(self.now, events)
    }

    /// Passes events to the decision engine immediately, without measuring the time.
    fn deliver(&mut self, events: Vec<Event>) {
        let actions = self.handle(events);
        self.execute_all(actions);
    }

    fn process_scheduled_event(&mut self, event: ScheduledEvent, events: &mut Vec<Event>) {
        match event {
            ScheduledEvent::RequestArrives => self.request_arrives(events),
            ScheduledEvent::AttemptEnds(request, index) => {
                self.attempt_ends(request, index, events);
            }
            ScheduledEvent::RolloutStarts => self.rollout_starts(events),
            ScheduledEvent::StageStarts(stage) => self.stage_starts(stage, events),
            ScheduledEvent::RolloutEnds => self.rollout_ends(events),
            ScheduledEvent::PodsRemoved(build) => self.pods_removed(build, events),
            ScheduledEvent::ListFails => {
                self.is_list_down = true;
                events.push(watch_lost());
            }
            ScheduledEvent::WatchCall => self.answer_watch_call(events),
        }
    }

    /// Answers a call to the discovery service: it fails during an outage and returns a full snapshot afterwards.
    fn answer_watch_call(&mut self, events: &mut Vec<Event>) {
        self.is_list_down &= self.rng.random_bool(OUTAGE_PERSISTENCE);
        events.push(if self.is_list_down {
            watch_lost()
        } else {
            Event::Endpoints(EndpointUpdate::Snapshot(self.endpoints.clone()))
        });
    }

    fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, pod, .. } => self.start_attempt(request, pod),
            Action::Reject { request, .. } => {
                self.totals.rejected += 1;
                self.end_request(request);
            }
            Action::Fail { request } => {
                self.totals.failed += 1;
                self.end_request(request);
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Vote { .. } => {
                self.totals.votes += 1;
                self.deliver(vec![Event::Stage {
                    update: None,
                    vote_answer: Some(VoteAnswer::Counted),
                }]);
            }
            Action::WatchEndpoints if self.is_list_down || self.endpoints.is_empty() => {
                self.schedule_in(WATCH_CALL_DURATION, ScheduledEvent::WatchCall);
            }
            Action::WakeAt { at } => self.wake_at = at,
            Action::WatchEndpoints | Action::Log(_) => {}
        }
    }
}

fn watch_lost() -> Event {
    Event::Endpoints(EndpointUpdate::WatchLost(WatchLoss::default()))
}
