//! Selects the members that perform a task which only few should perform at a time, such as health
//! checks of an ejected pod. A hash orders the members for each topic. A few of them are selected
//! for one interval, then the next few. No messages are needed, and a dead member's turn passes by
//! itself.
//!
//! Bound: members count intervals from when they learned of the topic. If these times differ by at
//! most d and the members' views fall into c disjoint parts, at most `CONCURRENT_PROBERS` x (2 + d
//! / `ROTATION_INTERVAL`) x c members are selected at a time, because intervals whose starts differ
//! by at most d overlap at most 2 + d / `ROTATION_INTERVAL` turns.

use crate::stable_hash::rank;
use std::time::Duration;

/// Number of members that health check one ejected pod at a time. A single one might be cut off
/// from it.
pub const CONCURRENT_PROBERS: usize = 2;
/// How long a member stays selected.
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whether `own`, one of the members, may health check the pod that was ejected `elapsed`
/// ago.
pub fn is_prober(
    pod: u64,
    own: u64,
    members: impl Iterator<Item = u64>,
    elapsed: Duration,
) -> bool {
    is_selected(CONCURRENT_PROBERS, pod, own, members, elapsed)
}

/// Returns whether `own` is among the `count` members selected for a topic that began `elapsed`
/// ago.
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

/// Returns the number of whole rotation intervals in `elapsed`.
pub(crate) fn rotation_index(elapsed: Duration) -> u128 {
    elapsed.as_nanos() / ROTATION_INTERVAL.as_nanos()
}
