use super::{ObjectReader, WatchConnection, WatchError, MAX_OBJECT};
use crate::endpoint_list::ListingError;
use limewing_decision::interface::WatchLossCause;
use limewing_net::timer_wheel::TimerWheel;
use rstest::rstest;
use std::time::Duration;

/// Returns a watch whose response has begun, or its first object has arrived.
fn watch(has_answer: bool, has_object: bool) -> WatchConnection {
    WatchConnection {
        reader: ObjectReader::new(MAX_OBJECT),
        timer: TimerWheel::default().schedule(Duration::ZERO, ()),
        called_at: Duration::ZERO,
        has_answer,
        has_object,
    }
}

fn invalid_json() -> WatchError {
    serde_json::from_str::<u8>("{").unwrap_err().into()
}

/// Only a service that cannot be reached renews the lease on the list. Guards against a list that is relied on for as long as responses
/// begin and are abandoned, or cannot be read (review case 8).
#[rstest]
#[case::unreachable(WatchError::Unreachable, false, false, WatchLossCause::NoService)]
#[case::no_response(WatchError::Silent, false, false, WatchLossCause::TimedOut)]
#[case::slow_response(WatchError::Silent, true, false, WatchLossCause::TimedOut)]
#[case::silent_watch(WatchError::Silent, true, true, WatchLossCause::Ended)]
#[case::reset_before_the_response(
    WatchError::ConnectionLost,
    false,
    false,
    WatchLossCause::Refused
)]
#[case::not_json(invalid_json(), true, true, WatchLossCause::Ended)]
#[case::too_many_entries(WatchError::Listing(ListingError::TooManyEntries { entries: 20_000 }), true, true, WatchLossCause::Ended)]
fn only_an_unreachable_service_renews_the_lease(
    #[case] error: WatchError,
    #[case] has_answer: bool,
    #[case] has_object: bool,
    #[case] expected: WatchLossCause,
) {
    assert_eq!(error.cause(&watch(has_answer, has_object)), expected);
}
