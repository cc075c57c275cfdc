//! Emulated pods with a request queue, a few cores and faults.

use super::event::{Attempt, SimulationEvent};
use super::{ms, Simulation};
use limewing_decision::interface::{
    AttemptOutcome, BuildId, CellId, Endpoint, MachineTypeId, PodId, PodState, ZoneId,
};
use rand::RngExt;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of requests that a pod serves concurrently.
pub(super) const CORES_PER_POD: usize = 2;
/// The mean service time of a request on a warm pod, in seconds.
pub(super) const MEAN_SERVICE_TIME_S: f64 = 0.05;
/// The queue length at which a pod rejects further requests.
const MAX_QUEUE: usize = 20;
/// The latency of a response over a link.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// The time until a connection reset is detected.
const RESET_DELAY: Duration = Duration::from_millis(2);
/// The share of requests that end with a connection reset at any pod.
const RESET_RATE: f64 = 0.002;

/// A pod, which may have crashed and not restarted yet.
pub(super) struct Pod {
    /// The pod's current endpoint, which the list service may not have yet.
    pub(super) endpoint: Endpoint,
    pub(super) is_running: bool,
    pub(super) started_at: Duration,
    pub(super) hangs: bool,
    /// The factor on the service time.
    pub(super) slowness: f64,
    pub(super) loses_answers: bool,
    waiting: VecDeque<Attempt>,
    working: Vec<Work>,
}

/// A request being served by a core.
struct Work {
    done_at: Duration,
    attempt: Attempt,
}

impl Pod {
    pub(super) fn is_ready(&self) -> bool {
        self.is_running && self.endpoint.state == PodState::Ready
    }

    /// Removes and returns all unanswered attempts.
    fn take_attempts(&mut self) -> Vec<Attempt> {
        let working = self.working.drain(..).map(|work| work.attempt);
        self.waiting.drain(..).chain(working).collect()
    }

    /// Removes and returns the attempts whose service has finished.
    fn take_finished(&mut self, now: Duration) -> Vec<Attempt> {
        let (finished, working) = std::mem::take(&mut self.working)
            .into_iter()
            .partition(|work| work.done_at <= now);
        self.working = working;
        let finished: Vec<Work> = finished;
        finished.into_iter().map(|work| work.attempt).collect()
    }

    fn gone(&self) -> Endpoint {
        Endpoint {
            state: PodState::Gone,
            ..self.endpoint.clone()
        }
    }
}

fn warm_capacity() -> f64 {
    CORES_PER_POD as f64 / MEAN_SERVICE_TIME_S
}

impl Simulation {
    pub(super) fn new_pod_id(&mut self) -> PodId {
        self.last_pod_id += 1;
        PodId(self.last_pod_id)
    }

    /// Adds a pod. Its zone and cell follow from its position.
    pub(super) fn add_pod(&mut self, id: PodId, build: BuildId, started_at: Duration) {
        let place = self.pods.len() as u64;
        let endpoint = Endpoint {
            pod: id,
            state: PodState::Ready,
            build,
            weight: 1.0,
            started_at: Some(started_at),
            zone: ZoneId((place % 2) as u16),
            cell: CellId((place / 3) as u16),
            machine_type: MachineTypeId(0),
        };
        self.model.pod_started(id, started_at, warm_capacity());
        self.pods.push(Pod {
            endpoint,
            is_running: true,
            started_at,
            hangs: false,
            slowness: 1.0,
            loses_answers: false,
            waiting: VecDeque::new(),
            working: Vec::new(),
        });
    }

    /// Restarts a crashed pod under the same ID, unless it was draining.
    pub(super) fn pod_restarts(&mut self, pod_index: usize, build: Option<BuildId>) {
        let build = build.unwrap_or(self.rollout.stage.build);
        let now = self.now;
        let pod = &mut self.pods[pod_index];
        if pod.is_running || pod.endpoint.state != PodState::Ready {
            return;
        }
        pod.endpoint.build = build;
        pod.endpoint.started_at = Some(now);
        pod.is_running = true;
        pod.started_at = now;
        pod.slowness = 1.0;
        pod.hangs = false;
        pod.loses_answers = false;
        let endpoint = pod.endpoint.clone();
        self.model.pod_started(endpoint.pod, now, warm_capacity());
        self.list_changes(vec![endpoint]);
    }

