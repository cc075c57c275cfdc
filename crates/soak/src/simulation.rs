//! The simulated fleet: pods that answer after a drawn time, an endpoint list, and an installer that goes by the clock.

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

/// When a soak starts, on its own clock.
const START: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(86_400);
const ROLLOUTS_PER_DAY: u32 = 2;
/// The list becomes unavailable after this part of the night.
const OUTAGE_NIGHT_DIVISOR: u32 = 4;
/// How long a call to the list service takes.
const WATCH_CALL_DURATION: Duration = Duration::from_secs(1);
/// The share of calls during an outage after which the service is still down.
const OUTAGE_PERSISTENCE: f64 = 0.9999;

/// What one day came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayTotals {
    /// Requests that arrived.
    pub requests: u64,
    /// Events given to the decisions.
    pub events: u64,
    /// Calls of the decisions without an event.
    pub ticks: u64,
    /// Requests that a pod answered.
    pub succeeded: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Votes that were cast.
    pub votes: u64,
    /// The time that the decisions took, by the caller's stopwatch.
    pub handling_time: Duration,
}

/// Something that falls due.
enum ScheduledEvent {
    RequestArrives,
    AttemptEnds(RequestId, AttemptIndex),
    RolloutStarts,
    StageStarts(u8),
    RolloutEnds,
    /// Draining pods of a build go.
    PodsRemoved(BuildId),
    ListFails,
    WatchCall,
}

/// One sidecar's decisions, and the fleet around them.
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
    /// A fleet whose first build is released, before its first day.
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

    /// Plays one day. Each call of the decisions is timed by `stopwatch`, which returns the time since some start.
    pub fn play_day(&mut self, stopwatch: impl Fn() -> Duration) -> DayTotals {
        self.totals = DayTotals::default();
        let end = self.now + DAY;
        self.schedule_day();
        while self.now < end {
            self.now = self.next_step().min(end).max(self.now);
            let mut events = Vec::new();
            while let Some(event) = self.queue.pop_due(self.now) {
                self.happen(event, &mut events);
            }
            let began = stopwatch();
            let actions = self.handle(events);
            self.totals.handling_time += stopwatch().saturating_sub(began);
            self.carry_out_all(actions);
        }
        self.totals
    }

    /// Schedules the first request, the rollouts, and an outage of the list for hours of the night.
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

    /// When something falls due, or the decisions want to be called.
    fn next_step(&self) -> Duration {
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

    /// Passes events on at once, untimed.
    fn deliver(&mut self, events: Vec<Event>) {
        let actions = self.handle(events);
        self.carry_out_all(actions);
    }

    fn happen(&mut self, event: ScheduledEvent, events: &mut Vec<Event>) {
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

    /// The list service fails a call, or is there again after hours and sends the whole list.
    fn answer_watch_call(&mut self, events: &mut Vec<Event>) {
        self.is_list_down &= self.rng.random_bool(OUTAGE_PERSISTENCE);
        events.push(if self.is_list_down {
            watch_lost()
        } else {
            Event::Endpoints(EndpointUpdate::Snapshot(self.endpoints.clone()))
        });
    }

    fn carry_out_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
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
