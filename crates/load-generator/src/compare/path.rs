//! One path from the clients to the pods, and its measurements.

use crate::child_process::ChildProcess;
use crate::error::LoadError;
use crate::generator::{run, LoadProfile};
use std::net::SocketAddr;

/// Lower bound of the CPU time in a rate, in seconds: the resolution of the system's accounting.
const MIN_CPU_SECONDS: f64 = 0.01;

/// One path from the clients to the pods. Each vector has one value per round.
pub(super) struct MeasuredPath {
    pub(super) name: String,
    /// Address that the clients connect to.
    pub(super) target: SocketAddr,
    /// The process between clients and pods, absent on the direct path.
    pub(super) process: Option<ChildProcess>,
    pub(super) responses_per_s: Vec<f64>,
    pub(super) responses_per_cpu_second: Vec<f64>,
    /// Median latencies, in milliseconds.
    pub(super) p50: Vec<f64>,
    pub(super) p99: Vec<f64>,
    pub(super) p999: Vec<f64>,
    /// Failures in all rounds.
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

    /// Measures one round at maximum throughput.
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

    /// Measures the latencies of one round at the profile's request rate.
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

/// Returns the median: the upper one for an even count, NaN for no values.
pub(super) fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
