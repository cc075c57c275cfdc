//! Tests that delays grow to their bound, depend on the seed, and restart after a reset.

use super::Backoff;
use std::time::Duration;

fn delays(seed: u64) -> Vec<Duration> {
    let mut backoff = Backoff::new(seed);
    (0..8).map(|_| backoff.next_delay()).collect()
}

#[test]
fn delays_grow_to_a_bound_and_differ_by_seed() {
    let first = delays(1);
    let second = delays(2);
    let bounds = Duration::from_millis(250)..=Duration::from_secs(4);
    assert!(
        first.iter().all(|delay| bounds.contains(delay)),
        "{first:?}"
    );
    assert!(first[7] >= Duration::from_secs(2), "{first:?}");
    assert_ne!(first, second);
    assert_eq!(first, delays(1));
}

#[test]
fn delay_is_short_again_after_a_reset() {
    let mut backoff = Backoff::new(7);
    for _ in 0..8 {
        assert!(backoff.next_delay() > Duration::ZERO);
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(500));
}
