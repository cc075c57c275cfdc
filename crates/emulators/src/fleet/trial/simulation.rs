//! The event loop of a trial, in simulated time.

use super::config::{
    capacity, coordinated_pod, endpoint, pod_key, request_rate, sidecar_config, sidecar_key, zone,
    ANSWER_TIME_SECONDS, CLIENT_TIMEOUT, MIN_DIVISOR, OVERLOAD_WINDOW, SLOW_START_DURATION,
    SLOW_START_FROM,
};
use super::{PodRestart, TrialPlan, TrialResult};
use limewing_coordination::{Coordinator, LoadReport, OutlierObservation};
use limewing_decision::interface::{
    Action, AttemptIndex, AttemptOutcome, AttemptResult, ClassId, EndpointUpdate, Event, FleetView,
    PodId, Request, RequestId,
};
use limewing_decision::DecisionEngine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The interval at which a host calls its decision engine if nothing happens.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The offset between the ticks of consecutive sidecars.
const TICK_OFFSET: Duration = Duration::from_micros(50);
/// The time that an unavailable pod takes to refuse a connection.
const REFUSAL_TIME: Duration = Duration::from_millis(1);
/// The number of samples of a warming pod's capacity in a window.
const CAPACITY_SAMPLES: u32 = 10;

struct Sidecar {
    engine: DecisionEngine,
    coordinator: Coordinator,
    partition: usize,
    /// Its last report, with the time of its creation.
    report: Option<(LoadReport, Duration)>,
    /// The number of attempts of each open request.
    attempts: BTreeMap<RequestId, u16>,
}

enum TrialEvent {
    RequestArrives,
    Tick,
    AttemptEnds(AttemptResult),
}

