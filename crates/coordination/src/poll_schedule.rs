//! When a lost service is polled again. While several members have lost it, few poll at a time, in rotation, so that hundreds
//! don't poll a service that is down or has only just come up. Once one of them has it again, the others follow within a
//! moment, spread out. In return an update may arrive late, by [`MAX_POLL_INTERVAL`] at the most, whatever others report.
//!
//! Budget: of n members that lost a service alike, [`CONCURRENT_POLLERS`] a rotation interval and one in
//! [`MAX_POLL_INTERVAL`] of the others poll, n / 8 + 2 a second at most. With views in c disjoint parts: n / 8 + 2c. Never more
//! than all of them, which is what they poll without coordination.

use crate::probe_rotation::{is_selected, rotation_index, ROTATION_INTERVAL};
use crate::stable_hash::rank;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A service that a sidecar polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    /// Service discovery: the endpoint list.
    EndpointList,
    /// The installer: stage updates and votes.
    Installer,
}

const SERVICES: [Service; 2] = [Service::EndpointList, Service::Installer];
/// Members that poll a lost service at one time.
pub const CONCURRENT_POLLERS: usize = 2;
/// Every member polls again this long after its last poll, rotation or not: a limit that was lowered must not wait for gossip.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// A member's own interval is at least this part of it: intervals differ, as members may have lost the service at one moment.
const MIN_INTERVAL_FRACTION: f64 = 0.6;
/// Once one member has the service again, the others poll within this time.
pub const RECOVERY_SPREAD: Duration = Duration::from_secs(1);

impl Service {
    /// The service's bit in [`crate::LoadReport::lost_services`].
    pub fn bit(self) -> u8 {
        1 << self as u8
    }

    /// Of the rotation of those that poll it.
    fn topic(self) -> u64 {
        rank(self as u64, u64::MAX)
    }
}

/// A service that this member has lost.
struct LostService {
    lost_at: Duration,
    last_poll: Duration,
    /// Others that reported it as lost since the last poll.
    also_lost_by: BTreeSet<u64>,
    /// When one of these was first seen to have it again.
    recovered_at: Option<Duration>,
}

/// The services that this member has lost.
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

    /// The bits of the services that this member has lost.
    pub(crate) fn lost_services(&self) -> u8 {
        self.lost.keys().map(|service| service.bit()).sum()
    }

    /// Takes in which services the others have lost: keys of members, and bits.
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

    /// When the member `own` may poll the service: now, or the time at which this is to be called again.
    pub(crate) fn next_poll(&self, now: Duration, service: Service, own: u64) -> Duration {
        let Some(lost) = self.lost.get(&service) else {
            return now;
        };
        let latest = lost.latest_poll(own);
        if let Some(recovered_at) = lost.recovered_at {
            let spread = RECOVERY_SPREAD.mul_f64(fraction(own, service.topic()));
            return (recovered_at + spread).min(latest).max(now);
        }
        if now >= latest || lost.also_lost_by.is_empty() || lost.is_turn_of(own, now, service) {
            return now;
        }
        let next_rotation = lost.rotation_at(now) + 1;
        (lost.lost_at + ROTATION_INTERVAL * next_rotation).min(latest)
    }
}

impl LostService {
    fn latest_poll(&self, own: u64) -> Duration {
        let drawn = fraction(own, self.last_poll.as_nanos() as u64);
        let interval_fraction = MIN_INTERVAL_FRACTION + (1.0 - MIN_INTERVAL_FRACTION) * drawn;
        self.last_poll + MAX_POLL_INTERVAL.mul_f64(interval_fraction)
    }

    /// Selected, and not polled yet in this rotation interval.
    fn is_turn_of(&self, own: u64, now: Duration, service: Service) -> bool {
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

/// A pseudorandom number in [0, 1] of the member and something else.
fn fraction(own: u64, of: u64) -> f64 {
    rank(own, of) as f64 / u64::MAX as f64
}
