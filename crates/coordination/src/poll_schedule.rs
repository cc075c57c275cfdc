//! Decides when a lost service is polled again.
//!
//! While several members have lost it, a few of them poll at a time, in rotation, so that hundreds
//! of members do not poll a service that is down or has only just started. Once one of them has
//! recovered it, the others follow within `RECOVERY_SPREAD`, spread out. In return an update may
//! arrive late, by at most [`MAX_POLL_INTERVAL`], whatever the other members report.
//!
//! Budget: of n members that lost a service together, [`CONCURRENT_POLLERS`] poll in each rotation
//! interval, and each of the others once per [`MAX_POLL_INTERVAL`]: at most n / 8 + 2 polls per
//! second. With views split into c disjoint parts it is n / 8 + 2c. It never exceeds the rate at
//! which all of them would poll without coordination.

use crate::probe_rotation::{is_selected, rotation_index, ROTATION_INTERVAL};
use crate::stable_hash::rank;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A service that a sidecar polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Service discovery, which provides the endpoint list.
    EndpointList,
    /// The rollout service, which sends stage updates and receives votes.
    RolloutService,
}

const SERVICES: [Service; 2] = [Service::EndpointList, Service::RolloutService];
/// Number of members that poll a lost service at a time.
pub const CONCURRENT_POLLERS: usize = 2;
/// Every member polls again within this time after its last poll, regardless of the rotation,
/// because a lowered limit must not depend on gossip to arrive.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum fraction of `MAX_POLL_INTERVAL` for a member's own interval. Intervals differ because
/// members may have lost the service at the same time.
const MIN_INTERVAL_FRACTION: f64 = 0.6;
/// Once one member has recovered the service, the others poll within this time.
pub const RECOVERY_SPREAD: Duration = Duration::from_secs(1);

impl Service {
    /// Returns the service's bit in [`crate::LoadReport::lost_services`].
    pub fn bit(self) -> u8 {
        1 << self as u8
    }

    /// Returns the topic that identifies the rotation of the service's pollers.
    fn topic(self) -> u64 {
        rank(self as u64, u64::MAX)
    }
}

/// A service that this member has lost.
struct LostService {
    lost_at: Duration,
    last_poll: Duration,
    /// Other members that reported it as lost since the last poll.
    also_lost_by: BTreeSet<u64>,
    /// When one of these members was first seen to have recovered it.
    recovered_at: Option<Duration>,
}

/// Services that this member has lost.
#[derive(Default)]
pub(crate) struct PollSchedule {
    lost: BTreeMap<Service, LostService>,
}

impl PollSchedule {
    pub(crate) fn record_failure(&mut self, now: Duration, service: Service) {
        let lost_at = self.lost.get(&service).map_or(now, |lost| lost.lost_at);
        self.lost.insert(
            service,
            LostService {
                lost_at,
                last_poll: now,
                also_lost_by: BTreeSet::new(),
                recovered_at: None,
            },
        );
    }

    pub(crate) fn record_success(&mut self, service: Service) {
        self.lost.remove(&service);
    }

    /// Returns the bits of the services that this member has lost.
    pub(crate) fn lost_services(&self) -> u8 {
        self.lost.keys().map(|service| service.bit()).sum()
    }

    /// Updates which services the other members have lost, given as member keys and service bits.
    pub(crate) fn update_peers(&mut self, now: Duration, peers: impl Iterator<Item = (u64, u8)>) {
        for (member, lost_services) in peers {
            for service in SERVICES {
                let Some(lost) = self.lost.get_mut(&service) else {
                    continue;
                };
                if lost_services & service.bit() != 0 {
                    lost.also_lost_by.insert(member);
                } else if lost.also_lost_by.remove(&member) {
                    lost.recovered_at.get_or_insert(now);
                }
            }
        }
    }

    /// Returns when the member `own` may poll the service: now, or a later time at which to ask
    /// again.
    pub(crate) fn next_poll(&self, now: Duration, service: Service, own: u64) -> Duration {
        let Some(lost) = self.lost.get(&service) else {
            return now;
        };
        let latest = lost.latest_poll(own);
        if let Some(recovered_at) = lost.recovered_at {
            let spread = RECOVERY_SPREAD.mul_f64(pseudorandom_fraction(own, service.topic()));
            return (recovered_at + spread).min(latest).max(now);
        }
        if now >= latest
            || lost.also_lost_by.is_empty()
            || lost.is_selected_poller(own, now, service)
        {
            return now;
        }
        let next_rotation = lost.rotation_at(now) + 1;
        (lost.lost_at + ROTATION_INTERVAL * next_rotation).min(latest)
    }
}

impl LostService {
    fn latest_poll(&self, own: u64) -> Duration {
        let random_fraction = pseudorandom_fraction(own, self.last_poll.as_nanos() as u64);
        let interval_fraction =
            MIN_INTERVAL_FRACTION + (1.0 - MIN_INTERVAL_FRACTION) * random_fraction;
        self.last_poll + MAX_POLL_INTERVAL.mul_f64(interval_fraction)
    }

    /// Returns whether the member is selected and has not polled in this rotation interval.
    fn is_selected_poller(&self, own: u64, now: Duration, service: Service) -> bool {
        if self.rotation_at(self.last_poll) == self.rotation_at(now) {
            return false;
        }
        let members = self.also_lost_by.iter().copied().chain([own]);
        let elapsed = now.saturating_sub(self.lost_at);
        is_selected(CONCURRENT_POLLERS, service.topic(), own, members, elapsed)
    }

    fn rotation_at(&self, time: Duration) -> u32 {
        rotation_index(time.saturating_sub(self.lost_at)) as u32
    }
}

/// Returns a pseudorandom number in [0, 1] derived from a member's key and a second number.
fn pseudorandom_fraction(own: u64, input: u64) -> f64 {
    rank(own, input) as f64 / u64::MAX as f64
}
