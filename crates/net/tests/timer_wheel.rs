//! Compares the timer wheel with a plain list of timers.

use limewing_net::timer_wheel::TimerWheel;
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The next number of a linear congruential generator.
fn next_random(state: &mut u64) -> u64 {
    *state = state
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    *state >> 33
}

#[rstest]
#[case::within_a_second(1_000)]
#[case::within_minutes(300_000)]
#[case::beyond_the_range_of_the_wheel(100_000_000)]
fn timers_fire_when_due_and_none_is_lost(#[case] max_delay: u64) {
    let mut wheel = TimerWheel::default();
    let mut state = 7;
    let mut scheduled: Vec<(u64, u64)> = Vec::new();
    let mut now = 0;
    for n in 0..3_000 {
        let at = now + next_random(&mut state) % max_delay;
        let key = wheel.schedule(ms(at), n);
        if next_random(&mut state).is_multiple_of(3) {
            assert_eq!(wheel.cancel(key), Some(n));
            assert_eq!(wheel.cancel(key), None);
        } else {
            scheduled.push((at, n));
        }
        if next_random(&mut state).is_multiple_of(10) {
            now += next_random(&mut state) % (max_delay / 500);
            let mut fired = Vec::new();
            while let Some(n) = wheel.pop_expired(ms(now)) {
                fired.push(n);
            }
            let mut due: Vec<u64> = scheduled
                .iter()
                .filter(|(at, _)| *at <= now)
                .map(|(_, n)| *n)
                .collect();
            scheduled.retain(|(at, _)| *at > now);
            fired.sort_unstable();
            due.sort_unstable();
            assert_eq!(fired, due, "at {now} ms");
        }
        let earliest = scheduled.iter().map(|(at, _)| *at).min();
        assert!(wheel
            .next_deadline()
            .is_none_or(|next| earliest.is_some_and(|at| next <= ms(at.max(now + 1)))));
    }
    assert_eq!(wheel.len(), scheduled.len());
}

#[test]
fn a_clock_jump_fires_every_timer_that_fell_due() {
    let mut wheel = TimerWheel::default();
    for n in 0..1_000 {
        wheel.schedule(ms(n), n);
    }
    wheel.schedule(ms(10_000_000), 9_999);
    let fired = std::iter::from_fn(|| wheel.pop_expired(ms(5_000_000))).count();
    assert_eq!((fired, wheel.len()), (1_000, 1));
}

#[test]
fn a_clock_far_from_zero_is_reached_without_stepping_each_tick() {
    let mut wheel = TimerWheel::default();
    let year = Duration::from_secs(365 * 86_400);
    wheel.schedule(year + ms(5), 1);
    assert_eq!(wheel.pop_expired(year), None);
    wheel.schedule(year + ms(2), 2);
    let started = std::time::Instant::now();
    assert_eq!(
        (
            wheel.pop_expired(year + ms(2)),
            wheel.pop_expired(year + ms(9))
        ),
        (Some(2), Some(1))
    );
    assert!(started.elapsed() < Duration::from_millis(50));
}
