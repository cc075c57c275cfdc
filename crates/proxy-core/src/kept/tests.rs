//! What is learned about connections that were forgotten on their way.

use super::*;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nine in ten live whatever their age; beyond the time after which they are forgotten, none.
#[rstest]
#[case::soon(130)]
#[case::late(2000)]
fn the_time_after_which_connections_are_forgotten_is_learned(#[case] forgotten_after: u64) {
    let mut lapses = IdleTimeoutEstimator::default();
    for turn in 0..400 {
        let idle = [3, 9, 20, 60, 100, 150, 400, 900, 2500, 4000][turn % 10];
        lapses.record(ms(idle), idle < forgotten_after && turn / 10 % 10 != 0, NOW);
    }
    assert!(lapses.is_reusable(ms(forgotten_after / 3)));
    assert!(!lapses.is_reusable(ms(forgotten_after + forgotten_after / 5)));
    assert!(lapses.idle_timeout(ms(15_000)) <= ms(forgotten_after));
}

#[test]
fn breaks_by_chance_shorten_nothing() {
    let mut lapses = IdleTimeoutEstimator::default();
    (0..400).for_each(|turn| lapses.record(ms(10 + 10 * turn), turn % 5 != 0, NOW));
    assert!(lapses.is_reusable(ms(10_000)));
}

#[test]
fn what_was_learned_is_tried_again_later() {
    let mut lapses = IdleTimeoutEstimator::default();
    (0..6).for_each(|_| lapses.record(ms(500), false, NOW));
    assert!(!lapses.is_reusable(ms(500)));
    lapses.record(ms(5), true, NOW + ESTIMATE_TTL * 2);
    assert!(lapses.is_reusable(ms(500)));
}
