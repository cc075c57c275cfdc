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
    let mut lapses = Lapses::default();
    for turn in 0..400 {
        let idle = [3, 9, 20, 60, 100, 150, 400, 900, 2500, 4000][turn % 10];
        lapses.note(ms(idle), idle < forgotten_after && turn / 10 % 10 != 0, NOW);
    }
    assert!(lapses.bears(ms(forgotten_after / 3)));
    assert!(!lapses.bears(ms(forgotten_after + forgotten_after / 5)));
    assert!(lapses.keeps(ms(15_000)) <= ms(forgotten_after));
}

#[test]
fn breaks_by_chance_shorten_nothing() {
    let mut lapses = Lapses::default();
    (0..400).for_each(|turn| lapses.note(ms(10 + 10 * turn), turn % 5 != 0, NOW));
    assert!(lapses.bears(ms(10_000)));
}

#[test]
fn what_was_learned_is_tried_again_later() {
    let mut lapses = Lapses::default();
    (0..6).for_each(|_| lapses.note(ms(500), false, NOW));
    assert!(!lapses.bears(ms(500)));
    lapses.note(ms(5), true, NOW + BELIEVED_FOR * 2);
    assert!(lapses.bears(ms(500)));
}
