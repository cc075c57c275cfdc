//! The timer wheel against the plainest thing that could be right: a sorted list.

use limewing_net::timer_wheel::TimerWheel;
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A row of numbers that looks like chance.
fn drawn(state: &mut u64) -> u64 {
    *state = state
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    *state >> 33
}

#[rstest]
#[case::within_a_second(1_000)]
#[case::within_minutes(300_000)]
#[case::beyond_the_far_edge(100_000_000)]
fn timers_fire_in_order_none_early_none_lost(#[case] reach: u64) {
    let (mut wheel, mut state) = (TimerWheel::default(), 7);
    let mut left: Vec<(u64, u64)> = Vec::new();
    let mut now = 0;
    for n in 0..3_000 {
        let at = now + drawn(&mut state) % reach;
        let key = wheel.schedule(ms(at), n);
        if drawn(&mut state).is_multiple_of(3) {
            assert_eq!(wheel.cancel(key), Some(n));
            assert_eq!(wheel.cancel(key), None);
        } else {
            left.push((at, n));
        }
        if drawn(&mut state).is_multiple_of(10) {
            now += drawn(&mut state) % (reach / 500);
            let mut fired = Vec::new();
            while let Some(n) = wheel.pop_expired(ms(now)) {
                fired.push(n);
            }
            let mut due: Vec<u64> = left
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, n)| *n)
                .collect();
            left.retain(|(at, _)| *at > now);
            fired.sort_unstable();
            due.sort_unstable();
            assert_eq!(fired, due, "at {now}");
        }
        let soonest = left.iter().map(|(at, _)| *at).min();
        assert!(wheel
            .next_deadline()
            .is_none_or(|next| soonest.is_some_and(|at| next <= ms(at.max(now + 1)))));
    }
    assert_eq!(wheel.len(), left.len());
}

#[test]
fn a_clock_that_jumps_fires_all_that_fell_due() {
    let mut wheel = TimerWheel::default();
    for n in 0..1_000 {
        wheel.schedule(ms(n), n);
    }
    wheel.schedule(ms(10_000_000), 9_999);
    let fired = std::iter::from_fn(|| wheel.pop_expired(ms(5_000_000))).count();
    assert_eq!((fired, wheel.len()), (1_000, 1));
}

#[test]
fn a_clock_far_from_zero_costs_no_ticks() {
    let mut wheel = TimerWheel::default();
    let year = Duration::from_secs(365 * 86_400);
    wheel.schedule(year + ms(5), 1);
    assert_eq!(wheel.pop_expired(year), None);
    wheel.schedule(year + ms(2), 2);
    let began = std::time::Instant::now();
    assert_eq!(
        (
            wheel.pop_expired(year + ms(2)),
            wheel.pop_expired(year + ms(9))
        ),
        (Some(2), Some(1))
    );
    assert!(began.elapsed() < Duration::from_millis(50));
}
