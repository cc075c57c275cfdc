//! The start terms turned into the few figures that decisions use. Renaming and arithmetic only: no value is
//! chosen here.

use crate::interface::*;
use std::time::Duration;

/// What the decisions need of a path group.
pub struct Line {
    pub repeat: Idempotency,
    pub target: Duration,
    /// Until when an answer earns anything.
    pub useful: Duration,
    /// Mean benefit of all groups over this one's: over 1 for the cheap.
    pub cheapness: f64,
}

pub struct Figures {
    pub since: Duration,
    pub zone: ZoneId,
    pub sidecars: f64,
    pub own_number: u32,
    pub lines: Vec<Line>,
    /// The shortest target latency, in seconds.
    pub tightest: f64,
    pub on_request: bool,
    pub list_pushed: bool,
    pub list_lease: Option<Duration>,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub max_forwards: usize,
    pub retry_after: Duration,
    pub grace: Duration,
    pub cold_from: f64,
    pub cold_for: Duration,
    /// Twice that: a pod of such an age is warm for certain.
    pub long_warm: Duration,
    pub fall_multiple: f64,
    pub fall_within: Duration,
    pub clock: bool,
    pub stage_shares: Vec<f64>,
    pub caps: Vec<f64>,
    pub cap_window: Duration,
    pub cap_free: f64,
    pub cap_by_group: bool,
    pub guarded_stages: u8,
    pub keys_stay: bool,
    pub vote_life: Duration,
    pub vote_answer_within: Duration,
    /// Sidecars that it takes to send a build back, to hold a stage, and for any other verdict at the most.
    pub back_votes: f64,
    pub hold_votes: f64,
    pub most_votes: f64,
    /// Calls a second that the platform takes from all sidecars together.
    pub vote_allowance: f64,
}

impl Figures {
    pub fn of(now: Duration, terms: &SidecarConfig) -> Self {
        let (rules, release) = (&terms.safety, &terms.rollout);
        let mean = terms.classes.iter().map(|g| g.priority_weight).sum::<f64>()
            / terms.classes.len().max(1) as f64;
        let line = |g: &RequestClass| Line {
            repeat: g.idempotency,
            target: g.latency_objective,
            useful: if g.late_weight > 0.0 {
                g.client_timeout
            } else {
                g.latency_objective
            },
            cheapness: mean / g.priority_weight.max(1e-6),
        };
        let targets = terms
            .classes
            .iter()
            .map(|g| g.latency_objective.as_secs_f64());
        Self {
            since: now,
            zone: terms.zone,
            sidecars: f64::from(terms.sidecar_count.max(1)),
            own_number: terms.sidecar_index,
            lines: terms.classes.iter().map(line).collect(),
            tightest: targets.fold(f64::MAX, f64::min),
            on_request: terms.watch_on_request,
            list_pushed: terms.endpoints_pushed,
            list_lease: terms.endpoint_lease,
            may_cancel: terms.cancellation,
            second_copies: terms.hedging,
            max_forwards: terms.max_attempts.into(),
            retry_after: terms.retry_after.unwrap_or_default(),
            grace: rules.drain_grace,
            cold_from: rules.slow_start_from,
            cold_for: rules.slow_start_duration,
            long_warm: rules.slow_start_duration.saturating_mul(2),
            fall_multiple: rules.overload_multiple,
            fall_within: rules.overload_window,
            clock: release.control == Control::Clock,
            stage_shares: release.stage_shares.clone(),
            caps: release.exposure_caps.clone(),
            cap_window: release.exposure_window,
            cap_free: release.exposure_free,
            cap_by_group: release.exposure_per_class,
            guarded_stages: release.guarded_stages,
            keys_stay: release.sticky_keys,
            vote_life: release.vote_ttl,
            vote_answer_within: release.vote_timeout,
            back_votes: f64::from(release.rollback_quorum.clamp(1, terms.sidecar_count.max(1))),
            hold_votes: f64::from(release.hold_quorum.clamp(1, terms.sidecar_count.max(1))),
            most_votes: f64::from(
                release
                    .rollback_quorum
                    .max(release.promote_quorum)
                    .clamp(1, terms.sidecar_count.max(1)),
            ),
            vote_allowance: release.vote_rate_limit.unwrap_or(f64::INFINITY),
        }
    }

    pub fn line(&self, group: ClassId) -> &Line {
        &self.lines[usize::from(group.0)]
    }

    /// Which count of the exposure rule a path group belongs to.
    pub fn counter(&self, group: ClassId) -> usize {
        usize::from(if self.cap_by_group { group.0 } else { 0 })
    }

    /// How strong a pod surely is by now: cold ones grow at least evenly from a share to the whole.
    #[inline]
    pub fn strength(&self, started: Option<Duration>, now: Duration) -> f64 {
        // Long ago is told by a comparison alone: this is asked for each pod and hit.
        let grows = |at: &Duration| now.saturating_sub(*at) < self.long_warm;
        let Some(started) = started.filter(grows) else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64() / self.cold_for.as_secs_f64().max(1e-6);
        (self.cold_from + (1.0 - self.cold_from) * age).min(1.0)
    }
}
