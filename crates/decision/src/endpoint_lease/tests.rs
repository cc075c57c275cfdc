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
    assert!(context.endpoint_lease.may_still_send(at(0.0), at(99.0)));
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

/// If the discovery service is absent, each failed call renews the
/// lease on a list that was received.
#[test]
fn a_missing_service_renews_the_lease() {
    let mut context = leased_context(10.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Snapshot(Vec::new())));
    for second in 11..60 {
        context.now = at(f64::from(second));
        context.dispatch_event(watch_lost(WatchLoss {
            cause: WatchLossCause::NoService,
            ..WATCH_ENDED
        }));
        assert_eq!(served_since(&context), Duration::ZERO);
    }
}

/// Returns the context of a sidecar that loaded a list from before its start at 10 s. Its drain
/// grace period is 1 s.
fn context_with_cached_list() -> Context {
    let mut context = leased_context(10.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Cached(Vec::new())));
    context
}

/// A list from before the start may be of any age: drains before the start count as notified from
/// the start on. Guards against attempts past the grace period (review case 9).
#[rstest]
#[case::within_the_grace_period(10.8, false)]
#[case::at_its_end(10.9, true)]
fn a_cached_list_is_valid_for_the_drain_grace_period(#[case] now: f64, #[case] expired: bool) {
    let mut context = context_with_cached_list();
    context.now = at(now);
    assert_eq!(served_since(&context) > Duration::ZERO, expired);
}

/// No failed call tells what changed before the start. Guards against a list that is relied on for
/// as long as the discovery service refuses connections.
#[rstest]
#[case::ended(WatchLossCause::Ended)]
#[case::no_service(WatchLossCause::NoService)]
#[case::timed_out(WatchLossCause::TimedOut)]
#[case::refused(WatchLossCause::Refused)]
fn a_failed_call_does_not_renew_a_cached_list(#[case] cause: WatchLossCause) {
    let mut context = context_with_cached_list();
    for tenth in 1..50 {
        context.now = at(10.0 + f64::from(tenth) / 10.0);
        context.dispatch_event(watch_lost(WatchLoss {
            cause,
            ..WATCH_ENDED
        }));
        let expired = tenth > 8;
        assert_eq!(served_since(&context) > Duration::ZERO, expired, "{tenth}");
    }
}

/// A list that is received confirms the cached one; its own loss begins a whole lease.
#[test]
fn a_received_list_replaces_the_cached_one() {
    let mut context = context_with_cached_list();
    context.now = at(12.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Delta(Vec::new())));
    assert_eq!(served_since(&context), Duration::ZERO);
    context.dispatch_event(watch_lost(WATCH_ENDED));
    context.now = at(17.9);
    assert_eq!(served_since(&context), Duration::ZERO);
    context.now = at(18.1);
    assert!(served_since(&context) > Duration::ZERO);
}

/// An attempt that was scheduled by a cached list is not sent once that list has expired. One that
/// was scheduled later, at a pod that serves requests, is sent within the grace period.
#[rstest]
#[case::while_the_list_is_valid(10.7, 10.8, true)]
#[case::after_the_list_expired(10.7, 10.9, false)]
#[case::scheduled_later(10.9, 11.8, true)]
#[case::scheduled_later_but_late(10.9, 12.0, false)]
fn an_attempt_scheduled_by_a_cached_list_expires_with_it(
    #[case] scheduled_at: f64,
    #[case] now: f64,
    #[case] expected: bool,
) {
    let context = context_with_cached_list();
    let lease = &context.endpoint_lease;
    assert_eq!(lease.may_still_send(at(scheduled_at), at(now)), expected);
}

/// With a grace period shorter than a delay of the host, half of it is used.
#[rstest]
#[case::long(at(1.5), at(1.35))]
#[case::short(at(0.2), at(0.1))]
fn a_delay_of_the_host_is_left_of_the_grace_period(
    #[case] grace: Duration,
    #[case] expected: Duration,
) {
    let lease = EndpointLease::new(Some(at(6.0)), grace);
    assert_eq!(lease.cached_duration(), expected);
}

/// After a new configuration, the service at the former address does not show that changes are received from the present one. Guards
/// against a lease that it renews while the present service answers nothing (trial lease-after-move of the review).
#[test]
fn a_former_service_does_not_renew_the_lease() {
    let mut context = leased_context(10.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::Snapshot(Vec::new())));
    context.dispatch_event(watch_lost(CALL_REFUSED));
    context.now = at(15.0);
    context.dispatch_event(Event::Endpoints(EndpointUpdate::FormerDelta(Vec::new())));
    assert_eq!(context.endpoint_lease.watch_failures(), 1);
    context.now = at(16.1);
    assert!(served_since(&context) > Duration::ZERO);
}
