//! Whether one more machine may be out now.

use crate::words::{DisruptionLimits, Machine};
use serde::{Deserialize, Serialize};

/// What whoever leads sees of the fleet: strength by machine that is ready and warm, and what speaks against work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// The place in the log up to which whoever saw this had read: machines granted later count as gone beside it.
    pub applied_index: u64,
    /// Strength of all machines that there are, and of those that are ready, warm and not granted.
    pub total_capacity: f64,
    pub ready_capacity: f64,
    /// A zone is gone.
    pub zone_outage: bool,
    /// A build is on trial, or going back.
    pub release_on_trial: bool,
    /// The part of their hits that sidecars turn away, in the mean over those that hold leases.
    pub rejection_rate: f64,
}

impl FleetSummary {
    pub(crate) fn is_valid(&self) -> bool {
        let strengths = [self.total_capacity, self.ready_capacity]
            .iter()
            .all(|strength| (0.0..=1e12).contains(strength));
        strengths && (0.0..=1.0).contains(&self.rejection_rate)
    }
}

/// Why a machine may not go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockedReason {
    #[error("the list is held, withdrawn or not whole")]
    ListNotActive,
    #[error("not all sidecars know the list yet")]
    ListNotKnown,
    #[error("it is not in one of the list's windows")]
    OutsideWindows,
    #[error("trouble in the fleet")]
    ZoneOutage,
    #[error("a release is on trial")]
    ReleaseOnTrial,
    #[error("sidecars turn away more hits than the list bears")]
    Overload,
    #[error("so many are out as may be")]
    MaxUnavailable,
    #[error("so many of its zone are out as may be")]
    MaxUnavailablePerZone,
    #[error("so many of its kind are out as may be")]
    MaxUnavailablePerKind,
    #[error("one that it may not be out with is out")]
    ExclusivePair,
    #[error("too little strength would stay ready")]
    InsufficientCapacity,
    #[error("what the fleet looks like was not told yet")]
    NoObservation,
}

/// By the limits of one list: `out` are all machines that are granted, out or not warm again, whatever their list.
/// `since` is strength that was granted after what was seen was seen.
pub(crate) fn check_limits(
    limits: &DisruptionLimits,
    machine: &Machine,
    out: &[&Machine],
    seen: &FleetSummary,
    since: f64,
) -> Result<(), BlockedReason> {
    let many = |of: &dyn Fn(&Machine) -> bool| out.iter().filter(|other| of(other)).count();
    let apart = |(one, other): &(String, String)| {
        let pair =
            |a: &String, b: &String| *a == machine.name && out.iter().any(|out| out.name == *b);
        pair(one, other) || pair(other, one)
    };
    if many(&|_| true) >= usize::from(limits.max_unavailable) {
        return Err(BlockedReason::MaxUnavailable);
    }
    if limits.max_unavailable_per_zone > 0
        && many(&|other| other.zone == machine.zone) >= usize::from(limits.max_unavailable_per_zone)
    {
        return Err(BlockedReason::MaxUnavailablePerZone);
    }
    if limits.max_unavailable_per_kind > 0
        && many(&|other| other.kind == machine.kind) >= usize::from(limits.max_unavailable_per_kind)
    {
        return Err(BlockedReason::MaxUnavailablePerKind);
    }
    if limits.exclusive_pairs.iter().any(apart) {
        return Err(BlockedReason::ExclusivePair);
    }
    let left = seen.ready_capacity - since - machine.capacity;
    if left < limits.min_ready_fraction * seen.total_capacity {
        return Err(BlockedReason::InsufficientCapacity);
    }
    Ok(())
}
