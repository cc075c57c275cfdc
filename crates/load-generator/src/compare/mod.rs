//! The comparison: clients straight to a pod, through the bare relay, and through a sidecar, on one machine and in one run. Pods,
//! relay and sidecar are processes of their own; the CPU time of what stands between is read from the system.

mod path;
mod report;

use crate::child_process::ChildProcess;
use crate::error::LoadError;
use crate::generator::LoadProfile;
use crate::request::QUOTE_PATH;
use crate::sidecar_settings::write_sidecar_settings;
use path::{median, MeasuredPath};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Load before each measurement.
const WARM_UP: Duration = Duration::from_millis(500);
/// The place of the first sidecar among the paths, after the straight one and the relay's.
const FIRST_SIDECAR: usize = 2;
/// The part of the first sidecar's full rate at which latency is measured.
const LATENCY_LOAD: f64 = 0.5;

/// What is compared.
#[derive(Clone, Debug)]
pub struct ComparisonPlan {
    /// Pods of the fleet, a sidecar for each count; the first fleet serves the other paths too.
    pub pod_counts: Vec<usize>,
    /// Connections of the clients.
    pub connections: usize,
    /// Each path is measured in so many rounds, in turn with the others: what the machine does beside falls on all alike, and the
    /// median counts.
    pub rounds: usize,
    /// How long each measurement lasts.
    pub duration: Duration,
    /// Seed of the random moments at which requests are due.
    pub seed: u64,
}

/// Runs the comparison with `program` as the command; gives the table and the ratios as text. Files go into `folder`.
///
/// # Errors
/// A process does not start, or the load could not be sent.
pub fn compare(program: &Path, folder: &Path, plan: &ComparisonPlan) -> Result<String, LoadError> {
    let mut paths = Vec::new();
    // The pods serve until the comparison is over.
    let mut fleets = Vec::new();
    for &pod_count in &plan.pod_counts {
        let arguments = ["load", "pods", &pod_count.to_string()];
        let (fleet, pods) = ChildProcess::start(program, &arguments, pod_count)?;
        fleets.push(fleet);
        if paths.is_empty() {
            paths.push(MeasuredPath::new("straight to a pod".into(), pods[0], None));
            paths.push(start_relay(program, &pods)?);
        }
        paths.push(start_sidecar(program, folder, &pods)?);
    }
    let profile = LoadProfile {
        target: paths[0].target,
        requests_per_s: None,
        connections: plan.connections,
        warm_up: WARM_UP,
        duration: plan.duration,
        seed: plan.seed,
        path: QUOTE_PATH.into(),
    };
    for _ in 0..plan.rounds {
        for path in &mut paths {
            path.measure_throughput(&profile)?;
        }
    }
    // The same rate for all, so that what each path adds can be told apart.
    let rate = median(&paths[FIRST_SIDECAR].responses_per_s) * LATENCY_LOAD;
    for round in 0..plan.rounds {
        let profile = LoadProfile {
            seed: plan.seed + round as u64,
            requests_per_s: Some(rate),
            ..profile.clone()
        };
        for path in &mut paths {
            path.measure_latency(&profile)?;
        }
    }
    Ok(report::render(&paths, rate))
}

fn start_relay(program: &Path, pods: &[SocketAddr]) -> Result<MeasuredPath, LoadError> {
    let addresses: Vec<String> = pods.iter().map(ToString::to_string).collect();
    let mut arguments = vec!["load", "relay"];
    arguments.extend(addresses.iter().map(String::as_str));
    let (relay, listening) = ChildProcess::start(program, &arguments, 1)?;
    Ok(MeasuredPath::new(
        "bare relay".into(),
        listening[0],
        Some(relay),
    ))
}

fn start_sidecar(
    program: &Path,
    folder: &Path,
    pods: &[SocketAddr],
) -> Result<MeasuredPath, LoadError> {
    let settings = write_sidecar_settings(folder, pods)?;
    let arguments = ["sidecar", &settings, "--with-parent"];
    let (sidecar, listening) = ChildProcess::start(program, &arguments, 1)?;
    let name = format!("sidecar, {} pods", pods.len());
    Ok(MeasuredPath::new(name, listening[0], Some(sidecar)))
}
