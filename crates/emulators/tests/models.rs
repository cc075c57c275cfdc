//! The models that the stand-ins are made of, without sockets.

use limewing_emulators::marks::Marks;
use limewing_emulators::pod::{Arrival, Machine, Next, PodModel};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// When each hit with one mark begins, and whether it takes effect.
fn effects(begins: &[u64]) -> Vec<bool> {
    let mut marks = Marks::default();
    begins
        .iter()
        .map(|at| marks.begin((0, 0, "order-1".into()), ms(3000), ms(*at)))
        .collect()
}

#[rstest]
#[case::begun_again_at_once(&[0, 1], &[true, false])]
#[case::begun_again_in_the_last_moment(&[0, 2999], &[true, false])]
#[case::a_repeat_does_not_renew_the_memory(&[0, 2000, 3000], &[true, false, true])]
fn a_mark_is_known_for_its_memory(#[case] begins: &[u64], #[case] want: &[bool]) {
    assert_eq!(effects(begins), want);
}

#[rstest]
fn a_mark_of_a_hit_that_never_ended_is_free_again() {
    let (mut marks, key) = (Marks::default(), (0, 0, "order-1".to_owned()));
    assert!(marks.begin(key.clone(), ms(3000), ms(0)));
    marks.undone(&key);
    assert!(marks.begin(key, ms(3000), ms(100)));
}

#[rstest]
fn marks_are_known_only_to_those_that_share_a_memory() {
    let mut marks = Marks::default();
    assert!(marks.begin((0, 0, "order-1".into()), ms(3000), ms(0)));
    assert!(marks.begin((0, 1, "order-1".into()), ms(3000), ms(0)));
    assert!(marks.begin((1, 0, "order-1".into()), ms(3000), ms(0)));
}

fn pod(cold: bool) -> PodModel<u8> {
    let machine = Machine {
        cores: 1,
        waiting: 1,
        cold_from: 0.25,
        cold_for: ms(4000),
    };
    PodModel::new(machine, ms(0), cold)
}

#[rstest]
#[case::warm(false, 0, 100)]
#[case::cold(true, 0, 400)]
#[case::half_warmed(true, 2000, 160)]
#[case::warmed(true, 4000, 100)]
fn cold_pods_are_slow_at_first(#[case] cold: bool, #[case] now: u64, #[case] takes: u64) {
    let begun = pod(cold).arrive(1, ms(100), ms(9000), ms(now));
    assert_eq!(begun, Arrival::Begun(1, ms(now + takes)));
}

#[rstest]
#[case::in_time(100, Next::Begun(2, ms(150)))]
#[case::overdue(99, Next::Overdue(2))]
fn a_hit_that_waited_begins_only_in_time(#[case] ended: u64, #[case] want: Next<u8>) {
    let mut pod = pod(false);
    let until = if matches!(want, Next::Overdue(_)) {
        ms(ended)
    } else {
        ms(ended + 1)
    };
    assert_eq!(
        pod.arrive(1, ms(ended), ms(9000), ms(0)),
        Arrival::Begun(1, ms(ended))
    );
    assert_eq!(pod.arrive(2, ms(50), until, ms(0)), Arrival::Waits);
    assert_eq!(
        pod.arrive(3, ms(50), ms(9000), ms(0)),
        Arrival::TurnedAway(3)
    );
    pod.finish();
    assert_eq!(pod.next(ms(ended)), Some(want));
}

#[rstest]
fn a_hung_pod_begins_nothing() {
    let mut pod = pod(false);
    pod.hung = true;
    assert_eq!(pod.arrive(1, ms(10), ms(9000), ms(0)), Arrival::Waits);
    assert_eq!(pod.next(ms(10)), None);
    pod.hung = false;
    assert_eq!(pod.next(ms(20)), Some(Next::Begun(1, ms(30))));
}
