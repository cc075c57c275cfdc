//! Decides which outlier hints of other members count: only those that several members from several
//! zones give, about few pods, and only for a short time. Several zones are required because the
//! members of one zone may be cut off from a pod that is healthy for the others.

use crate::load_report::OutlierHint;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of members that have to give a hint about a pod. In a small fleet all other members have
/// to, but a single one is never enough.
const REQUIRED_MEMBERS: usize = 3;
const MIN_REQUIRED_MEMBERS: usize = 2;
/// Number of zones that these members have to span; fewer if the fleet has fewer.
const REQUIRED_ZONES: usize = 2;
/// How long a hint counts after it was received.
pub(crate) const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum fraction of the pods that one member may give hints about; a member with more is assumed
/// to be cut off itself. If the outliers together exceed this fraction, no pod is an outlier,
/// because the fault then affects the whole fleet.
const MAX_OUTLIER_FRACTION: f64 = 0.25;
/// Minimum number of pods that the fraction stands for.
const MIN_OUTLIER_LIMIT: usize = 2;

/// Report of another member.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Key of the member.
    pub member: u64,
    /// Zone of the member.
    pub zone: u16,
    /// When the report was received.
    pub received_at: Duration,
    /// The member's hints by the pods' keys.
    pub hints: Vec<(u64, OutlierHint)>,
    /// Services that the member has lost, as bits of [`crate::Service::bit`].
    pub lost_services: u8,
}

impl PeerReport {
    /// Returns whether the report is recent enough to count.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        now < self.received_at + HINT_LIFETIME
    }

    fn suspected_count(&self) -> usize {
        let suspected = |hint: &&(u64, OutlierHint)| is_suspicion(hint.1);
        self.hints.iter().filter(suspected).count()
    }
}

fn is_suspicion(hint: OutlierHint) -> bool {
    hint != OutlierHint::Recovered
}

/// Hints of all members about one pod.
#[derive(Default)]
struct HintCounts {
    members: usize,
    zones: BTreeSet<u16>,
    ejected: usize,
    recovered: bool,
}

impl HintCounts {
    fn add(&mut self, zone: u16, hint: OutlierHint) {
        if !is_suspicion(hint) {
            self.recovered = true;
            return;
        }
        self.members += 1;
        self.zones.insert(zone);
        if hint == OutlierHint::Ejected {
            self.ejected += 1;
        }
    }

    /// Returns `Ejected` if at least half of the members report that, otherwise `Slow`.
    fn outlier_hint(&self) -> OutlierHint {
        if self.ejected * 2 >= self.members {
            OutlierHint::Ejected
        } else {
            OutlierHint::Slow
        }
    }
}

/// Returns the outliers among the pods, each as ejected or slow, according to the other members'
/// reports.
pub fn find_outliers(
    reports: &[PeerReport],
    pods: &[u64],
    now: Duration,
) -> BTreeMap<u64, OutlierHint> {
    let limit = ((pods.len() as f64 * MAX_OUTLIER_FRACTION) as usize).max(MIN_OUTLIER_LIMIT);
    let required_members = REQUIRED_MEMBERS
        .min(reports.len())
        .max(MIN_REQUIRED_MEMBERS);
    let zones: BTreeSet<u16> = reports.iter().map(|report| report.zone).collect();
    let required_zones = zones.len().min(REQUIRED_ZONES);
    let known: BTreeSet<u64> = pods.iter().copied().collect();
    let is_outlier = |pod: &u64, counts: &HintCounts| {
        known.contains(pod)
            && !counts.recovered
            && counts.members >= required_members
            && counts.zones.len() >= required_zones
    };
    let outliers: BTreeMap<u64, OutlierHint> = count_hints(reports, limit, now)
        .into_iter()
        .filter(|(pod, counts)| is_outlier(pod, counts))
        .map(|(pod, counts)| (pod, counts.outlier_hint()))
        .collect();
    if outliers.len() > limit {
        BTreeMap::new()
    } else {
        outliers
    }
}

/// Counts the hints of recent reports that suspect at most `limit` pods.
fn count_hints(reports: &[PeerReport], limit: usize, now: Duration) -> BTreeMap<u64, HintCounts> {
    let mut counts_by_pod: BTreeMap<u64, HintCounts> = BTreeMap::new();
    for report in reports {
        if !report.is_fresh(now) || report.suspected_count() > limit {
            continue;
        }
        // A member counts once for each pod, however often its report lists it.
        let hints: BTreeMap<u64, OutlierHint> = report.hints.iter().copied().collect();
        for (pod, hint) in hints {
            counts_by_pod.entry(pod).or_default().add(report.zone, hint);
        }
    }
    counts_by_pod
}
