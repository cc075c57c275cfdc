//! Tests the estimate of the idle time after which connections are dropped.

use super::{IdleTimeoutEstimator, ESTIMATE_TTL};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nine in ten connections survive up to the drop time, regardless of their idle time; beyond it,
/// none survives.
#[rstest]
#[case::soon(130)]
#[case::late(2000)]
fn estimates_the_idle_time_after_which_connections_are_dropped(#[case] dropped_after: u64) {
    let mut estimator = IdleTimeoutEstimator::default();
    for round in 0..400 {
        let idle = [3, 9, 20, 60, 100, 150, 400, 900, 2500, 4000][round % 10];
        let survived = idle < dropped_after && round / 10 % 10 != 0;
        estimator.record(ms(idle), survived, NOW);
    }
    assert!(estimator.is_reusable(ms(dropped_after / 3)));
    assert!(!estimator.is_reusable(ms(dropped_after + dropped_after / 5)));
    assert!(estimator.idle_timeout(ms(15_000)) <= ms(dropped_after));
}

#[test]
fn random_breaks_do_not_shorten_the_timeout() {
    let mut estimator = IdleTimeoutEstimator::default();
    for round in 0..400 {
        estimator.record(ms(10 + 10 * round), round % 5 != 0, NOW);
    }
    assert!(estimator.is_reusable(ms(10_000)));
}

#[test]
fn estimate_expires() {
    let mut estimator = IdleTimeoutEstimator::default();
    for _ in 0..6 {
        estimator.record(ms(500), false, NOW);
    }
    assert!(!estimator.is_reusable(ms(500)));
    estimator.record(ms(5), true, NOW + ESTIMATE_TTL * 2);
    assert!(estimator.is_reusable(ms(500)));
}
