//! When a lost service is asked again. While several members hold it lost, few ask at a time, in turn; once one of them has
//! found it, the others follow within a moment, each at a time of its own.
//!
//! Guards against hundreds that each ask a service that is down, or that has only just come up. Hurts by news that come
//! later: by `LATEST` at most, whatever others say or keep to themselves.
//!
//! Budget: of n members that hold a service lost alike, `ASKERS` a turn and one in `LATEST` of the others ask, n / 8 + 2 a
//! second at most. Views in c disjoint parts: n / 8 + 2c. Never more than all: what they ask without peers.

use crate::rank;
use crate::turns::{is_selected, ROTATION_INTERVAL};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a sidecar asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Service {
    EndpointList,
    Installer,
}

const ALL: [Service; 2] = [Service::EndpointList, Service::Installer];
/// Members that ask at one time, of those that hold the service lost.
pub const CONCURRENT_POLLERS: usize = 2;
/// Whoever's turn it is, each asks so long after its last try: a cap that was lowered must not wait for gossip.
/// All at a time of their own from `SOONEST` of it on: they may have lost it at one moment.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_secs(10);
const SOONEST: f64 = 0.6;
/// Once one has found it, the others ask within this.
pub const RECOVERY_SPREAD: Duration = Duration::from_secs(1);

impl Service {
    pub fn bit(self) -> u8 {
        1 << self as u8
    }

    fn topic(self) -> u64 {
        rank(self as u64, u64::MAX)
    }
}

struct Lost {
    since: Duration,
    tried: Duration,
    /// Others that were heard to hold it lost since it was tried last.
    losers: BTreeSet<u64>,
    /// When one of these was heard to have it again.
    found: Option<Duration>,
}

#[derive(Default)]
pub struct PollSchedule(BTreeMap<Service, Lost>);

impl PollSchedule {
    pub fn failed(&mut self, now: Duration, service: Service) {
        let since = self.0.get(&service).map_or(now, |lost| lost.since);
        self.0.insert(
            service,
            Lost {
                since,
                tried: now,
                losers: BTreeSet::new(),
                found: None,
            },
        );
    }

    pub fn answered(&mut self, service: Service) {
        self.0.remove(&service);
    }

    /// What this member holds lost, for the others.
    pub fn bits(&self) -> u8 {
        self.0.keys().map(|service| service.bit()).sum()
    }

    /// What each of the others that are here holds lost.
    pub fn hear(&mut self, now: Duration, others: impl Iterator<Item = (u64, u8)>) {
        for (member, bits) in others {
            for service in ALL {
                let Some(lost) = self.0.get_mut(&service) else {
                    continue;
                };
                if bits & service.bit() != 0 {
                    lost.losers.insert(member);
                } else if lost.losers.remove(&member) {
                    lost.found.get_or_insert(now);
                }
            }
        }
    }

    /// When `own` may ask it: now, or the time at which this is to be asked again.
    pub fn at(&self, now: Duration, service: Service, own: u64) -> Duration {
        let Some(lost) = self.0.get(&service) else {
            return now;
        };
        let part = |of: u64| rank(own, of) as f64 / u64::MAX as f64;
        let own_part = SOONEST + (1.0 - SOONEST) * part(lost.tried.as_nanos() as u64);
        let latest = lost.tried + MAX_POLL_INTERVAL.mul_f64(own_part);
        if let Some(found) = lost.found {
            return (found + RECOVERY_SPREAD.mul_f64(part(service.topic())))
                .min(latest)
                .max(now);
        }
        if now >= latest || lost.losers.is_empty() {
            return now;
        }
        let ago = now.saturating_sub(lost.since);
        let turn = |at: Duration| {
            (at.saturating_sub(lost.since).as_nanos() / ROTATION_INTERVAL.as_nanos()) as u32
        };
        let members = lost.losers.iter().copied().chain([own]);
        // Once a turn.
        let tried = turn(lost.tried) == turn(now);
        if !tried && is_selected(CONCURRENT_POLLERS, service.topic(), own, members, ago) {
            return now;
        }
        (lost.since + ROTATION_INTERVAL * (turn(now) + 1)).min(latest)
    }
}
