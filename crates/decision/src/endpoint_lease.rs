//! How long the list of endpoints may be relied on after its watch was lost.
//!
//! Pods that were announced as leaving while no list is heard must not get requests for long, and pods that
//! serve must go on getting them. So the list is a lease: once it has expired only pods that served something
//! lately are used, until the discovery service has been silent for so long that it must be down.

use crate::endpoint_state::EndpointState;
use crate::interface::{EndpointUpdate, WatchLoss, WatchLossCause};
use crate::request_state::AttemptRecord;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The fraction of the lease that is left to a list which was cached before a restart: it may be of any age.
const CACHED_LEASE_FRACTION: f64 = 1.0 / 3.0;
/// Once the lease has expired, a pod is used if it served within this fraction of the lease: in less time
/// than that no pod drains and is back.
const SERVED_LEASE_FRACTION: f64 = 0.5;
/// After so many leases without a list its service must be down, and all known pods may be used.
const OUTAGE_LEASES: u32 = 5;

/// Whether and since when the list of endpoints is out of date.
pub(crate) struct EndpointLease {
    /// None: the list may be relied on for good.
    duration: Option<Duration>,
    /// Since when no list is heard; none while it is, and where it may be relied on for good.
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

    /// Takes an update, or the loss of the watch.
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

    /// The number of watches and calls for the list that have failed in a row.
    pub(crate) fn watch_failures(&self) -> u32 {
        self.watch_failures
    }

    /// Whether changes of the list are heard, or it may be relied on for good.
    pub(crate) fn is_current(&self) -> bool {
        self.lost_at.is_none()
    }

    /// The time since when a pod must have served a request to be used: zero while the lease has not expired.
    pub(crate) fn served_since(&self, now: Duration) -> Duration {
        match self.duration {
            Some(duration) if self.has_expired_times(1, now) => {
                now.saturating_sub(duration.mul_f64(SERVED_LEASE_FRACTION))
            }
            _ => Duration::ZERO,
        }
    }

    /// Whether no list has been heard for so long that the discovery service must be down.
    pub(crate) fn is_service_down(&self, now: Duration) -> bool {
        self.has_expired_times(OUTAGE_LEASES, now)
    }

    fn has_expired_times(&self, leases: u32, now: Duration) -> bool {
        self.lost_at
            .zip(self.duration)
            .is_some_and(|(lost_at, duration)| now >= lost_at + duration * leases)
    }
}

/// Whether an attempt was meant for this incarnation of the pod, and the pod neither drains nor is gone.
pub(crate) fn still_accepts(endpoint: &EndpointState, attempt: &AttemptRecord) -> bool {
    let listed = &endpoint.endpoint;
    let same_incarnation =
        (listed.build, listed.started_at) == (attempt.build, attempt.pod_started_at);
    endpoint.leaving_since.is_none() && same_incarnation
}
