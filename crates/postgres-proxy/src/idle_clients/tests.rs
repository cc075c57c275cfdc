//! Tests which idle clients are disconnected.

use super::{exceeds_idle_timeout, select_for_eviction, IdleClient};
use rstest::rstest;
use std::time::Duration;

#[test]
fn clients_that_were_never_served_are_evicted_first() {
    let now = Duration::from_secs(10);
    let idle = |served, ms| IdleClient {
        was_served: served,
        since: now - Duration::from_millis(ms),
    };
    let all = [
        (true, 9000),
        (false, 300),
        (false, 100),
        (true, 400),
        (false, 2000),
    ];
    let all: Vec<(IdleClient, usize)> = all
        .into_iter()
        .map(|(s, ms)| idle(s, ms))
        .zip(0..)
        .collect();
    // One in eight candidates is evicted, rounded up, so nine or more give two. The client that has
    // been idle for only 100 ms is not a candidate.
    assert_eq!(select_for_eviction(all.clone(), now), [4]);
    let more = all.iter().chain(&all).chain(&all).copied().collect();
    assert_eq!(select_for_eviction(more, now), [4, 4]);
}

#[rstest]
#[case::few_clients(40, true, 9, false)]
#[case::idle_beyond_timeout(60, true, 9, true)]
#[case::idle_briefly(60, true, 1, false)]
#[case::never_served(60, false, 9, false)]
fn idle_timeout_applies_to_served_clients_if_many_are_connected(
    #[case] clients: usize,
    #[case] served: bool,
    #[case] idle_s: u64,
    #[case] expected: bool,
) {
    let idle = IdleClient {
        was_served: served,
        since: Duration::from_secs(100 - idle_s),
    };
    assert_eq!(
        exceeds_idle_timeout(&idle, clients, 100, Duration::from_secs(100)),
        expected
    );
}
