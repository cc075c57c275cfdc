use super::*;
use crate::context::Context;
use crate::interface::Event;
use crate::test_support::{at, leased_context, watch_lost, CALL_REFUSED, WATCH_ENDED};
use rstest::rstest;

fn served_since(context: &Context) -> Duration {
    context.endpoint_lease.served_since(context.now)
}

#[test]
fn a_received_list_resets_the_backoff() {
    let mut context = leased_context(1.0);
    for _ in 0..5 {
        context.dispatch_event(watch_lost(CALL_REFUSED));
    }
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Delta(Vec::new())));
    assert_eq!(context.endpoint_lease.watch_failures(), 0);
    assert!(context.endpoint_lease.is_current());
}

/// A loss that is detected late counts from when the list was last received.
#[test]
fn the_lease_starts_when_a_list_was_last_received() {
    let mut context = leased_context(10.0);
    context.dispatch_event(watch_lost(WatchLoss {
        silent_for: at(2.3),
        ..WATCH_ENDED
    }));
    context.now = at(13.6);
    assert_eq!(served_since(&context), Duration::ZERO);
    context.now = at(13.8);
    assert_eq!(served_since(&context), at(10.8));
}

/// If the discovery service is absent or its response is unreadable, each failed call renews the
/// lease on the list.
#[test]
fn a_missing_service_renews_the_lease() {
    let mut context = leased_context(10.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Cached(Vec::new())));
    for second in 11..60 {
        context.now = at(f64::from(second));
        context.dispatch_event(watch_lost(WatchLoss {
            cause: WatchLossCause::NoService,
            ..WATCH_ENDED
        }));
        assert_eq!(served_since(&context), Duration::ZERO);
    }
}

/// A list cached before the start may be of any age, so only a third of the lease applies to it.
#[rstest]
#[case::within_the_partial_lease(11.9, false)]
#[case::after_the_partial_lease(12.1, true)]
fn a_cached_list_has_a_partial_lease(#[case] now: f64, #[case] expired: bool) {
    let mut context = leased_context(10.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Cached(Vec::new())));
    context.now = at(now);
    assert_eq!(served_since(&context) > Duration::ZERO, expired);
}
