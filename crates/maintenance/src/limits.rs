//! Checks whether one more machine may become unavailable.

use crate::command::{DisruptionLimits, Machine};
use crate::fleet_summary::FleetSummary;

/// The reason why a machine may not be taken out of service now. The texts are shown on the
/// proxies' maintenance page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockedReason {
    /// The list is paused, withdrawn or not complete.
    #[error("the list is held, withdrawn or not whole")]
    ListNotActive,
    /// Some sidecars do not know the list yet.
    #[error("some sidecars do not know the list yet")]
    ListNotKnown,
    /// The work would not fit into a window of the list.
    #[error("the work does not fit into a window of the list now")]
    OutsideWindows,
    /// A zone is out of service.
    #[error("a zone of the fleet is out of service")]
    ZoneOutage,
    /// A release is on trial, and the list does not allow maintenance during trials.
    #[error("a release is on trial")]
    ReleaseOnTrial,
    /// Sidecars reject a larger fraction of their requests than the list allows.
    #[error("sidecars reject more requests than the list allows")]
    Overload,
    /// The maximum number of machines is unavailable.
    #[error("the maximum number of machines is unavailable")]
    MaxUnavailable,
    /// The maximum number of machines in the zone is unavailable.
    #[error("the maximum number of machines in its zone is unavailable")]
    MaxUnavailablePerZone,
    /// The maximum number of machines of the kind is unavailable.
    #[error("the maximum number of machines of its kind is unavailable")]
    MaxUnavailablePerKind,
    /// The other machine of an exclusive pair is unavailable.
    #[error("the other machine of an exclusive pair is unavailable")]
    ExclusivePair,
    /// Too little capacity would stay ready.
    #[error("too little capacity would stay ready")]
    InsufficientCapacity,
    /// No summary of the fleet has been committed.
    #[error("no summary of the fleet has been committed yet")]
    NoObservation,
}

/// Checks a machine against the limits of one list.
///
/// `unavailable` contains all machines that are granted, in maintenance or not warm again, on any
/// list. `granted_capacity` is the capacity of the machines that were granted after `summary` was
/// observed.
pub(crate) fn check_limits(
    limits: &DisruptionLimits,
    machine: &Machine,
    unavailable: &[&Machine],
    summary: &FleetSummary,
    granted_capacity: f64,
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
    let remaining = summary.ready_capacity - granted_capacity - machine.capacity;
    if remaining < limits.min_ready_fraction * summary.total_capacity {
        return Err(BlockedReason::InsufficientCapacity);
    }
    Ok(())
}

/// Returns whether a count has reached a limit; 0 means no limit.
fn reaches(count: usize, limit: u16) -> bool {
    limit > 0 && count >= usize::from(limit)
}