    pub(super) fn pod_crashes(&mut self, pod_index: usize) {
        let pod = &mut self.pods[pod_index];
        if !pod.is_running {
            return;
        }
        pod.is_running = false;
        self.reset_connections(pod_index);
        let gone = self.pods[pod_index].gone();
        let noticed_in = ms(self.rng.random_range(500..4000));
        self.schedule_in(noticed_in, SimulationEvent::ListChanges(vec![gone]));
    }

    pub(super) fn pod_removed(&mut self, pod_index: usize) {
        self.pods[pod_index].is_running = false;
        self.reset_connections(pod_index);
        let gone = self.pods[pod_index].gone();
        self.list_changes(vec![gone]);
    }

    fn reset_connections(&mut self, pod_index: usize) {
        for attempt in self.pods[pod_index].take_attempts() {
            let reset = SimulationEvent::AttemptEnds {
                attempt,
                outcome: AttemptOutcome::ConnectionReset,
            };
            self.schedule_in(RESET_DELAY, reset);
        }
    }

    pub(super) fn reaches_pod(&mut self, pod_index: usize, attempt: Attempt) {
        let pod = &mut self.pods[pod_index];
        if !pod.is_running || pod.endpoint.pod != attempt.pod {
            return self.attempt_ends(&attempt, AttemptOutcome::ConnectionReset);
        }
        let rejects_as_draining =
            self.draining_pods_reject && pod.endpoint.state == PodState::Draining;
        if rejects_as_draining || pod.waiting.len() >= MAX_QUEUE {
            let rejection = SimulationEvent::AttemptEnds {
                attempt,
                outcome: AttemptOutcome::Rejected,
            };
            return self.schedule_in(LINK_DELAY, rejection);
        }
        pod.waiting.push_back(attempt);
    }

    pub(super) fn step_pods(&mut self) {
        for pod_index in 0..self.pods.len() {
            let pod = &mut self.pods[pod_index];
            if pod.hangs || !pod.is_running {
                continue;
            }
            let finished = pod.take_finished(self.now);
            self.start_work(pod_index);
            for attempt in finished {
                self.answer(pod_index, attempt);
            }
        }
    }

    /// Assigns queued attempts to idle cores.
    fn start_work(&mut self, pod_index: usize) {
        let safety = &self.config.safety;
        let pod = &mut self.pods[pod_index];
        let age = self.now.saturating_sub(pod.started_at);
        let warmth = age.as_secs_f64() / safety.slow_start_duration.as_secs_f64();
        let cold_share = safety.slow_start_from;
        let capacity_share = (cold_share + (1.0 - cold_share) * warmth).min(1.0);
        while pod.working.len() < CORES_PER_POD {
            let Some(attempt) = pod.waiting.pop_front() else {
                break;
            };
            let work = MEAN_SERVICE_TIME_S * self.rng.random_range(0.5..1.5) * pod.slowness
                / capacity_share;
            pod.working.push(Work {
                done_at: self.now + Duration::from_secs_f64(work),
                attempt,
            });
        }
    }

    fn answer(&mut self, pod_index: usize, attempt: Attempt) {
        let pod = &self.pods[pod_index];
        let error_rate = self.rollout.error_rate(pod.endpoint.build);
        let outcome = match self.rng.random_range(0.0..1.0) {
            draw if draw < error_rate => AttemptOutcome::Failed,
            draw if draw < error_rate + RESET_RATE => AttemptOutcome::ConnectionReset,
            _ => AttemptOutcome::Succeeded,
        };
        let is_lost = pod.loses_answers && self.rng.random_bool(0.4);
        if !is_lost {
            self.schedule_in(
                LINK_DELAY,
                SimulationEvent::AttemptEnds { attempt, outcome },
            );
        }
    }
}
