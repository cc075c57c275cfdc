//! Assigns pods to tiers for a request, based on the split between baseline and trial, the pods
//! that this sidecar uses, their health, and what is known about pods while no endpoint list is
//! received.

use crate::endpoint_table::EndpointSnapshot;
use crate::interface::{BuildId, PodId};
use crate::request_state::OpenRequest;
use std::time::Duration;

/// The tier of ejected pods that are due for a health check. The lowest tier with any candidates is
/// proposed first.
const TIER_HEALTH_CHECK: u8 = 0;
/// The tier of usable pods that this sidecar uses, on the side assigned to the request.
const TIER_IN_USE: u8 = 1;
/// The tier of all other usable pods on the side assigned to the request.
const TIER_SAME_SIDE: u8 = 2;
/// The tier of usable pods on the other side.
const TIER_EITHER_SIDE: u8 = 3;
/// The tier of unresponsive or ejected pods, which are better than none if no pod is healthy.
const TIER_LAST_RESORT: u8 = 4;
/// The tier offset, while the discovery service is down, of pods that have not served an attempt
/// recently.
const UNCONFIRMED_TIER_OFFSET: u8 = 8;

/// The subset of pods that this sidecar uses on one side of the split.
#[derive(Clone, Copy)]
pub(crate) struct EndpointsInUse {
    pub(crate) lowest_rank: (u64, PodId),
    /// The fraction of all usable pods on that side.
    pub(crate) fraction: f64,
}

/// The inputs that determine the tier of each pod for one request.
pub(crate) struct Placement<'a> {
    pub(crate) request: &'a OpenRequest,
    pub(crate) trial: Option<BuildId>,
    pub(crate) wants_trial: bool,
    /// Whether the request may be sent to an ejected pod to check its health.
    pub(crate) may_check_health: bool,
    pub(crate) in_use: [EndpointsInUse; 2],
    pub(crate) served_since: Duration,
    pub(crate) service_down: bool,
}

impl Placement<'_> {
    fn is_on_trial(&self, snapshot: &EndpointSnapshot) -> bool {
        self.trial == Some(snapshot.endpoint.build)
    }

    pub(crate) fn in_use(&self, snapshot: &EndpointSnapshot) -> EndpointsInUse {
        self.in_use[usize::from(self.is_on_trial(snapshot))]
    }

    /// Returns the tier of a pod, or `None` if the request must not be sent there.
    pub(crate) fn tier(&self, snapshot: &EndpointSnapshot) -> Option<u8> {
        let tried = self.request.tried_pods.contains(&snapshot.endpoint.pod);
        if !snapshot.ready || tried {
            return None;
        }
        // Without a list, the pod may have started draining unless it has served an attempt
        // recently.
        let unconfirmed = snapshot.last_served_at < self.served_since;
        if unconfirmed && !self.service_down {
            return None;
        }
        let offset = if unconfirmed {
            UNCONFIRMED_TIER_OFFSET
        } else {
            0
        };
        self.confirmed_tier(snapshot).map(|tier| tier + offset)
    }

    fn confirmed_tier(&self, snapshot: &EndpointSnapshot) -> Option<u8> {
        let on_trial = self.is_on_trial(snapshot);
        if self.may_check_health && snapshot.wants_health_check {
            return Some(TIER_HEALTH_CHECK);
        }
        if snapshot.usable && on_trial == self.wants_trial {
            let in_use = snapshot.rank_key() >= self.in_use(snapshot).lowest_rank;
            return Some(if in_use { TIER_IN_USE } else { TIER_SAME_SIDE });
        }
        if snapshot.usable && !self.request.avoids_trial {
            return Some(TIER_EITHER_SIDE);
        }
        let last_resort = !on_trial && self.request.attempts_in_flight == 0;
        last_resort.then_some(TIER_LAST_RESORT)
    }
}
