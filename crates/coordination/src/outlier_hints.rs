//! Which outlier hints of other members count: only those that several members of several zones give, on few pods, and not
//! for long. Several zones, because the members of one may be cut off from a pod that is healthy for the others.

use crate::load_report::OutlierHint;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members that must hint at a pod; in a small fleet all others, but never one alone.
const REQUIRED_MEMBERS: usize = 3;
const MIN_REQUIRED_MEMBERS: usize = 2;
/// Zones these must be of; fewer if there are not so many.
const REQUIRED_ZONES: usize = 2;
/// A hint counts for so long after it was received.
pub(crate) const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// The part of the pods that one member may hint at: with more, it is taken to be cut off itself. If more than this part
/// would be outliers in all, none is: then the fault is the fleet's.
const MAX_OUTLIER_FRACTION: f64 = 0.25;
/// That part is so many pods at the least.
const MIN_OUTLIER_LIMIT: usize = 2;

/// What another member reports.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Key of the member.
    pub member: u64,
    /// Its zone.
    pub zone: u16,
    /// When the report was received.
    pub received_at: Duration,
    /// Its hints, by the pods' keys.
    pub hints: Vec<(u64, OutlierHint)>,
    /// Services that it has lost: the bits of [`crate::Service::bit`].
    pub lost_services: u8,
}

impl PeerReport {
    /// Whether it is recent enough to count.
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

/// The hints of all members at one pod.
#[derive(Default)]
struct Tally {
    members: usize,
    zones: BTreeSet<u16>,
    ejected: usize,
    recovered: bool,
}

impl Tally {
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

    /// Ejected, if half of the members report that.
    fn verdict(&self) -> OutlierHint {
        if self.ejected * 2 >= self.members {
            OutlierHint::Ejected
        } else {
            OutlierHint::Slow
        }
    }
}

/// The outliers among the pods, each as ejected or slow, by the reports of the other members.
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
    let is_outlier = |pod: &u64, tally: &Tally| {
        known.contains(pod)
            && !tally.recovered
            && tally.members >= required_members
            && tally.zones.len() >= required_zones
    };
    let outliers: BTreeMap<u64, OutlierHint> = count_hints(reports, limit, now)
        .into_iter()
        .filter(|(pod, tally)| is_outlier(pod, tally))
        .map(|(pod, tally)| (pod, tally.verdict()))
        .collect();
    if outliers.len() > limit {
        BTreeMap::new()
    } else {
        outliers
    }
}

/// Counts the hints of the fresh reports that suspect no more than `limit` pods.
fn count_hints(reports: &[PeerReport], limit: usize, now: Duration) -> BTreeMap<u64, Tally> {
    let mut tallies: BTreeMap<u64, Tally> = BTreeMap::new();
    for report in reports {
        if !report.is_fresh(now) || report.suspected_count() > limit {
            continue;
        }
        // A member counts once for each pod, however often it names it.
        let hints: BTreeMap<u64, OutlierHint> = report.hints.iter().copied().collect();
        for (pod, hint) in hints {
            tallies.entry(pod).or_default().add(report.zone, hint);
        }
    }
    tallies
}
