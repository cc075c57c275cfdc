//! Trials of coordination: hundreds of decision engines in simulated time, with or without the load reports of each other. What they add
//! up to at the pods is measured. Pods answer after a fixed time; reports reach at once those that a sidecar is not cut off from.

mod config;
mod simulation;

use simulation::Simulation;
use std::time::Duration;

/// What is tried.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// How many sidecars.
    pub sidecars: usize,
    /// How many pods.
    pub pods: usize,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How long it takes, in simulated time.
    pub duration: Duration,
    /// Whether sidecars take account of each other.
    pub coordination: bool,
    /// When the sidecars lose sight of each other.
    pub partition: TrialPartition,
    /// A pod that starts anew.
    pub restart: Option<PodRestart>,
    /// A pod that is gone for a time.
    pub outage: Option<PodOutage>,
}

/// The sidecars fall into parts that know nothing of each other; who is in which is drawn.
#[derive(Clone, Copy, Debug)]
pub struct TrialPartition {
    /// From when on.
    pub at: Duration,
    /// How many parts.
    pub parts: usize,
}

/// A pod starts anew, and warms up.
#[derive(Clone, Copy, Debug)]
pub struct PodRestart {
    /// Its number.
    pub pod: usize,
    /// When.
    pub at: Duration,
}

/// A pod refuses connections.
#[derive(Clone, Copy, Debug)]
pub struct PodOutage {
    /// Its number.
    pub pod: usize,
    /// From when on.
    pub from: Duration,
    /// Until when.
    pub to: Duration,
}

/// How it went.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// Attempts that each pod got in the second half, over its capacity; without those of the restart and the outage.
    pub loads: Vec<f64>,
    /// Attempts at the restarted pod within a window, over its fair part by its capacity at that time: the highest.
    pub warming_load: f64,
    /// Attempts at the pod that is gone, in each second of the outage.
    pub attempts_in_outage: Vec<usize>,
    /// From the end of the outage to the pod's first answer.
    pub recovery_time: Option<Duration>,
    /// Requests that were answered.
    pub delivered: usize,
    /// Requests that were refused or failed.
    pub given_up: usize,
}

impl TrialResult {
    /// The highest load of a pod over the mean.
    #[must_use]
    pub fn highest_over_mean(&self) -> f64 {
        let mean = self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64;
        self.loads.iter().copied().fold(0.0, f64::max) / mean.max(config::MIN_DIVISOR)
    }
}

/// Runs a trial to its end.
#[must_use]
pub fn run_trial(plan: &TrialPlan) -> TrialResult {
    Simulation::new(plan).run()
}
