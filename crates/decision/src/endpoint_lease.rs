//! The lease on the endpoint list: how long the list remains valid after its watch was lost.
//!
//! Pods that started draining while no list is received must not get requests for long, but serving
//! pods must continue to get them. The list is therefore valid for a lease, and a list from before
//! the start for the drain grace period only, until a list is received. After that, only pods that
//! served an attempt recently are used, until the discovery service has been silent for so long
//! that it is considered down. An attempt that was served does not renew the lease: a pod may serve
//! requests while it drains.

use crate::endpoint_state::EndpointState;
use crate::engine::TICK_INTERVAL;
use crate::interface::{EndpointUpdate, WatchLoss, WatchLossCause};
use crate::request_state::AttemptRecord;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// After the lease has expired, a pod is used if it served an attempt within this fraction of the
/// lease. No pod drains and comes back in less time than that.
const SERVED_LEASE_FRACTION: f64 = 0.5;
/// The number of leases without a list after which the discovery service is considered down and all
/// known pods may be used.
const OUTAGE_LEASES: u32 = 5;
/// The host may be held up for this long between reading its clock and writing.
const MAX_HOST_DELAY: Duration = Duration::from_millis(150);
/// A list from before the start is valid for at least this fraction of the drain grace period.
const MIN_CACHED_GRACE_FRACTION: u32 = 2;

/// Tracks whether and since when the endpoint list is out of date.
pub(crate) struct EndpointLease {
    /// The duration of the lease; with `None`, the list remains valid indefinitely.
    duration: Option<Duration>,
    drain_grace: Duration,
    state: ListState,
    watch_failures: u32,
}

/// How the known endpoint list relates to the one of the discovery service.
#[derive(Clone, Copy)]
enum ListState {
    /// Changes are being received, or the list remains valid indefinitely.
    Current,
    /// No list has been received since this time.
    Lost { since: Duration },
    /// The list is from before the start, and none has been received since.
    Cached { loaded_at: Duration },
}

impl EndpointLease {
    pub(crate) fn new(duration: Option<Duration>, drain_grace: Duration) -> Self {
        Self {
            duration,
            drain_grace,
            state: ListState::Current,
            watch_failures: 0,
        }
    }

    /// Processes an endpoint update or the loss of the watch.
    pub(crate) fn on_update(&mut self, update: &EndpointUpdate, now: Duration) {
        self.watch_failures = match update {
            EndpointUpdate::FormerDelta(_) => self.watch_failures,
            EndpointUpdate::WatchLost(_) => self.watch_failures.saturating_add(1),
            _ => 0,
        };
        if self.duration.is_none() {
            return;
        }
        self.state = match update {
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_) => ListState::Current,
            EndpointUpdate::FormerDelta(_) => self.state,
            EndpointUpdate::Cached(_) => ListState::Cached { loaded_at: now },
            EndpointUpdate::WatchLost(loss) => self.state_after_loss(loss, now),
        };
    }

    fn state_after_loss(&self, loss: &WatchLoss, now: Duration) -> ListState {
        match self.state {
            // Only a list tells what changed before the start, whatever the call failed with.
            ListState::Cached { .. } => self.state,
            _ if loss.cause == WatchLossCause::NoService => ListState::Lost { since: now },
            ListState::Lost { .. } => self.state,
            ListState::Current => ListState::Lost {
                since: now.saturating_sub(loss.silent_for),
            },
        }
    }

    /// Returns the number of consecutive failed watches and list calls.
    pub(crate) fn watch_failures(&self) -> u32 {
        self.watch_failures
    }

    /// Returns the earliest time at which a pod must have last served a request in order to be
    /// used; zero while the list is valid.
    pub(crate) fn served_since(&self, now: Duration) -> Duration {
        let is_expired = self.valid_until().is_some_and(|end| now >= end);
        match self.duration.filter(|_| is_expired) {
            Some(duration) => now.saturating_sub(duration.mul_f64(SERVED_LEASE_FRACTION)),
            None => Duration::ZERO,
        }
    }

    /// Returns whether no list has been received for so long that the discovery service is
    /// considered down.
    pub(crate) fn is_service_down(&self, now: Duration) -> bool {
        let without_list_since = match self.state {
            ListState::Current => None,
            ListState::Lost { since } => Some(since),
            ListState::Cached { loaded_at } => Some(loaded_at),
        };
        without_list_since
            .zip(self.duration)
            .is_some_and(|(since, duration)| now >= since + duration * OUTAGE_LEASES)
    }

    /// Returns whether an attempt that was scheduled at `scheduled_at` may still be sent. While no
    /// list is received, it may be sent for the drain grace period. An attempt that was scheduled
    /// by a list from before the start may be sent while that list is valid.
    pub(crate) fn may_still_send(&self, scheduled_at: Duration, now: Duration) -> bool {
        let is_within_grace = now <= scheduled_at + self.drain_grace.max(TICK_INTERVAL);
        match self.state {
            ListState::Current => true,
            ListState::Lost { .. } => is_within_grace,
            ListState::Cached { loaded_at } => {
                let valid_until = loaded_at + self.cached_duration();
                is_within_grace && (now < valid_until || scheduled_at >= valid_until)
            }
        }
    }

    /// Returns when the list ceases to be valid, unless changes are being received.
    fn valid_until(&self) -> Option<Duration> {
        match self.state {
            ListState::Current => None,
            ListState::Lost { since } => self.duration.map(|duration| since + duration),
            ListState::Cached { loaded_at } => Some(loaded_at + self.cached_duration()),
        }
    }

    /// Returns how long a list from before the start is valid. A pod may have started draining at
    /// any time before, and its drain counts as notified from the start on, so that no attempt may
    /// reach it after the drain grace period.
    fn cached_duration(&self) -> Duration {
        let shortest = self.drain_grace / MIN_CACHED_GRACE_FRACTION;
        self.drain_grace
            .saturating_sub(MAX_HOST_DELAY)
            .max(shortest)
    }
}

/// Returns whether an attempt targets the current incarnation of the pod and the pod is neither
/// draining nor gone.
pub(crate) fn accepts_attempt(endpoint: &EndpointState, attempt: &AttemptRecord) -> bool {
    let listed = &endpoint.endpoint;
    let same_incarnation =
        (listed.build, listed.started_at) == (attempt.build, attempt.pod_started_at);
    endpoint.leaving_since.is_none() && same_incarnation
}
