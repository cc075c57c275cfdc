//! The lease on the endpoint list: how long the list remains valid after its watch was lost.
//!
//! Pods that started draining while no list is received must not get requests for long, but serving
//! pods must continue to get them. The list is therefore valid for a lease. After it expires, only
//! pods that served an attempt recently are used, until the discovery service has been silent for
//! so long that it is considered down.

use crate::endpoint_state::EndpointState;
use crate::interface::{EndpointUpdate, WatchLoss, WatchLossCause};
use crate::request_state::AttemptRecord;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The fraction of the lease that applies to a list cached before a restart, which may be of any
/// age.
const CACHED_LEASE_FRACTION: f64 = 1.0 / 3.0;
/// After the lease has expired, a pod is used if it served an attempt within this fraction of the
/// lease. No pod drains and comes back in less time than that.
const SERVED_LEASE_FRACTION: f64 = 0.5;
/// The number of leases without a list after which the discovery service is considered down and all
/// known pods may be used.
const OUTAGE_LEASES: u32 = 5;

/// Tracks whether and since when the endpoint list is out of date.
pub(crate) struct EndpointLease {
    /// The duration of the lease; with `None`, the list remains valid indefinitely.
    duration: Option<Duration>,
    /// Since when no list has been received; `None` while lists are received or if the list remains
    /// valid indefinitely.
    lost_at: Option<Duration>,
    watch_failures: u32,
}

impl EndpointLease {
    pub(crate) fn new(duration: Option<Duration>) -> Self {
        Self {
            duration,
            lost_at: None,
            watch_failures: 0,
        }
    }

    /// Processes an endpoint update or the loss of the watch.
    pub(crate) fn on_update(&mut self, update: &EndpointUpdate, now: Duration) {
        self.watch_failures = match update {
            EndpointUpdate::WatchLost(_) => self.watch_failures.saturating_add(1),
            _ => 0,
        };
        let Some(duration) = self.duration else {
            return;
        };
        self.lost_at = match update {
            EndpointUpdate::WatchLost(WatchLoss {
                cause: WatchLossCause::NoService,
                ..
            }) => Some(now),
            EndpointUpdate::WatchLost(loss) => {
                let last_heard = now.saturating_sub(loss.silent_for);
                self.lost_at.or(Some(last_heard))
            }
            EndpointUpdate::Cached(_) => {
                let used = duration.mul_f64(1.0 - CACHED_LEASE_FRACTION);
                Some(now.saturating_sub(used))
            }
            EndpointUpdate::Delta(_) | EndpointUpdate::Snapshot(_) => None,
        };
    }

    /// Returns the number of consecutive failed watches and list calls.
    pub(crate) fn watch_failures(&self) -> u32 {
        self.watch_failures
    }

    /// Returns whether list changes are being received or the list remains valid indefinitely.
    pub(crate) fn is_current(&self) -> bool {
        self.lost_at.is_none()
    }

    /// Returns the earliest time at which a pod must have last served a request in order to be
    /// used; zero until the lease has expired.
    pub(crate) fn served_since(&self, now: Duration) -> Duration {
        match self.duration {
            Some(duration) if self.has_been_lost_for(1, now) => {
                now.saturating_sub(duration.mul_f64(SERVED_LEASE_FRACTION))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether no list has been received for so long that the discovery service is
    /// considered down.
    pub(crate) fn is_service_down(&self, now: Duration) -> bool {
        self.has_been_lost_for(OUTAGE_LEASES, now)
    }

    fn has_been_lost_for(&self, leases: u32, now: Duration) -> bool {
        self.lost_at
            .zip(self.duration)
            .is_some_and(|(lost_at, duration)| now >= lost_at + duration * leases)
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
