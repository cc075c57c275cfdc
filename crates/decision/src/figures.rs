//! The start terms turned into the few figures that decisions use. Renaming and arithmetic only: no value is
//! chosen here.

use crate::interface::*;
use std::time::Duration;

/// What the decisions need of a path group.
pub struct ClassConfig {
    pub idempotency: Idempotency,
    pub latency_objective: Duration,
    /// Until when an answer earns anything.
    pub useful_for: Duration,
    /// Mean benefit of all groups over this one's: over 1 for the cheap.
    pub inverse_priority: f64,
}

pub struct DerivedConfig {
    pub started_at: Duration,
    pub zone: ZoneId,
    pub sidecar_count: f64,
    pub sidecar_index: u32,
    pub classes: Vec<ClassConfig>,
    /// The shortest target latency, in seconds.
    pub min_latency_objective: f64,
    pub watch_on_request: bool,
    pub endpoints_pushed: bool,
    pub endpoint_lease: Option<Duration>,
    pub cancellation: bool,
    pub hedging: bool,
    pub max_attempts: usize,
    pub retry_after: Duration,
    pub drain_grace: Duration,
    pub slow_start_from: f64,
    pub slow_start_duration: Duration,
    /// Twice that: a pod of such an age is warm for certain.
    pub certainly_warm_age: Duration,
    pub overload_multiple: f64,
    pub overload_window: Duration,
    pub clock_controlled: bool,
    pub stage_shares: Vec<f64>,
    pub exposure_caps: Vec<f64>,
    pub exposure_window: Duration,
    pub exposure_free: f64,
    pub exposure_per_class: bool,
    pub guarded_stages: u8,
    pub sticky_keys: bool,
    pub vote_ttl: Duration,
    pub vote_timeout: Duration,
    /// Sidecars that it takes to send a build back, to hold a stage, and for any other verdict at the most.
    pub rollback_quorum: f64,
    pub hold_quorum: f64,
    pub max_quorum: f64,
    /// Calls a second that the platform takes from all sidecars together.
    pub vote_rate_limit: f64,
}

impl DerivedConfig {
    pub fn new(now: Duration, terms: &SidecarConfig) -> Self {
        let (rules, release) = (&terms.safety, &terms.rollout);
        let mean = terms.classes.iter().map(|g| g.priority_weight).sum::<f64>()
            / terms.classes.len().max(1) as f64;
        let line = |g: &RequestClass| ClassConfig {
            idempotency: g.idempotency,
            latency_objective: g.latency_objective,
            useful_for: if g.late_weight > 0.0 {
                g.client_timeout
            } else {
                g.latency_objective
            },
            inverse_priority: mean / g.priority_weight.max(1e-6),
        };
        let targets = terms
            .classes
            .iter()
            .map(|g| g.latency_objective.as_secs_f64());
        Self {
            started_at: now,
            zone: terms.zone,
            sidecar_count: f64::from(terms.sidecar_count.max(1)),
            sidecar_index: terms.sidecar_index,
            classes: terms.classes.iter().map(line).collect(),
            min_latency_objective: targets.fold(f64::MAX, f64::min),
            watch_on_request: terms.watch_on_request,
            endpoints_pushed: terms.endpoints_pushed,
            endpoint_lease: terms.endpoint_lease,
            cancellation: terms.cancellation,
            hedging: terms.hedging,
            max_attempts: terms.max_attempts.into(),
            retry_after: terms.retry_after.unwrap_or_default(),
            drain_grace: rules.drain_grace,
            slow_start_from: rules.slow_start_from,
            slow_start_duration: rules.slow_start_duration,
            certainly_warm_age: rules.slow_start_duration.saturating_mul(2),
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window,
            clock_controlled: release.control == Control::Clock,
            stage_shares: release.stage_shares.clone(),
            exposure_caps: release.exposure_caps.clone(),
            exposure_window: release.exposure_window,
            exposure_free: release.exposure_free,
            exposure_per_class: release.exposure_per_class,
            guarded_stages: release.guarded_stages,
            sticky_keys: release.sticky_keys,
            vote_ttl: release.vote_ttl,
            vote_timeout: release.vote_timeout,
            rollback_quorum: f64::from(
                release.rollback_quorum.clamp(1, terms.sidecar_count.max(1)),
            ),
            hold_quorum: f64::from(release.hold_quorum.clamp(1, terms.sidecar_count.max(1))),
            max_quorum: f64::from(
                release
                    .rollback_quorum
                    .max(release.promote_quorum)
                    .clamp(1, terms.sidecar_count.max(1)),
            ),
            vote_rate_limit: release.vote_rate_limit.unwrap_or(f64::INFINITY),
        }
    }

    pub fn class(&self, group: ClassId) -> &ClassConfig {
        &self.classes[usize::from(group.0)]
    }

    /// Which count of the exposure rule a path group belongs to.
    pub fn exposure_counter(&self, group: ClassId) -> usize {
        usize::from(if self.exposure_per_class { group.0 } else { 0 })
    }

    /// How strong a pod surely is by now: cold ones grow at least evenly from a share to the whole.
    #[inline]
    pub fn capacity_factor(&self, started: Option<Duration>, now: Duration) -> f64 {
        // Long ago is told by a comparison alone: this is asked for each pod and hit.
        let grows = |at: &Duration| now.saturating_sub(*at) < self.certainly_warm_age;
        let Some(started) = started.filter(grows) else {
            return 1.0;
        };
        let age = now.saturating_sub(started).as_secs_f64()
            / self.slow_start_duration.as_secs_f64().max(1e-6);
        (self.slow_start_from + (1.0 - self.slow_start_from) * age).min(1.0)
    }
}
