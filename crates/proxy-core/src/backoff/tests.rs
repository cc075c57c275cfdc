use super::Backoff;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn waits_for_a_lost_service_grow_to_a_bound_and_differ() {
    let waits = |seed| {
        let mut again = Backoff::new(seed);
        (0..8).map(|_| again.next_delay()).collect::<Vec<_>>()
    };
    let (one, other) = (waits(1), waits(2));
    let (least, most) = (Duration::from_millis(250), Duration::from_secs(4));
    assert!(
        one.iter().all(|wait| (least..=most).contains(wait)),
        "{one:?}"
    );
    assert!(
        one[7] >= Duration::from_secs(2) && one != other && one == waits(1),
        "{one:?} {other:?}"
    );
}

#[rstest]
fn a_service_that_answered_is_soon_asked_again() {
    let mut again = Backoff::new(7);
    (0..8).for_each(|_| assert!(again.next_delay() > Duration::ZERO));
    again.reset();
    assert!(again.next_delay() <= Duration::from_millis(500));
}
