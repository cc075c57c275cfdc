//! Compares direct connections to a pod with a plain TCP relay and a sidecar, on one machine and in one run. Pods, relay and
//! sidecar run as separate processes, and the CPU time of the relay and the sidecar is read from `/proc`.

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

/// Duration of load before each measurement.
const WARM_UP: Duration = Duration::from_millis(500);
/// Index of the first sidecar among the paths, after the direct path and the relay.
const FIRST_SIDECAR: usize = 2;
/// Fraction of the first sidecar's maximum throughput at which latency is measured.
const LATENCY_LOAD: f64 = 0.5;

/// Parameters of a comparison.
#[derive(Clone, Debug)]
pub struct ComparisonPlan {
    /// Number of pods behind each sidecar. The first fleet also serves the direct path and the relay.
    pub pod_counts: Vec<usize>,
    /// Number of client connections.
    pub connections: usize,
    /// Number of rounds. The paths are measured in turn within each round, so that other load on the machine affects all of
    /// them equally, and the median is reported.
    pub rounds: usize,
    /// Duration of each measurement.
    pub duration: Duration,
    /// Seed of the random request schedule.
    pub seed: u64,
}

/// Runs the comparison with `program` as the limewing executable, and returns the results as text. Writes files to `folder`.
///
/// # Errors
/// Returns an error if a process does not start or the load cannot be sent.
pub fn compare(program: &Path, folder: &Path, plan: &ComparisonPlan) -> Result<String, LoadError> {
    let mut paths = Vec::new();
    // Keeps the pods running until the comparison ends.
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
    // All paths get the same request rate, which makes their latencies comparable.
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
