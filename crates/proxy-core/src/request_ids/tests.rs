//! Tests how long ids are remembered.

use super::{RepeatedId, RequestIds, ID_RETENTION, MAX_REMEMBERED_IDS};
use rstest::rstest;
use std::time::Duration;

const START: Duration = Duration::from_secs(3600);

/// An id may be used again once its request is known to have had no effect, or after a time. Guards against a request that runs twice when
/// its id comes again (operators' picture c).
#[rstest]
#[case::had_no_effect(false, Duration::ZERO, Ok(()))]
#[case::may_have_run(true, Duration::ZERO, Err(RepeatedId::MayHaveRun))]
#[case::before_the_retention_ends(true, ID_RETENTION - Duration::from_millis(1), Err(RepeatedId::MayHaveRun))]
#[case::after_the_retention(true, ID_RETENTION, Ok(()))]
fn id_of_a_completed_request(
    #[case] must_not_repeat: bool,
    #[case] after: Duration,
    #[case] expected: Result<(), RepeatedId>,
) {
    let mut ids = RequestIds::default();
    assert_eq!(ids.accept(START, "a1"), Ok(()));
    assert_eq!(ids.accept(START, "a1"), Err(RepeatedId::InFlight));
    ids.complete(START, "a1", must_not_repeat);
    assert_eq!(ids.accept(START + after, "a1"), expected);
    assert_eq!(ids.accept(START + after, "b2"), Ok(()));
}

/// Clients choose the ids, so their number is limited: the oldest are forgotten. Guards against memory that grows without end.
#[test]
fn number_of_remembered_ids_is_limited() {
    let mut ids = RequestIds::default();
    for id in 0..MAX_REMEMBERED_IDS + 10 {
        assert_eq!(ids.accept(START, &id), Ok(()));
        ids.complete(START, &id, true);
    }
    assert_eq!(ids.completed.len(), MAX_REMEMBERED_IDS);
    assert_eq!(ids.expirations.len(), MAX_REMEMBERED_IDS);
    assert_eq!(ids.accept(START, &9_usize), Ok(()));
    assert_eq!(ids.accept(START, &10_usize), Err(RepeatedId::MayHaveRun));
}
