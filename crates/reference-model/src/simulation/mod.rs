//! Simulates a fleet with faults, generated from a seed, in steps of 5 ms. Pods, the list service, the rollout service,
//! clients and links are emulated. The decision engine is the real one.

mod attempts;
mod clients;
mod discovery;
mod draw;
mod event;
mod faults;
mod pods;
mod rollout;
mod sidecars;

use crate::coverage::Coverage;
use crate::event_queue::EventQueue;
use crate::model::ReferenceModel;
use crate::mutation::Mutation;
use crate::violation::Violation;
use discovery::Discovery;
use event::SimulationEvent;
use limewing_decision::interface::SidecarConfig;
use pods::Pod;
use rand::rngs::StdRng;
use rollout::Rollout;
use sidecars::Sidecar;
use std::fmt;
use std::time::Duration;

/// The simulated time between two steps.
const STEP: Duration = Duration::from_millis(5);
/// The simulated time at which a run starts.
const START: Duration = Duration::from_secs(1000);
/// The duration of a run in simulated time.
const RUN_DURATION: Duration = Duration::from_secs(24);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The first rule violation in a run.
#[derive(Debug)]
pub struct RunFailure {
    /// The seed of the run.
    pub seed: u64,
    /// The step of the violation, counted from 1.
    pub step: usize,
    /// The violation.
    pub violation: Violation,
}

impl fmt::Display for RunFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}, step {}: {}",
            self.seed, self.step, self.violation
        )
    }
}

impl std::error::Error for RunFailure {}

/// The state of one run.
struct Simulation {
    /// The random number generator for the fleet, its load and its faults.
    rng: StdRng,
    /// The random number generator for connections and list service outages. It is separate so that its draws do not
    /// change the rest of a run.
    link_rng: StdRng,
    now: Duration,
    step: usize,
    queue: EventQueue<SimulationEvent>,
    /// The configuration shared by all sidecars.
    config: SidecarConfig,
    sidecars: Vec<Sidecar>,
    pods: Vec<Pod>,
    last_pod_id: u64,
    /// Whether draining pods reject new attempts. Otherwise they serve them until they are removed.
    draining_pods_reject: bool,
    discovery: Discovery,
    rollout: Rollout,
    last_request_id: u64,
    /// The mean number of requests per second without overload.
    request_rate: f64,
    overload: f64,
    model: ReferenceModel,
    mutation: Mutation,
    /// The number of turns of all sidecars so far.
    turns: u64,
}

/// Runs the simulation of one seed, and adds its counts to `coverage`.
///
/// # Errors
///
/// Returns the first rule violation.
pub fn run_seed(
    seed: u64,
    mutation: Mutation,
    coverage: &mut Coverage,
) -> Result<(), Box<RunFailure>> {
    let mut simulation = Simulation::from_seed(seed, mutation);
    simulation.model.coverage = *coverage;
    let result = simulation.run();
    *coverage = simulation.model.coverage;
    result.map_err(|violation| {
        Box::new(RunFailure {
            seed,
            step: simulation.step,
            violation,
        })
    })
}

impl Simulation {
    fn run(&mut self) -> Result<(), Violation> {
        while self.now < START + RUN_DURATION {
            self.step += 1;
            while let Some(event) = self.queue.pop_due(self.now) {
                self.handle(event);
            }
            self.step_pods();
            for sidecar in 0..self.sidecars.len() {
                self.deliver_list(sidecar);
                self.store_known_stage(sidecar);
                self.step_sidecar(sidecar)?;
            }
            let sidecars = &self.sidecars;
            self.model
                .check_deadlines(self.now, |sidecar| sidecars[sidecar].is_stalled)?;
            self.now += STEP;
        }
        Ok(())
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn schedule_in(&mut self, wait: Duration, event: SimulationEvent) {
        self.schedule(self.now + wait, event);
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Deliver(sidecar, event) => self.deliver_to_host(sidecar, event),
            SimulationEvent::ConnectionReady {
                attempt,
                broken_connections,
            } => self.connection_ready(attempt, broken_connections),
            SimulationEvent::ReachesPod { pod_index, attempt } => {
                self.reaches_pod(pod_index, attempt);
            }
            SimulationEvent::AttemptEnds { attempt, outcome } => {
                self.attempt_ends(&attempt, outcome);
            }
            SimulationEvent::AttemptTimesOut(attempt) => self.attempt_times_out(&attempt),
            SimulationEvent::StreamEnds { attempt, outcome } => {
                self.stream_ends(&attempt, outcome);
            }
            SimulationEvent::ClientArrives => self.client_arrives(),
            SimulationEvent::ClientRetries(request) => self.send_request(request),
            SimulationEvent::ClientDisconnects { sidecar, request } => {
                self.client_disconnects(sidecar, request);
            }
            SimulationEvent::PodCrashes(pod_index) => self.pod_crashes(pod_index),
            SimulationEvent::PodRestarts { pod_index, build } => {
                self.pod_restarts(pod_index, build);
            }
            SimulationEvent::PodRemoved(pod_index) => self.pod_removed(pod_index),
            SimulationEvent::ListChanges(endpoints) => self.list_changes(endpoints),
            SimulationEvent::PodHangs { pod_index, hangs } => {
                self.pods[pod_index].hangs = hangs;
            }
            SimulationEvent::PodSlows { pod_index, factor } => {
                self.pods[pod_index].slowness = factor;
            }
            SimulationEvent::PodLosesAnswers { pod_index, loses } => {
                self.pods[pod_index].loses_answers = loses;
            }
            SimulationEvent::WatchCall(sidecar) => self.answer_watch_call(sidecar),
            SimulationEvent::WatchCallTimesOut(sidecar) => self.watch_call_times_out(sidecar),
            SimulationEvent::WatchBreaks(sidecar) => self.watch_breaks(sidecar),
            SimulationEvent::DiscoveryChanges(state) => self.discovery_changes(state),
            SimulationEvent::SidecarStalls { sidecar, stalls } => {
                self.sidecar_stalls(sidecar, stalls);
            }
            SimulationEvent::SidecarCrashes(sidecar) => self.sidecar_crashes(sidecar),
            SimulationEvent::SidecarStarts(sidecar) => self.start_sidecar(sidecar),
            SimulationEvent::ListDelayed(delay) => self.discovery.delay = delay,
            SimulationEvent::StageDelayed(delay) => self.rollout.update_delay = delay,
            SimulationEvent::RolloutServiceDown(is_down) => self.rollout.is_service_down = is_down,
            SimulationEvent::CapLowered => self.lower_cap(),
            SimulationEvent::RolloutAdvances { state } => self.advance_rollout(state),
            SimulationEvent::Overload(factor) => self.overload = factor,
        }
    }
}