/// A running trial.
pub(super) struct Simulation<'a> {
    plan: &'a TrialPlan,
    now: Duration,
    rng: StdRng,
    sidecars: Vec<Sidecar>,
    /// The sidecar and the event, by time and scheduling order.
    events: BTreeMap<(Duration, u64), (usize, TrialEvent)>,
    scheduled: u64,
    requests: u64,
    /// The number of attempts at each pod in the second half.
    attempts_at: Vec<f64>,
    /// The times of the attempts at the restarted pod within the last window.
    recent_at_restarted: VecDeque<Duration>,
    /// The times of the attempts at any pod within the last window.
    recent_at_all: VecDeque<Duration>,
    result: TrialResult,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(plan: &'a TrialPlan) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let sidecars = (0..plan.sidecars).map(|number| Sidecar {
            engine: DecisionEngine::new(Duration::ZERO, sidecar_config(number, plan)),
            coordinator: Coordinator::new(Duration::ZERO, sidecar_key(number), zone(number)),
            partition: rng.random_range(0..plan.partition.parts.max(1)),
            report: None,
            attempts: BTreeMap::new(),
        });
        let sidecars = sidecars.collect();
        Self {
            plan,
            now: Duration::ZERO,
            rng,
            sidecars,
            events: BTreeMap::new(),
            scheduled: 0,
            requests: 0,
            attempts_at: vec![0.0; plan.pods],
            recent_at_restarted: VecDeque::new(),
            recent_at_all: VecDeque::new(),
            result: TrialResult::default(),
        }
    }

    pub(super) fn run(mut self) -> TrialResult {
        for number in 0..self.plan.sidecars {
            self.start_sidecar(number);
        }
        let mut restart = self.plan.restart;
        while let Some(((at, _), (number, event))) = self.events.pop_first() {
            if at > self.plan.duration {
                break;
            }
            self.now = at;
            if let Some(restart) = restart.take_if(|restart| at >= restart.at) {
                self.restart_pod(restart);
            }
            match event {
                TrialEvent::RequestArrives => self.request_arrives(number),
                TrialEvent::AttemptEnds(result) => self.attempt_ends(number, result),
                TrialEvent::Tick => self.tick(number),
            }
        }
        self.result.loads = self.loads();
        self.result
    }

    fn start_sidecar(&mut self, number: usize) {
        let pods = 0..self.plan.pods;
        let entries = pods.clone().map(|pod| endpoint(pod, None)).collect();
        let list = Event::Endpoints(EndpointUpdate::Snapshot(entries));
        self.deliver(number, vec![list]);
        let pods = pods.map(coordinated_pod).collect();
        self.sidecars[number].coordinator.set_pods(pods);
        self.schedule(TICK_OFFSET * number as u32, number, TrialEvent::Tick);
        self.schedule_request(number);
    }

    fn schedule(&mut self, wait: Duration, number: usize, event: TrialEvent) {
        self.scheduled += 1;
        let at = (self.now + wait, self.scheduled);
        self.events.insert(at, (number, event));
    }

    fn schedule_request(&mut self, number: usize) {
        let interval = match Exp::new(request_rate(number)) {
            Ok(intervals) => intervals.sample(&mut self.rng),
            Err(_) => 1.0,
        };
        let wait = Duration::from_secs_f64(interval);
        self.schedule(wait, number, TrialEvent::RequestArrives);
    }

    fn restart_pod(&mut self, restart: PodRestart) {
        for number in 0..self.sidecars.len() {
            let entry = endpoint(restart.pod, Some(self.now));
            let update = Event::Endpoints(EndpointUpdate::Delta(vec![entry]));
            self.deliver(number, vec![update]);
        }
    }

    fn request_arrives(&mut self, number: usize) {
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            class: ClassId(0),
            tenant: None,
            routing_key: None,
            deadline: self.now + CLIENT_TIMEOUT,
        };
        self.sidecars[number].coordinator.record_request();
        self.deliver(number, vec![Event::RequestArrived(request)]);
        self.schedule_request(number);
    }

    fn attempt_ends(&mut self, number: usize, result: AttemptResult) {
        let pod = result.pod.0 as usize;
        let observation = if result.outcome == AttemptOutcome::Succeeded {
            self.result.delivered += 1;
            self.sidecars[number].attempts.remove(&result.request);
            self.record_recovery(pod);
            OutlierObservation::Answered(result.duration.as_secs_f64())
        } else {
            OutlierObservation::ConnectFailed
        };
        self.sidecars[number]
            .coordinator
            .record_outcome(self.now, pod_key(pod), observation);
        self.deliver(number, vec![Event::AttemptFinished(result)]);
    }

    fn record_recovery(&mut self, pod: usize) {
        let Some(outage) = self.plan.outage else {
            return;
        };
        if outage.pod == pod && self.now >= outage.to && self.result.recovery_time.is_none() {
            self.result.recovery_time = Some(self.now - outage.to);
        }
    }

    /// Ticks the engine with the reports of the other sidecars, as a host does.
    fn tick(&mut self, number: usize) {
        self.schedule(TICK_INTERVAL, number, TrialEvent::Tick);
        let mut events = Vec::new();
        let due = self.now >= self.sidecars[number].coordinator.next_deadline();
        if self.plan.coordination && due {
            events.extend(self.coordinate(number));
        }
        self.deliver(number, events);
    }

    fn coordinate(&mut self, number: usize) -> Option<Event> {
        let now = self.now;
        let sidecar = &mut self.sidecars[number];
        if let Some(report) = sidecar.coordinator.take_report(now) {
            sidecar.report = Some((report, now));
        }
        let peers = self.reports_seen_by(number);
        let coordinator = &mut self.sidecars[number].coordinator;
        coordinator.set_peers(peers.into_iter());
        let view = coordinator.take_view(now)?;
        let ids: BTreeMap<u64, PodId> = (0..self.plan.pods)
            .map(|pod| (pod_key(pod), PodId(pod as u64)))
            .collect();
        let pod = |key: &u64| ids.get(key).copied();
        let view = view.map(|view| FleetView {
            preference: view.preference.iter().filter_map(pod).collect(),
            min_endpoints: view.min_endpoints,
            probed_by_peers: view.probed_by_peers.iter().filter_map(pod).collect(),
        });
        Some(Event::Fleet(view))
    }

    /// The reports of all sidecars in the same partition, with their keys.
    fn reports_seen_by(&self, number: usize) -> Vec<(u64, Option<(LoadReport, Duration)>)> {
        let unpartitioned = self.now < self.plan.partition.at;
        let partition = self.sidecars[number].partition;
        let seen = self
            .sidecars
            .iter()
            .enumerate()
            .filter(|(_, other)| unpartitioned || other.partition == partition);
        seen.map(|(other, sidecar)| (sidecar_key(other), sidecar.report.clone()))
            .collect()
    }

    /// Passes events to a sidecar's engine, and executes the resulting actions.
    fn deliver(&mut self, number: usize, events: Vec<Event>) {
        for action in self.sidecars[number].engine.handle(self.now, events) {
            match action {
                Action::StartAttempt { request, pod, .. } => {
                    self.start_attempt(number, request, pod);
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.sidecars[number].attempts.remove(&request);
                    self.result.failed += 1;
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, number: usize, request: RequestId, id: PodId) {
        let pod = id.0 as usize;
        let attempts = self.sidecars[number].attempts.entry(request).or_insert(0);
        let attempt = AttemptIndex(*attempts);
        *attempts += 1;
        let refused = self.is_refused(pod);
        let (outcome, duration) = if refused {
            (AttemptOutcome::ConnectFailed, REFUSAL_TIME)
        } else {
            let answer_time = Duration::from_secs_f64(ANSWER_TIME_SECONDS);
            (AttemptOutcome::Succeeded, answer_time)
        };
        if self.now >= self.plan.duration / 2 {
            self.attempts_at[pod] += 1.0;
        }
        self.measure_warming_load(pod);
        let result = AttemptResult {
            request,
            attempt,
            pod: id,
            outcome,
            duration,
            request_closed: !refused,
        };
        self.schedule(duration, number, TrialEvent::AttemptEnds(result));
    }

    /// Whether the pod is unavailable; if so, counts the attempt.
    fn is_refused(&mut self, pod: usize) -> bool {
        let Some(outage) = self.plan.outage else {
            return false;
        };
        if outage.pod != pod || !(outage.from..outage.to).contains(&self.now) {
            return false;
        }
        let second = (self.now - outage.from).as_secs() as usize;
        let attempts = &mut self.result.attempts_in_outage;
        attempts.resize(attempts.len().max(second + 1), 0);
        attempts[second] += 1;
        true
    }

    fn measure_warming_load(&mut self, pod: usize) {
        let now = self.now;
        add_to_window(&mut self.recent_at_all, now);
        let Some(restart) = self.plan.restart else {
            return;
        };
        if restart.pod != pod || now < restart.at {
            return;
        }
        add_to_window(&mut self.recent_at_restarted, now);
        let total_capacity: f64 = (0..self.plan.pods).map(capacity).sum();
        let age = (now - restart.at).as_secs_f64();
        let fair_share = self.recent_at_all.len() as f64 / total_capacity
            * capacity(pod)
            * mean_warming_fraction(age);
        // One attempt is subtracted, as a sidecar can't send a fraction of one.
        let ratio = (self.recent_at_restarted.len() as f64 - 1.0) / fair_share.max(MIN_DIVISOR);
        self.result.warming_load = self.result.warming_load.max(ratio);
    }

    fn loads(&self) -> Vec<f64> {
        let restarted = self.plan.restart.map(|restart| restart.pod);
        let unavailable = self.plan.outage.map(|outage| outage.pod);
        (0..self.plan.pods)
            .filter(|pod| restarted != Some(*pod) && unavailable != Some(*pod))
            .map(|pod| self.attempts_at[pod] / capacity(pod))
            .collect()
    }
}

fn add_to_window(times: &mut VecDeque<Duration>, now: Duration) {
    times.push_back(now);
    while times.front().is_some_and(|at| *at + OVERLOAD_WINDOW < now) {
        times.pop_front();
    }
}

/// The mean fraction of its capacity that a pod had over the window that ends at this age in seconds. Before its start, the fraction at
/// its start counts.
fn mean_warming_fraction(age: f64) -> f64 {
    let duration = SLOW_START_DURATION.as_secs_f64();
    let window = OVERLOAD_WINDOW.as_secs_f64();
    let fraction = |age: f64| (SLOW_START_FROM + (1.0 - SLOW_START_FROM) * age / duration).min(1.0);
    let steps = (0..CAPACITY_SAMPLES).map(|step| {
        fraction((age - window * f64::from(step) / f64::from(CAPACITY_SAMPLES)).max(0.0))
    });
    steps.sum::<f64>() / f64::from(CAPACITY_SAMPLES)
}
