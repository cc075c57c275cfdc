//! One path from the clients to the pods, and what was measured of it.

use crate::child_process::ChildProcess;
use crate::error::LoadError;
use crate::generator::{run, LoadProfile};
use std::net::SocketAddr;

/// The least CPU time that a rate is taken over, in seconds: what the system counts in.
const MIN_CPU_SECONDS: f64 = 0.01;

/// One path from the clients to the pods. Each list has a value a round.
pub(super) struct MeasuredPath {
    pub(super) name: String,
    /// Where the clients connect.
    pub(super) target: SocketAddr,
    /// What stands between clients and pods; none on the straight path.
    pub(super) process: Option<ChildProcess>,
    pub(super) responses_per_s: Vec<f64>,
    pub(super) responses_per_cpu_second: Vec<f64>,
    /// Latencies in milliseconds.
    pub(super) p50: Vec<f64>,
    pub(super) p99: Vec<f64>,
    pub(super) p999: Vec<f64>,
    /// Over all rounds.
    pub(super) failures: u64,
}

impl MeasuredPath {
    pub(super) fn new(name: String, target: SocketAddr, process: Option<ChildProcess>) -> Self {
        Self {
            name,
            target,
            process,
            responses_per_s: Vec::new(),
            responses_per_cpu_second: Vec::new(),
            p50: Vec::new(),
            p99: Vec::new(),
            p999: Vec::new(),
            failures: 0,
        }
    }

    /// Measures a round of full load.
    pub(super) fn measure_throughput(&mut self, profile: &LoadProfile) -> Result<(), LoadError> {
        let mut cpu_before = Ok(None);
        let mut cpu_after = Ok(None);
        let cpu_seconds = || {
            let process = self.process.as_ref();
            process.map(ChildProcess::cpu_seconds).transpose()
        };
        let measurement = run(
            &self.profile(profile),
            || cpu_before = cpu_seconds(),
            || cpu_after = cpu_seconds(),
        )?;
        self.responses_per_s.push(measurement.responses_per_s());
        if let (Some(before), Some(after)) = (cpu_before?, cpu_after?) {
            let used = (after - before).max(MIN_CPU_SECONDS);
            self.responses_per_cpu_second
                .push(measurement.responses as f64 / used);
        }
        self.failures += measurement.failures;
        Ok(())
    }

    /// Measures a round of latencies under the profile's rate.
    pub(super) fn measure_latency(&mut self, profile: &LoadProfile) -> Result<(), LoadError> {
        let measurement = run(&self.profile(profile), || (), || ())?;
        self.p50.push(measurement.latency_ms(0.5));
        self.p99.push(measurement.latency_ms(0.99));
        self.p999.push(measurement.latency_ms(0.999));
        self.failures += measurement.failures;
        Ok(())
    }

    fn profile(&self, profile: &LoadProfile) -> LoadProfile {
        LoadProfile {
            target: self.target,
            ..profile.clone()
        }
    }
}

/// The median; of an even count the upper one, of none no number.
pub(super) fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
