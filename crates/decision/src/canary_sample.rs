//! Observations of one build in one stage.

use crate::interface::{AttemptOutcome, ClassId, PodId};
use crate::statistics::{median, Proportion};
use std::collections::BTreeMap;
use std::fmt;

#[cfg(test)]
mod tests;

/// Outcomes and latencies of one build in one stage, by request class and by pod.
#[derive(Default, Clone)]
pub(crate) struct CanarySample {
    pub(crate) by_class: BTreeMap<ClassId, OutcomeCounts>,
    pub(crate) by_pod: BTreeMap<PodId, PodSample>,
    /// The latencies of all pods, in ascending order.
    latencies: Vec<f64>,
}

/// Observations of one pod.
#[derive(Default, Clone)]
pub(crate) struct PodSample {
    pub(crate) outcomes: usize,
    pub(crate) failures: usize,
    pub(crate) flagged: usize,
    /// Latencies relative to the baseline's on the same machine type, oldest first. Only warm pods
    /// are included.
    pub(crate) latencies: Vec<f64>,
}

/// The number of outcomes and how many of them were bad.
#[derive(Default, Clone, Copy, Debug)]
pub(crate) struct OutcomeCounts {
    pub(crate) outcomes: usize,
    /// Errors and timeouts.
    pub(crate) failures: usize,
    pub(crate) timed_out: usize,
    /// Responses flagged as incorrect.
    pub(crate) flagged: usize,
}

impl OutcomeCounts {
    pub(crate) fn failed(&self) -> Proportion {
        Proportion::new(self.failures, self.outcomes)
    }

    /// Returns the number of failures other than timeouts.
    pub(crate) fn errors(&self) -> usize {
        self.failures - self.timed_out
    }

    pub(crate) fn flagged(&self) -> Proportion {
        Proportion::new(self.flagged, self.outcomes)
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            outcomes: self.outcomes + other.outcomes,
            failures: self.failures + other.failures,
            timed_out: self.timed_out + other.timed_out,
            flagged: self.flagged + other.flagged,
        }
    }

    fn halved(self) -> Self {
        Self {
            outcomes: self.outcomes / 2,
            failures: self.failures / 2,
            timed_out: self.timed_out / 2,
            flagged: self.flagged / 2,
        }
    }
}

impl PodSample {
    /// Discards half of the counts and the older half of the latencies.
    fn halve(&mut self) {
        self.outcomes /= 2;
        self.failures /= 2;
        self.flagged /= 2;
        self.latencies.drain(..self.latencies.len().div_ceil(2));
    }
}

impl CanarySample {
    /// Returns the counts of all classes combined.
    pub(crate) fn total(&self) -> OutcomeCounts {
        self.by_class
            .values()
            .fold(OutcomeCounts::default(), OutcomeCounts::plus)
    }

    /// Pairs the counts of each class, and of all classes combined, with those of another sample.
    pub(crate) fn paired_with(&self, other: &Self) -> Vec<(OutcomeCounts, OutcomeCounts)> {
        let of_other = |class| other.by_class.get(class).copied().unwrap_or_default();
        self.by_class
            .iter()
            .map(|(class, counts)| (*counts, of_other(class)))
            .chain([(self.total(), other.total())])
            .collect()
    }

    pub(crate) fn record(
        &mut self,
        class: ClassId,
        pod: PodId,
        outcome: AttemptOutcome,
        latency: Option<f64>,
    ) {
        let failed = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
        let counts = self.by_class.entry(class).or_default();
        counts.outcomes += 1;
        counts.failures += usize::from(failed);
        counts.timed_out += usize::from(outcome == AttemptOutcome::TimedOut);
        let pod_sample = self.by_pod.entry(pod).or_default();
        pod_sample.outcomes += 1;
        pod_sample.failures += usize::from(failed);
        if let Some(latency) = latency {
            pod_sample.latencies.push(latency);
            let position = self
                .latencies
                .partition_point(|known| known.total_cmp(&latency).is_lt());
            self.latencies.insert(position, latency);
        }
    }

    /// Counts a response that was flagged as incorrect.
    pub(crate) fn record_flag(&mut self, class: ClassId, pod: PodId) {
        self.by_class.entry(class).or_default().flagged += 1;
        self.by_pod.entry(pod).or_default().flagged += 1;
    }

    /// Discards half of the sample: half of each count, and the older half of the latencies.
    pub(crate) fn halve(&mut self) {
        for counts in self.by_class.values_mut() {
            *counts = counts.halved();
        }
        for pod_sample in self.by_pod.values_mut() {
            pod_sample.halve();
        }
        self.by_pod.retain(|_, pod_sample| pod_sample.outcomes > 0);
        self.latencies = self
            .by_pod
            .values()
            .flat_map(|pod_sample| &pod_sample.latencies)
            .copied()
            .collect();
        self.latencies.sort_by(f64::total_cmp);
    }

    /// Returns all latencies in ascending order.
    pub(crate) fn latencies(&self) -> &[f64] {
        &self.latencies
    }

    /// Returns all latencies except those of the pod with the highest median.
    pub(crate) fn latencies_without_slowest_pod(&self) -> Vec<f64> {
        let mut pods: Vec<(f64, &Vec<f64>)> = self
            .by_pod
            .values()
            .map(|pod_sample| &pod_sample.latencies)
            .map(|latencies| (median(latencies.clone()).unwrap_or(0.0), latencies))
            .collect();
        pods.sort_by(|(median, _), (other, _)| median.total_cmp(other));
        pods.pop();
        pods.into_iter()
            .flat_map(|(_, latencies)| latencies)
            .copied()
            .collect()
    }
}

/// Formats the summary of a sample for the decision log. The simulator records it, so its format is
/// fixed.
impl fmt::Display for CanarySample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (total, latencies) = (self.total(), self.latencies());
        write!(
            f,
            "{} bad and {} flagged of {}",
            total.failures, total.flagged, total.outcomes
        )?;
        write!(
            f,
            " on {} pods, median {:.2} of {}",
            self.by_pod.len(),
            latencies.get(latencies.len() / 2).unwrap_or(&0.0),
            latencies.len()
        )
    }
}
