//! The load balancer's view of the pods: one snapshot of each, and what follows from all of them.

use crate::interface::{BuildId, Endpoint, PodId};
use crate::statistics::RunningMean;
use std::time::Duration;

/// A pod as its outlier detector published it last.
#[derive(Clone)]
pub(crate) struct EndpointSnapshot {
    pub(crate) endpoint: Endpoint,
    /// Its rank in this sidecar's own order of pods.
    pub(crate) rank: u64,
    pub(crate) ready: bool,
    /// Attempts of this sidecar in flight at it.
    pub(crate) in_flight: usize,
    /// The latency of its latest answers over the latency objective.
    pub(crate) latency_ratio: RunningMean,
    /// Ready, and not ejected.
    pub(crate) usable: bool,
    /// Ejected, but due for a request that shows whether it has recovered.
    pub(crate) wants_health_check: bool,
    /// When the latest attempt was sent that it served.
    pub(crate) last_served_at: Duration,
}

impl EndpointSnapshot {
    /// The key by which pods are ordered: no two are equal.
    pub(crate) fn rank_key(&self) -> (u64, PodId) {
        (self.rank, self.endpoint.pod)
    }

    fn usable_in_flight(&self) -> usize {
        if self.usable {
            self.in_flight
        } else {
            0
        }
    }

    /// Whether the summary of all snapshots is the same with either of them.
    fn summarizes_like(&self, other: &Self) -> bool {
        (self.ready, self.usable, self.rank) == (other.ready, other.usable, other.rank)
            && self.endpoint.build == other.endpoint.build
    }
}

/// The latest snapshot of each pod, in the order of pods.
#[derive(Default)]
pub(crate) struct EndpointTable {
    snapshots: Vec<EndpointSnapshot>,
    /// Attempts in flight at all usable pods.
    in_flight: usize,
    /// Whether the summary is out of date.
    changed: bool,
}

impl EndpointTable {
    fn position(&self, pod: PodId) -> Result<usize, usize> {
        self.snapshots
            .binary_search_by_key(&pod, |snapshot| snapshot.endpoint.pod)
    }

    pub(crate) fn get(&self, pod: PodId) -> Option<&EndpointSnapshot> {
        self.position(pod)
            .ok()
            .map(|position| &self.snapshots[position])
    }

    pub(crate) fn put(&mut self, snapshot: EndpointSnapshot) {
        self.in_flight += snapshot.usable_in_flight();
        match self.position(snapshot.endpoint.pod) {
            Ok(position) => {
                let old = &mut self.snapshots[position];
                self.in_flight -= old.usable_in_flight();
                self.changed |= !old.summarizes_like(&snapshot);
                *old = snapshot;
            }
            Err(position) => {
                self.changed = true;
                self.snapshots.insert(position, snapshot);
            }
        }
    }

    pub(crate) fn remove(&mut self, pod: PodId) {
        if let Ok(position) = self.position(pod) {
            let snapshot = self.snapshots.remove(position);
            self.in_flight -= snapshot.usable_in_flight();
            self.changed = true;
        }
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, EndpointSnapshot> {
        self.snapshots.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.snapshots.len()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }
}

/// What is derived from all snapshots together; valid until one of them changes.
#[derive(Default)]
pub(crate) struct FleetSummary {
    /// The lowest and the highest build that is ready.
    pub(crate) build_range: Option<(BuildId, BuildId)>,
    /// The build on trial when the ranks were sorted.
    pub(crate) trial_build: Option<BuildId>,
    /// The usable pods of the base, and of the trial, lowest rank first.
    pub(crate) ranks: [Vec<(u64, PodId)>; 2],
}

impl FleetSummary {
    /// Computes the summary anew if a pod came, left, was ejected or recovered.
    pub(crate) fn refresh(&mut self, table: &mut EndpointTable) {
        if !table.take_changed() {
            return;
        }
        self.build_range = table
            .iter()
            .filter(|snapshot| snapshot.ready)
            .map(|snapshot| snapshot.endpoint.build)
            .fold(None, |range, build| {
                let (lowest, highest) = range.unwrap_or((build, build));
                Some((build.min(lowest), build.max(highest)))
            });
        self.sort_ranks(table, self.trial_build);
    }

    /// Sorts the ranks of the pods on either side of the split.
    pub(crate) fn sort_ranks(&mut self, table: &EndpointTable, trial: Option<BuildId>) {
        self.trial_build = trial;
        for (side, ranks) in self.ranks.iter_mut().enumerate() {
            let on_this_side = |snapshot: &&EndpointSnapshot| {
                let on_trial = trial == Some(snapshot.endpoint.build);
                snapshot.usable && usize::from(on_trial) == side
            };
            ranks.clear();
            ranks.extend(
                table
                    .iter()
                    .filter(on_this_side)
                    .map(EndpointSnapshot::rank_key),
            );
            ranks.sort_unstable();
        }
    }
}
