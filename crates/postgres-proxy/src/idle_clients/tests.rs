//! Which idle clients are disconnected.

use super::{is_idle_for_long, select_for_eviction, IdleClient};
use rstest::rstest;
use std::time::Duration;

#[test]
fn clients_without_a_request_so_far_are_evicted_first() {
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
    // Of nine that may go two do; one that has just come may not.
    assert_eq!(select_for_eviction(all.clone(), now), [4]);
    let more = all.iter().chain(&all).chain(&all).copied().collect();
    assert_eq!(select_for_eviction(more, now), [4, 4]);
}

#[rstest]
#[case::few_clients(40, true, 9, false)]
#[case::idle_for_long(60, true, 9, true)]
#[case::idle_for_a_moment(60, true, 1, false)]
#[case::never_served(60, false, 9, false)]
fn only_served_clients_are_idle_for_long_and_only_when_many_are_connected(
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
        is_idle_for_long(&idle, clients, 100, Duration::from_secs(100)),
        expected
    );
}
