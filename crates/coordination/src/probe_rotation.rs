//! Which members do something now that few should do at a time, such as health checks of an ejected pod. For each topic the
//! members stand in an order by hash; a few are selected, for one interval, then the next few. No messages are needed: the
//! turn of a member that died passes by itself.
//!
//! Bound: members count the intervals from when they learned of the topic. If those moments differ by d at most and the
//! members' views are c disjoint parts, at most `CONCURRENT_PROBERS` x (2 + d / `ROTATION_INTERVAL`) x c are selected at one
//! time, since intervals that began up to d apart overlap 2 + d / `ROTATION_INTERVAL` turns at most.

use crate::stable_hash::rank;
use std::time::Duration;

/// Members that health check one ejected pod at a time: one alone may be cut off from it.
pub const CONCURRENT_PROBERS: usize = 2;
/// How long a member stays selected.
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Whether `own`, one of the members, may health check the pod that was ejected `elapsed` ago.
pub fn is_prober(
    pod: u64,
    own: u64,
    members: impl Iterator<Item = u64>,
    elapsed: Duration,
) -> bool {
    is_selected(CONCURRENT_PROBERS, pod, own, members, elapsed)
}

/// Whether `own` is among the `count` members that are selected for a topic which began `elapsed` ago.
pub fn is_selected(
    count: usize,
    topic: u64,
    own: u64,
    members: impl Iterator<Item = u64>,
    elapsed: Duration,
) -> bool {
    let position = |member: u64| (rank(member, topic), member);
    let mut total = 0;
    let mut before_own = 0;
    for member in members {
        total += 1;
        before_own += usize::from(position(member) < position(own));
    }
    let total = total.max(1);
    let first = (rotation_index(elapsed) as usize % total) * count % total;
    (before_own + total - first) % total < count
}

/// Whole rotation intervals in that time.
pub(crate) fn rotation_index(elapsed: Duration) -> u128 {
    elapsed.as_nanos() / ROTATION_INTERVAL.as_nanos()
}
