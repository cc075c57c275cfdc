//! What this host decides beside the module, and that its times fit those of the protocol.

use super::*;
use limewing_decision::WATCH_RETRY_DELAY;
use rstest::rstest;

#[rstest]
#[case::refused(true, ErrorKind::ConnectionRefused, 0, Next::Unreached)]
#[case::silent(true, ErrorKind::TimedOut, 0, Next::Unreached)]
#[case::reset_early(true, ErrorKind::ConnectionReset, 0, Next::Again)]
#[case::reset_early_too_often(true, ErrorKind::ConnectionReset, 3, Next::Unreached)]
#[case::reset_late(false, ErrorKind::ConnectionReset, 0, Next::Broken)]
#[case::refused_late(false, ErrorKind::ConnectionRefused, 0, Next::Broken)]
fn what_an_end_proves(
    #[case] unwritten: bool,
    #[case] why: ErrorKind,
    #[case] broken: u8,
    #[case] want: Next,
) {
    assert_eq!(after_end(unwritten, why, broken), want);
}

#[rstest]
#[case::left_from_before(false, true, 0, Next::Again)]
#[case::too_often(false, true, 3, Next::Unreached)]
#[case::no_welcome(true, true, 0, Next::Unreached)]
#[case::instead_of_an_answer(false, false, 0, Next::Broken)]
fn what_noise_proves(
    #[case] opening: bool,
    #[case] unwritten: bool,
    #[case] broken: u8,
    #[case] want: Next,
) {
    assert_eq!(after_noise(opening, unwritten, broken), want);
}

#[test]
fn those_that_never_asked_make_room_first() {
    let now = Duration::from_secs(10);
    let idle = |served, ms| Idle {
        served,
        since: now - Duration::from_millis(ms),
    };
    let all = [
        (true, 9000),
        (false, 300),
        (false, 100),
        (true, 400),
        (false, 2000),
    ];
    let all: Vec<(Idle, usize)> = all
        .into_iter()
        .map(|(s, ms)| idle(s, ms))
        .zip(0..)
        .collect();
    // Of nine that may go two do; one that has just come may not.
    assert_eq!(make_room(all.clone(), now), [4]);
    let more = all.iter().chain(&all).chain(&all).copied().collect();
    assert_eq!(make_room(more, now), [4, 4]);
}

#[rstest]
#[case::room_is_left(40, true, 9, false)]
#[case::idle_long(60, true, 9, true)]
#[case::idle_a_moment(60, true, 1, false)]
#[case::never_asked(60, false, 9, false)]
fn who_overstays(#[case] clients: usize, #[case] served: bool, #[case] s: u64, #[case] want: bool) {
    let idle = Idle {
        served,
        since: Duration::from_secs(100 - s),
    };
    assert_eq!(
        overstays(&idle, clients, 100, Duration::from_secs(100)),
        want
    );
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a silent watch misses binds after 6 s: a first try that is silent too leaves time for a second one.
#[test]
fn a_silent_watch_is_asked_for_twice_in_time() {
    let second = LIST_QUIET_AT_MOST + WATCH_RETRY_DELAY + LIST_BEGINS_WITHIN + WATCH_RETRY_DELAY;
    assert!(second < LIST_LEASE, "{second:?}");
}

/// What a new configuration moves binds after 4 s: the last look at a file that is half written comes before.
#[test]
fn a_configuration_is_read_again_in_time_and_not_for_ever() {
    let waits: Vec<Duration> = (0..100).map_while(read_again).collect();
    assert!(
        waits.len() > 1 && waits.iter().sum::<Duration>() < ms(4000),
        "{waits:?}"
    );
}

/// The kill comes no sooner than the longest deadline, 3 s at most, and 0.7 s.
#[rstest]
#[case::short(100, 800)]
#[case::usual(2500, 3200)]
#[case::long(44_000, 3700)]
fn all_is_answered_before_the_kill(#[case] longest: u64, #[case] killed: u64) {
    let spans = shutdown(ms(longest));
    assert!(
        ms(400) < spans.stop_accepting && spans.stop_accepting <= spans.respond_to_all,
        "{spans:?}"
    );
    assert!(
        spans.respond_to_all < spans.exit && spans.exit < ms(killed),
        "{spans:?}"
    );
}

#[rstest]
#[case::none(0, 0)]
#[case::short(80, 10)]
#[case::usual(2000, 30)]
fn a_short_deadline_is_not_eaten_up_by_its_margin(#[case] waits: u64, #[case] want: u64) {
    assert_eq!(margin(ms(waits)), ms(want));
}
