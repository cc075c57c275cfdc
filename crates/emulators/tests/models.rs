//! Tests of the emulators' models, without sockets.

use limewing_emulators::deduplication::{DeduplicationKey, DeduplicationMemory};
use limewing_emulators::pod_model::{Arrival, Dequeued, Machine, PodModel};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(class: usize, scope: usize) -> DeduplicationKey {
    DeduplicationKey {
        class,
        scope,
        idempotency_key: "order-1".to_owned(),
    }
}

/// Whether each request with the same key takes effect, given the times of their begin.
fn effects(begin_times: &[u64]) -> Vec<bool> {
    let mut memory = DeduplicationMemory::default();
    begin_times
        .iter()
        .map(|at| memory.begin(key(0, 0), ms(3000), ms(*at)))
        .collect()
}

#[rstest]
#[case::begun_again_at_once(&[0, 1], &[true, false])]
#[case::begun_again_in_the_last_moment(&[0, 2999], &[true, false])]
#[case::a_repeat_does_not_prolong_the_window(&[0, 2000, 3000], &[true, false, true])]
fn a_key_is_known_for_its_window(#[case] begin_times: &[u64], #[case] expected: &[bool]) {
    assert_eq!(effects(begin_times), expected);
}

#[rstest]
fn a_key_of_a_request_that_never_ended_is_free_again() {
    let mut memory = DeduplicationMemory::default();
    assert!(memory.begin(key(0, 0), ms(3000), ms(0)));
    memory.forget(&key(0, 0));
    assert!(memory.begin(key(0, 0), ms(3000), ms(100)));
}

#[rstest]
fn keys_are_known_only_to_pods_that_share_a_memory() {
    let mut memory = DeduplicationMemory::default();
    assert!(memory.begin(key(0, 0), ms(3000), ms(0)));
    assert!(memory.begin(key(0, 1), ms(3000), ms(0)));
    assert!(memory.begin(key(1, 0), ms(3000), ms(0)));
}

fn pod(warming_up: bool) -> PodModel<u8> {
    let machine = Machine {
        cores: 1,
        queue_limit: 1,
        slow_start_from: 0.25,
        slow_start_duration: ms(4000),
    };
    PodModel::new(machine, ms(0), warming_up)
}

#[rstest]
#[case::warm(false, 0, 100)]
#[case::just_started(true, 0, 400)]
#[case::half_warmed(true, 2000, 160)]
#[case::warmed(true, 4000, 100)]
fn pods_that_warm_up_are_slow_at_first(
    #[case] warming_up: bool,
    #[case] now: u64,
    #[case] expected_ms: u64,
) {
    let begun = pod(warming_up).arrive(1, ms(100), ms(9000), ms(now));
    assert_eq!(begun, Arrival::Begun(1, ms(now + expected_ms)));
}

#[rstest]
#[case::in_time(100, Dequeued::Begun(2, ms(150)))]
#[case::expired(99, Dequeued::Expired(2))]
fn a_request_that_waited_begins_only_in_time(#[case] ended: u64, #[case] expected: Dequeued<u8>) {
    let mut pod = pod(false);
    let deadline = if matches!(expected, Dequeued::Expired(_)) {
        ms(ended)
    } else {
        ms(ended + 1)
    };
    assert_eq!(
        pod.arrive(1, ms(ended), ms(9000), ms(0)),
        Arrival::Begun(1, ms(ended))
    );
    assert_eq!(pod.arrive(2, ms(50), deadline, ms(0)), Arrival::Queued);
    assert_eq!(pod.arrive(3, ms(50), ms(9000), ms(0)), Arrival::Rejected(3));
    pod.finish();
    assert_eq!(pod.dequeue(ms(ended)), Some(expected));
}

#[rstest]
fn a_hung_pod_begins_nothing() {
    let mut pod = pod(false);
    pod.hung = true;
    assert_eq!(pod.arrive(1, ms(10), ms(9000), ms(0)), Arrival::Queued);
    assert_eq!(pod.dequeue(ms(10)), None);
    pod.hung = false;
    assert_eq!(pod.dequeue(ms(20)), Some(Dequeued::Begun(1, ms(30))));
}
