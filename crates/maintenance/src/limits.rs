//! Whether one more machine may be unavailable now.

use crate::command::{DisruptionLimits, Machine};
use crate::fleet_summary::FleetSummary;

/// Why a machine may not be taken out now. The texts are shown on the proxies' work page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockedReason {
    /// The list is paused, withdrawn or not complete.
    #[error("the list is held, withdrawn or not whole")]
    ListNotActive,
    /// Not all sidecars know the list yet.
    #[error("not all sidecars know the list yet")]
    ListNotKnown,
    /// The work would not fit into a window of the list.
    #[error("it is not in one of the list's windows")]
    OutsideWindows,
    /// A zone is out of service.
    #[error("trouble in the fleet")]
    ZoneOutage,
    /// A release is on trial, and the list does not go on beside one.
    #[error("a release is on trial")]
    ReleaseOnTrial,
    /// Sidecars reject too large a part of their requests.
    #[error("sidecars turn away more hits than the list bears")]
    Overload,
    /// As many machines are unavailable as may be.
    #[error("so many are out as may be")]
    MaxUnavailable,
    /// As many machines of its zone are unavailable as may be.
    #[error("so many of its zone are out as may be")]
    MaxUnavailablePerZone,
    /// As many machines of its kind are unavailable as may be.
    #[error("so many of its kind are out as may be")]
    MaxUnavailablePerKind,
    /// A machine is unavailable that it forms an exclusive pair with.
    #[error("one that it may not be out with is out")]
    ExclusivePair,
    /// Too little capacity would stay ready.
    #[error("too little strength would stay ready")]
    InsufficientCapacity,
    /// No view of the fleet has been committed.
    #[error("what the fleet looks like was not told yet")]
    NoObservation,
}

/// Checks a machine against the limits of one list.
///
/// `unavailable` are all machines that are granted, in maintenance or not warm again, whatever their list. `granted_since` is
/// the capacity of the machines that were granted after `summary` was observed.
pub(crate) fn check_limits(
    limits: &DisruptionLimits,
    machine: &Machine,
    unavailable: &[&Machine],
    summary: &FleetSummary,
    granted_since: f64,
) -> Result<(), BlockedReason> {
    if unavailable.len() >= usize::from(limits.max_unavailable) {
        return Err(BlockedReason::MaxUnavailable);
    }
    let in_zone = unavailable
        .iter()
        .filter(|other| other.zone == machine.zone);
    if reaches(in_zone.count(), limits.max_unavailable_per_zone) {
        return Err(BlockedReason::MaxUnavailablePerZone);
    }
    let of_kind = unavailable
        .iter()
        .filter(|other| other.kind == machine.kind);
    if reaches(of_kind.count(), limits.max_unavailable_per_kind) {
        return Err(BlockedReason::MaxUnavailablePerKind);
    }
    let is_unavailable = |name: &String| unavailable.iter().any(|other| other.name == *name);
    let is_excluded = |(one, other): &(String, String)| {
        (*one == machine.name && is_unavailable(other))
            || (*other == machine.name && is_unavailable(one))
    };
    if limits.exclusive_pairs.iter().any(is_excluded) {
        return Err(BlockedReason::ExclusivePair);
    }
    let remaining = summary.ready_capacity - granted_since - machine.capacity;
    if remaining < limits.min_ready_fraction * summary.total_capacity {
        return Err(BlockedReason::InsufficientCapacity);
    }
    Ok(())
}

/// Whether a count reaches a limit; 0 is no limit.
fn reaches(count: usize, limit: u16) -> bool {
    limit > 0 && count >= usize::from(limit)
}
