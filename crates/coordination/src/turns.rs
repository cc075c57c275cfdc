//! Whose turn it is. The members stand in an order by hash of the topic; so many at a time have the turn, for one span of
//! time, then the next. Nobody says anything: a turn whose holder died passes by itself.
//!
//! Bound: members count the spans from when they heard of the topic. If that differs by at most d, and their views are
//! c disjoint parts, at most PROVERS x (2 + d / TURN) x c hold a turn at one time, and never more than all members: what
//! each does without peers. (Spans that began up to d apart overlap 2 + d / TURN turns at most.)

use crate::rank;
use std::time::Duration;

/// Members that have a turn at one time, and for how long.
pub const CONCURRENT_PROBERS: usize = 2;
pub const ROTATION_INTERVAL: Duration = Duration::from_secs(1);

/// Whether `own`, one of the members, has the turn of a topic that began so long ago.
pub fn is_prober(topic: u64, own: u64, members: impl Iterator<Item = u64>, ago: Duration) -> bool {
    is_selected(CONCURRENT_PROBERS, topic, own, members, ago)
}

/// The same with another number of members that have a turn at one time.
pub fn is_selected(
    many: usize,
    topic: u64,
    own: u64,
    members: impl Iterator<Item = u64>,
    ago: Duration,
) -> bool {
    let place = |member: u64| (rank(member, topic), member);
    let (mut before, mut all) = (0, 0);
    for member in members {
        all += 1;
        before += usize::from(place(member) < place(own));
    }
    let all = all.max(1);
    let nth = (ago.as_nanos() / ROTATION_INTERVAL.as_nanos()) as usize;
    let first = (nth % all) * many % all;
    (before + all - first) % all < many
}
