//! A short soak: what the module holds does not grow from day to day. Time is measured by the long one only.

use limewing_soak::{Soak, Terms};
use rstest::rstest;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::Mutex;
use std::time::Duration;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The heap is one for all tests: they take turns.
static TURN: Mutex<()> = Mutex::new(());

fn held() -> usize {
    let stats = HEAP.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

#[rstest]
#[case::keys_stay(true, 65_500)]
#[case::keys_go_anywhere(false, 1)]
fn the_last_day_holds_no_more_than_the_third(#[case] keys_stay: bool, #[case] build: u16) {
    let _turn = TURN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let (hits_per_s, hits_per_day, idle_step) = (200.0, 9_000, Duration::from_secs(60));
    let terms = Terms {
        pods: 14,
        hits_per_s,
        hits_per_day,
        build,
        keys_stay,
        seed: 7,
        idle_step,
    };
    let before = held();
    let mut soak = Soak::new(terms);
    let days: Vec<(usize, u64)> = (0..6)
        .map(|_| {
            let day = soak.play_day(|| Duration::ZERO);
            (held() - before, day.delivered)
        })
        .collect();
    assert!(days[5].0 as f64 <= 1.1 * days[2].0 as f64, "{days:?}");
    assert!(
        days.iter().all(|(_, delivered)| *delivered > 8_700),
        "{days:?}"
    );
}
