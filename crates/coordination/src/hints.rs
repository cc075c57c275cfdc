//! What of others' hints counts: only what several members of several zones say, of few pods, and not for long.

use crate::says::OutlierHint;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members that must say it; fewer do where there are not so many others, but never one alone.
const SAYERS: usize = 3;
/// A hint counts for so long after it was heard.
pub const LIFE: Duration = Duration::from_secs(10);
/// The part of the pods that one may hint at before it is held to be cut off itself, and that may be doubted in all.
const PART: f64 = 0.25;
const FEW: usize = 2;

/// What one of the others says.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    pub member: u64,
    pub zone: u16,
    /// When it was heard.
    pub received_at: Duration,
    pub hints: Vec<(u64, OutlierHint)>,
    /// Services it holds lost.
    pub lost_services: u8,
}

/// Pods that are doubted, and as what.
///
/// Guards against each of hundreds learning by hits of its own that a pod is gone. Hurts when a zone's members are cut off
/// from a pod that is sound for others, hence several zones; a member that hints at many pods is not believed at all,
/// and if many pods would be doubted none is: that is the fleet's trouble, not theirs.
pub fn find_outliers(
    said: &[PeerReport],
    pods: &[u64],
    now: Duration,
) -> BTreeMap<u64, OutlierHint> {
    let most = ((pods.len() as f64 * PART) as usize).max(FEW);
    let (sayers, zones) = (
        SAYERS.min(said.len()).max(2),
        said.iter().map(|s| s.zone).collect::<BTreeSet<_>>(),
    );
    let zones = zones.len().min(2);
    let bad = |hint: &OutlierHint| *hint != OutlierHint::Recovered;
    let credible = |s: &&PeerReport| {
        now < s.received_at + LIFE && s.hints.iter().filter(|(_, h)| bad(h)).count() <= most
    };
    let mut by: BTreeMap<u64, (usize, BTreeSet<u16>, bool, usize)> = BTreeMap::new();
    for one in said.iter().filter(credible) {
        // Once a pod, whatever it says.
        let once: BTreeMap<u64, OutlierHint> = one.hints.iter().copied().collect();
        for (pod, hint) in once {
            let (count, from, open, shut) = by.entry(pod).or_default();
            *open |= hint == OutlierHint::Recovered;
            if bad(&hint) {
                *count += 1;
                *shut += usize::from(hint == OutlierHint::Ejected);
                from.insert(one.zone);
            }
        }
    }
    let known: BTreeSet<u64> = pods.iter().copied().collect();
    let enough = |(pod, (count, from, open, shut)): (u64, (usize, BTreeSet<u16>, bool, usize))| {
        let holds = known.contains(&pod) && !open && count >= sayers && from.len() >= zones;
        holds.then_some((
            pod,
            if shut * 2 >= count {
                OutlierHint::Ejected
            } else {
                OutlierHint::Slow
            },
        ))
    };
    let doubted: BTreeMap<u64, OutlierHint> = by.into_iter().filter_map(enough).collect();
    if doubted.len() > most {
        BTreeMap::new()
    } else {
        doubted
    }
}
