//! Measures how evenly a day's load was spread over the pods.

use crate::record::{Event, PodId, RecordLine, SidecarId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Window over which the sidecars that send to a pod are counted.
const SIDECAR_COUNT_WINDOW: Duration = Duration::from_secs(2);
/// Pods that ran for less are left out, because they may have been warming up throughout.
const MIN_RUN_TIME: Duration = Duration::from_secs(4);
/// Keeps divisors above 0 if no attempt was sent or no pod ran.
const MIN_DIVISOR: f64 = 1e-9;

/// How evenly the load was spread over the pods that ran long enough to be counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Ratio of the highest load of a pod to the mean load of all pods, in attempts per core and second.
    pub max_over_mean: f64,
    /// Mean number of sidecars that sent to a pod within one window.
    pub mean_sidecars: f64,
    /// Highest number of sidecars that sent to a pod within one window.
    pub max_sidecars: usize,
    /// Pods that received no attempt.
    pub unused_pods: usize,
}

#[derive(Default)]
struct PodLoad {
    /// Capacity in cores.
    capacity: f64,
    started_at: Duration,
    /// Zero until the pod exits.
    ran_for: Duration,
    arrivals: usize,
    /// Sidecars that sent to the pod, by the index of the window.
    sidecars: BTreeMap<u128, BTreeSet<SidecarId>>,
}

impl PodLoad {
    fn ran_until(&self, end: Duration) -> Duration {
        if self.ran_for.is_zero() {
            end.saturating_sub(self.started_at)
        } else {
            self.ran_for
        }
    }

    /// Processor time that the pod had, in core seconds.
    fn core_seconds(&self, end: Duration) -> f64 {
        (self.capacity * self.ran_until(end).as_secs_f64()).max(MIN_DIVISOR)
    }
}

/// Measures the load balance over a whole record.
#[must_use]
pub fn balance(lines: &[RecordLine]) -> Balance {
    let end = lines.last().map_or(Duration::ZERO, |line| line.at);
    let pods = pod_loads(lines);
    let counted: Vec<&PodLoad> = pods
        .values()
        .filter(|pod| pod.ran_until(end) >= MIN_RUN_TIME)
        .collect();
    let mut arrivals = 0;
    let mut core_seconds = 0.0;
    for pod in &counted {
        arrivals += pod.arrivals;
        core_seconds += pod.core_seconds(end);
    }
    let mean = (arrivals as f64 / core_seconds.max(MIN_DIVISOR)).max(MIN_DIVISOR);
    let over_mean = |pod: &&PodLoad| pod.arrivals as f64 / pod.core_seconds(end) / mean;
    let sidecars: Vec<usize> = counted
        .iter()
        .flat_map(|pod| pod.sidecars.values().map(BTreeSet::len))
        .collect();
    Balance {
        max_over_mean: counted.iter().map(over_mean).fold(0.0, f64::max),
        mean_sidecars: sidecars.iter().sum::<usize>() as f64 / sidecars.len().max(1) as f64,
        max_sidecars: sidecars.iter().max().copied().unwrap_or(0),
        unused_pods: counted.iter().filter(|pod| pod.arrivals == 0).count(),
    }
}

fn pod_loads(lines: &[RecordLine]) -> BTreeMap<PodId, PodLoad> {
    let mut pods: BTreeMap<PodId, PodLoad> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::PodStarted { pod, capacity, .. } => {
                let load = PodLoad {
                    capacity: *capacity,
                    started_at: line.at,
                    ..PodLoad::default()
                };
                pods.insert(*pod, load);
            }
            Event::PodExited { pod } => {
                if let Some(pod) = pods.get_mut(pod) {
                    pod.ran_for = line.at.saturating_sub(pod.started_at);
                }
            }
            Event::AttemptArrived { pod, sidecar, .. } => {
                if let Some(pod) = pods.get_mut(pod) {
                    pod.arrivals += 1;
                    let window = line.at.as_millis() / SIDECAR_COUNT_WINDOW.as_millis();
                    pod.sidecars.entry(window).or_default().insert(*sidecar);
                }
            }
            _ => {}
        }
    }
    pods
}

/// Load of a pod within one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPoint {
    /// Seconds since the start of the day.
    pub second: f64,
    /// Attempts per core.
    pub load: f64,
}

#[derive(Default)]
struct LoadSeries {
    points: Vec<LoadPoint>,
    /// Capacity in cores.
    capacity: f64,
    exited: bool,
}

impl LoadSeries {
    /// Appends points without load up to a time.
    fn pad_until(&mut self, to: Duration) {
        while let Some(last) = self.points.last() {
            if last.second >= to.as_secs() as f64 {
                break;
            }
            let second = last.second + 1.0;
            self.points.push(LoadPoint { second, load: 0.0 });
        }
    }
}

/// Returns the load of each pod for each second in which it ran.
#[must_use]
pub fn load_by_second(lines: &[RecordLine]) -> BTreeMap<PodId, Vec<LoadPoint>> {
    let mut series_by_pod: BTreeMap<PodId, LoadSeries> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::PodStarted { pod, capacity, .. } => {
                let second = line.at.as_secs() as f64;
                let series = LoadSeries {
                    points: vec![LoadPoint { second, load: 0.0 }],
                    capacity: *capacity,
                    exited: false,
                };
                series_by_pod.insert(*pod, series);
            }
            Event::AttemptArrived { pod, .. } => {
                let Some(series) = series_by_pod.get_mut(pod).filter(|series| !series.exited)
                else {
                    continue;
                };
                series.pad_until(line.at);
                if let Some(point) = series.points.last_mut() {
                    point.load += 1.0 / series.capacity.max(MIN_DIVISOR);
                }
            }
            Event::PodExited { pod } => {
                if let Some(series) = series_by_pod.get_mut(pod) {
                    series.exited = true;
                    series.pad_until(line.at);
                }
            }
            Event::End {} => {
                for series in series_by_pod.values_mut().filter(|series| !series.exited) {
                    series.pad_until(line.at);
                }
            }
            _ => {}
        }
    }
    let points = series_by_pod
        .into_iter()
        .map(|(pod, series)| (pod, series.points));
    points.collect()
}
