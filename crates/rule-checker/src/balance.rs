//! How a day's load was spread over its pods, from the record alone.

use crate::record::{Event, PodId, RecordLine, SidecarId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Sidecars of a pod are counted over such spans.
const SPAN: Duration = Duration::from_secs(2);
/// A pod that ran for less is left out: it may have been cold throughout.
const LEAST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// Forwards per strength and second of a pod, most over mean.
    pub most: f64,
    /// Sidecars that sent a pod anything in a span: the mean, and the most.
    pub users: (f64, usize),
    /// Pods that got nothing.
    pub unused: usize,
}

#[derive(Default)]
struct Pod {
    capacity: f64,
    since: Duration,
    ran: Duration,
    came: usize,
    users: BTreeMap<u128, BTreeSet<SidecarId>>,
}

pub fn balance(lines: &[RecordLine]) -> Balance {
    let mut pods: BTreeMap<PodId, Pod> = BTreeMap::new();
    let end = lines.last().map_or(Duration::ZERO, |line| line.at);
    for line in lines {
        match &line.event {
            Event::PodStarted { pod, capacity, .. } => {
                pods.insert(
                    *pod,
                    Pod {
                        capacity: *capacity,
                        since: line.at,
                        ..Pod::default()
                    },
                );
            }
            Event::PodExited { pod } => {
                pods.entry(*pod)
                    .and_modify(|pod| pod.ran = line.at.saturating_sub(pod.since));
            }
            Event::ForwardArrived { pod, sidecar, .. } => {
                if let Some(pod) = pods.get_mut(pod) {
                    pod.came += 1;
                    let span = line.at.as_millis() / SPAN.as_millis();
                    pod.users.entry(span).or_default().insert(*sidecar);
                }
            }
            _ => {}
        }
    }
    let ran = |pod: &Pod| {
        if pod.ran.is_zero() {
            end.saturating_sub(pod.since)
        } else {
            pod.ran
        }
    };
    let long: Vec<&Pod> = pods.values().filter(|pod| ran(pod) >= LEAST).collect();
    let could = |pod: &Pod| (pod.capacity * ran(pod).as_secs_f64()).max(1e-9);
    let (came, whole) = long.iter().fold((0, 0.0), |(came, whole), p| {
        (came + p.came, whole + could(p))
    });
    let mean = (came as f64 / whole.max(1e-9)).max(1e-9);
    let spans: Vec<usize> = long
        .iter()
        .flat_map(|pod| pod.users.values().map(BTreeSet::len))
        .collect();
    Balance {
        most: long
            .iter()
            .map(|pod| pod.came as f64 / could(pod) / mean)
            .fold(0.0, f64::max),
        users: (
            spans.iter().sum::<usize>() as f64 / spans.len().max(1) as f64,
            spans.iter().max().copied().unwrap_or(0),
        ),
        unused: long.iter().filter(|pod| pod.came == 0).count(),
    }
}

/// Forwards that each pod got in each second of its life, over its strength: (second, forwards).
pub fn by_second(lines: &[RecordLine]) -> BTreeMap<PodId, Vec<(f64, f64)>> {
    let mut up: BTreeMap<PodId, f64> = BTreeMap::new();
    let mut courses: BTreeMap<PodId, Vec<(f64, f64)>> = BTreeMap::new();
    let fill = |course: &mut Vec<(f64, f64)>, to: Duration| {
        while course
            .last()
            .is_some_and(|point| point.0 < to.as_secs() as f64)
        {
            let next = course[course.len() - 1].0 + 1.0;
            course.push((next, 0.0));
        }
    };
    for line in lines {
        match &line.event {
            Event::PodStarted { pod, capacity, .. } => {
                up.insert(*pod, *capacity);
                courses.insert(*pod, vec![(line.at.as_secs() as f64, 0.0)]);
            }
            Event::ForwardArrived { pod, .. } => {
                let Some((course, capacity)) = courses.get_mut(pod).zip(up.get(pod)) else {
                    continue;
                };
                fill(course, line.at);
                course
                    .iter_mut()
                    .last()
                    .into_iter()
                    .for_each(|point| point.1 += 1.0 / capacity.max(1e-9));
            }
            Event::PodExited { pod } => {
                up.remove(pod);
                courses
                    .get_mut(pod)
                    .into_iter()
                    .for_each(|course| fill(course, line.at));
            }
            Event::End {} => {
                let left = |(pod, course): (&PodId, _)| up.contains_key(pod).then_some(course);
                courses
                    .iter_mut()
                    .filter_map(left)
                    .for_each(|course| fill(course, line.at));
            }
            _ => {}
        }
    }
    courses
}
