//! A short soak test: the memory of the decision engine does not grow from day to day. Only the long soak test measures time.

use limewing_soak::{Soak, SoakConfig};
use rstest::rstest;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Serializes the tests, because they share one heap.
static HEAP_IN_USE: Mutex<()> = Mutex::new(());

const DAYS: usize = 6;
/// Index of the day that the last one is compared with. The days before it are the warm-up.
const BASELINE_DAY: usize = 2;

#[derive(Debug)]
struct Day {
    allocated_bytes: usize,
    succeeded: u64,
}

fn allocated_bytes() -> usize {
    let stats = HEAP.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

#[rstest]
#[case::sticky_keys(true, 65_500)]
#[case::free_keys(false, 1)]
fn the_last_day_uses_no_more_memory_than_the_third(#[case] sticky_keys: bool, #[case] build: u16) {
    let _guard = HEAP_IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let config = SoakConfig {
        pods: 14,
        requests_per_second: 200.0,
        requests_per_day: 9_000,
        build,
        sticky_keys,
        seed: 7,
        idle_step: Duration::from_secs(60),
    };
    let before = allocated_bytes();
    let mut soak = Soak::new(config);
    let days: Vec<Day> = (0..DAYS)
        .map(|_| {
            let totals = soak.simulate_day(|| Duration::ZERO);
            Day {
                allocated_bytes: allocated_bytes() - before,
                succeeded: totals.succeeded,
            }
        })
        .collect();
    let baseline = days[BASELINE_DAY].allocated_bytes as f64;
    let last = days[DAYS - 1].allocated_bytes as f64;
    assert!(last <= 1.1 * baseline, "{days:?}");
    assert!(days.iter().all(|day| day.succeeded > 8_700), "{days:?}");
}
