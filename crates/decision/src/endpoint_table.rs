//! The load balancer's view of the pods: a snapshot of each pod and values derived from all
//! snapshots.

use crate::interface::{BuildId, Endpoint, PodId};
use crate::statistics::RunningMean;
use std::time::Duration;

/// The latest state of a pod published by its outlier detector.
#[derive(Clone)]
pub(crate) struct EndpointSnapshot {
    pub(crate) endpoint: Endpoint,
    /// The pod's rank in this sidecar's own order.
    pub(crate) rank: u64,
    pub(crate) ready: bool,
    /// The number of this sidecar's attempts in flight at the pod.
    pub(crate) in_flight: usize,
    /// The latency of recent responses divided by the latency objective.
    pub(crate) latency_ratio: RunningMean,
    /// Whether the pod is ready and not ejected.
    pub(crate) usable: bool,
    /// Whether the pod is ejected and due for a request that checks whether it has recovered.
    pub(crate) wants_health_check: bool,
    /// When the latest attempt that the pod served was sent.
    pub(crate) last_served_at: Duration,
}

impl EndpointSnapshot {
    /// Returns the sort key of the pod, which is unique.
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

    /// Returns whether replacing one snapshot by the other leaves the fleet summary unchanged.
    fn has_same_summary(&self, other: &Self) -> bool {
        (self.ready, self.usable, self.rank) == (other.ready, other.usable, other.rank)
            && self.endpoint.build == other.endpoint.build
    }
}

/// The latest snapshot of each pod, ordered by pod id.
#[derive(Default)]
pub(crate) struct EndpointTable {
    snapshots: Vec<EndpointSnapshot>,
    /// The number of attempts in flight at all usable pods.
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
                self.changed |= !old.has_same_summary(&snapshot);
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

/// Values derived from all snapshots, valid until one of them changes.
#[derive(Default)]
pub(crate) struct FleetSummary {
    /// The lowest and the highest build among ready pods.
    pub(crate) build_range: Option<(BuildId, BuildId)>,
    /// The build on trial when the ranks were last sorted.
    pub(crate) trial_build: Option<BuildId>,
    /// The usable pods of the baseline and of the trial, lowest rank first.
    pub(crate) ranks: [Vec<(u64, PodId)>; 2],
}

impl FleetSummary {
    /// Recomputes the summary if a pod was added, removed, ejected or has recovered.
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

    /// Sorts the pods of the baseline and of the trial by rank.
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
