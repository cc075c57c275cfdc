//! How a day's load was spread over its pods.

use crate::record::{Event, PodId, RecordLine, SidecarId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The sidecars that use a pod are counted over such spans.
const USER_SPAN: Duration = Duration::from_secs(2);
/// A pod that ran for less is left out: it may have been warming up throughout.
const MIN_RUN: Duration = Duration::from_secs(4);
/// Keeps divisors above 0 where nothing was sent or no pod ran.
const MIN_DIVISOR: f64 = 1e-9;

/// The spread of the load over the pods that ran long enough.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Attempts per core and second: the highest of a pod over the mean of all.
    pub highest_over_mean: f64,
    /// Sidecars that sent a pod anything within a span: the mean.
    pub mean_sidecars: f64,
    /// Sidecars that sent a pod anything within a span: the most.
    pub max_sidecars: usize,
    /// Pods that got nothing.
    pub unused_pods: usize,
}

#[derive(Default)]
struct PodLoad {
    /// In cores.
    capacity: f64,
    started_at: Duration,
    /// Zero as long as it has not ended.
    ran_for: Duration,
    arrivals: usize,
    /// By the index of the span.
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

    /// Seconds of a core that it had.
    fn core_seconds(&self, end: Duration) -> f64 {
        (self.capacity * self.ran_until(end).as_secs_f64()).max(MIN_DIVISOR)
    }
}

/// Measures the spread of the load over a whole record.
#[must_use]
pub fn balance(lines: &[RecordLine]) -> Balance {
    let end = lines.last().map_or(Duration::ZERO, |line| line.at);
    let pods = loads(lines);
    let long: Vec<&PodLoad> = pods
        .values()
        .filter(|pod| pod.ran_until(end) >= MIN_RUN)
        .collect();
    let mut arrivals = 0;
    let mut core_seconds = 0.0;
    for pod in &long {
        arrivals += pod.arrivals;
        core_seconds += pod.core_seconds(end);
    }
    let mean = (arrivals as f64 / core_seconds.max(MIN_DIVISOR)).max(MIN_DIVISOR);
    let over_mean = |pod: &&PodLoad| pod.arrivals as f64 / pod.core_seconds(end) / mean;
    let sidecars: Vec<usize> = long
        .iter()
        .flat_map(|pod| pod.sidecars.values().map(BTreeSet::len))
        .collect();
    Balance {
        highest_over_mean: long.iter().map(over_mean).fold(0.0, f64::max),
        mean_sidecars: sidecars.iter().sum::<usize>() as f64 / sidecars.len().max(1) as f64,
        max_sidecars: sidecars.iter().max().copied().unwrap_or(0),
        unused_pods: long.iter().filter(|pod| pod.arrivals == 0).count(),
    }
}

fn loads(lines: &[RecordLine]) -> BTreeMap<PodId, PodLoad> {
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
            Event::ForwardArrived { pod, sidecar, .. } => {
                if let Some(pod) = pods.get_mut(pod) {
                    pod.arrivals += 1;
                    let span = line.at.as_millis() / USER_SPAN.as_millis();
                    pod.sidecars.entry(span).or_default().insert(*sidecar);
                }
            }
            _ => {}
        }
    }
    pods
}

/// What a pod got in one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPoint {
    /// Since the start of the day.
    pub second: f64,
    /// Attempts per core.
    pub load: f64,
}

#[derive(Default)]
struct LoadCourse {
    points: Vec<LoadPoint>,
    /// In cores.
    capacity: f64,
    exited: bool,
}

impl LoadCourse {
    /// Adds the seconds without an attempt up to a time.
    fn extend(&mut self, to: Duration) {
        while let Some(last) = self.points.last() {
            if last.second >= to.as_secs() as f64 {
                break;
            }
            let second = last.second + 1.0;
            self.points.push(LoadPoint { second, load: 0.0 });
        }
    }
}

/// What each pod got in each second in which it ran.
#[must_use]
pub fn load_by_second(lines: &[RecordLine]) -> BTreeMap<PodId, Vec<LoadPoint>> {
    let mut courses: BTreeMap<PodId, LoadCourse> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::PodStarted { pod, capacity, .. } => {
                let second = line.at.as_secs() as f64;
                let course = LoadCourse {
                    points: vec![LoadPoint { second, load: 0.0 }],
                    capacity: *capacity,
                    exited: false,
                };
                courses.insert(*pod, course);
            }
            Event::ForwardArrived { pod, .. } => {
                let Some(course) = courses.get_mut(pod).filter(|course| !course.exited) else {
                    continue;
                };
                course.extend(line.at);
                if let Some(point) = course.points.last_mut() {
                    point.load += 1.0 / course.capacity.max(MIN_DIVISOR);
                }
            }
            Event::PodExited { pod } => {
                if let Some(course) = courses.get_mut(pod) {
                    course.exited = true;
                    course.extend(line.at);
                }
            }
            Event::End {} => {
                for course in courses.values_mut().filter(|course| !course.exited) {
                    course.extend(line.at);
                }
            }
            _ => {}
        }
    }
    let points = courses
        .into_iter()
        .map(|(pod, course)| (pod, course.points));
    points.collect()
}
