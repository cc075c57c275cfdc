//! Trials of coordination: hundreds of decision engines in simulated time, with or without load reports from each other. Their total load
//! on the pods is measured. Pods answer after a fixed time; reports reach all sidecars in the same partition at once.

mod config;
mod simulation;

use simulation::Simulation;
use std::time::Duration;

/// The parameters of a trial.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of pods.
    pub pods: usize,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The duration, in simulated time.
    pub duration: Duration,
    /// Whether sidecars use each other's load reports.
    pub coordination: bool,
    /// When and how the sidecars are partitioned.
    pub partition: TrialPartition,
    /// A pod that restarts.
    pub restart: Option<PodRestart>,
    /// A pod that is unavailable for a time.
    pub outage: Option<PodOutage>,
}

/// A partition of the sidecars into groups that receive no reports from each other; the groups are drawn at random.
#[derive(Clone, Copy, Debug)]
pub struct TrialPartition {
    /// The start.
    pub at: Duration,
    /// The number of groups.
    pub parts: usize,
}

/// The restart of a pod, which then warms up.
#[derive(Clone, Copy, Debug)]
pub struct PodRestart {
    /// The number of the pod.
    pub pod: usize,
    /// The time of the restart.
    pub at: Duration,
}

/// A time in which a pod refuses connections.
#[derive(Clone, Copy, Debug)]
pub struct PodOutage {
    /// The number of the pod.
    pub pod: usize,
    /// The start.
    pub from: Duration,
    /// The end.
    pub to: Duration,
}

/// The result of a trial.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// The attempts that each pod received in the second half, divided by its capacity; pods of the restart and the outage are left out.
    pub loads: Vec<f64>,
    /// The highest ratio of the restarted pod's attempts within a window to its fair share by its capacity at that time.
    pub warming_load: f64,
    /// The attempts at the unavailable pod, in each second of the outage.
    pub attempts_in_outage: Vec<usize>,
    /// The time from the end of the outage to the pod's first answer.
    pub recovery_time: Option<Duration>,
    /// The number of requests that were answered.
    pub delivered: usize,
    /// The number of requests that were rejected or failed.
    pub failed: usize,
}

impl TrialResult {
    /// The highest load of a pod, divided by the mean.
    #[must_use]
    pub fn max_over_mean(&self) -> f64 {
        let mean = self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64;
        self.loads.iter().copied().fold(0.0, f64::max) / mean.max(config::MIN_DIVISOR)
    }
}

/// Runs a trial to its end.
#[must_use]
pub fn run_trial(plan: &TrialPlan) -> TrialResult {
    Simulation::new(plan).run()
}
