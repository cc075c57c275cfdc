//! Values used by decisions, derived from the sidecar's configuration by renaming and arithmetic
//! only.

use crate::interface::{ClassId, Control, Idempotency, RequestClass, SidecarConfig, ZoneId};
use std::time::Duration;

/// The lower bound on a priority weight when it is used as a divisor.
const MIN_PRIORITY_WEIGHT: f64 = 1e-6;
/// The lower bound on the slow-start duration when it is used as a divisor, in seconds.
const MIN_SLOW_START_SECONDS: f64 = 1e-6;
/// The multiple of the slow-start duration after which a pod is always treated as warm.
const WARM_AGE_MULTIPLE: u32 = 2;

/// The settings of a request class that decisions use.
pub(crate) struct ClassConfig {
    pub(crate) idempotency: Idempotency,
    pub(crate) latency_objective: Duration,
    /// How long after its arrival a request can still get a useful response.
    pub(crate) useful_for: Duration,
    /// The mean priority weight of all classes divided by that of this class: over 1 for
    /// low-priority classes.
    pub(crate) inverse_priority: f64,
}

impl ClassConfig {
    fn new(class: &RequestClass, mean_priority: f64) -> Self {
        let useful_for = if class.late_weight > 0.0 {
            class.client_timeout
        } else {
            class.latency_objective
        };
        Self {
            idempotency: class.idempotency,
            latency_objective: class.latency_objective,
            useful_for,
            inverse_priority: mean_priority / class.priority_weight.max(MIN_PRIORITY_WEIGHT),
        }
    }
}

/// The sidecar's configuration in the form used by decisions.
pub(crate) struct DerivedConfig {
    pub(crate) started_at: Duration,
    pub(crate) zone: ZoneId,
    /// The number of sidecars in the fleet, at least 1.
    pub(crate) sidecar_count: f64,
    pub(crate) sidecar_index: u32,
    pub(crate) classes: Vec<ClassConfig>,
    /// The shortest latency objective of all classes, in seconds.
    pub(crate) min_latency_objective: f64,
    pub(crate) watch_on_request: bool,
    pub(crate) endpoints_pushed: bool,
    pub(crate) cancellation: bool,
    pub(crate) hedging: bool,
    pub(crate) max_attempts: usize,
    pub(crate) retry_after: Duration,
    pub(crate) drain_grace: Duration,
    /// The share of its full capacity that a pod has when it starts.
    pub(crate) slow_start_from: f64,
    pub(crate) slow_start_duration: Duration,
    /// The age from which a pod is always treated as warm.
    pub(crate) warm_age: Duration,
    pub(crate) overload_multiple: f64,
    pub(crate) overload_window: Duration,
    /// Whether stages advance by a clock rather than by votes.
    pub(crate) clock_controlled: bool,
    pub(crate) stage_shares: Vec<f64>,
    pub(crate) exposure_caps: Vec<f64>,
    pub(crate) exposure_window: Duration,
    pub(crate) exposure_free: f64,
    pub(crate) exposure_per_class: bool,
    pub(crate) guarded_stages: u8,
    pub(crate) sticky_keys: bool,
    pub(crate) vote_ttl: Duration,
    pub(crate) vote_timeout: Duration,
    /// The number of sidecars required to roll a build back.
    pub(crate) rollback_quorum: f64,
    /// The number of sidecars required to hold a stage.
    pub(crate) hold_quorum: f64,
    /// The larger of the quorums to roll back and to promote.
    pub(crate) max_quorum: f64,
    /// The number of votes per second that are accepted from all sidecars together.
    pub(crate) vote_rate_limit: f64,
}

impl DerivedConfig {
    pub(crate) fn new(now: Duration, config: &SidecarConfig) -> Self {
        let (safety, rollout) = (&config.safety, &config.rollout);
        let sidecar_count = config.sidecar_count.max(1);
        let quorum = |votes: u32| f64::from(votes.clamp(1, sidecar_count));
        Self {
            started_at: now,
            zone: config.zone,
            sidecar_count: f64::from(sidecar_count),
            sidecar_index: config.sidecar_index,
            classes: derive_classes(&config.classes),
            min_latency_objective: min_latency_objective(&config.classes),
            watch_on_request: config.watch_on_request,
            endpoints_pushed: config.endpoints_pushed,
            cancellation: config.cancellation,
            hedging: config.hedging,
            max_attempts: config.max_attempts.into(),
            retry_after: config.retry_after.unwrap_or_default(),
            drain_grace: safety.drain_grace,
            slow_start_from: safety.slow_start_from,
            slow_start_duration: safety.slow_start_duration,
            warm_age: safety.slow_start_duration.saturating_mul(WARM_AGE_MULTIPLE),
            overload_multiple: safety.overload_multiple,
            overload_window: safety.overload_window,
            clock_controlled: rollout.control == Control::Clock,
            stage_shares: rollout.stage_shares.clone(),
            exposure_caps: rollout.exposure_caps.clone(),
            exposure_window: rollout.exposure_window,
            exposure_free: rollout.exposure_free,
            exposure_per_class: rollout.exposure_per_class,
            guarded_stages: rollout.guarded_stages,
            sticky_keys: rollout.sticky_keys,
            vote_ttl: rollout.vote_ttl,
            vote_timeout: rollout.vote_timeout,
            rollback_quorum: quorum(rollout.rollback_quorum),
            hold_quorum: quorum(rollout.hold_quorum),
            max_quorum: quorum(rollout.rollback_quorum.max(rollout.promote_quorum)),
            vote_rate_limit: rollout.vote_rate_limit.unwrap_or(f64::INFINITY),
        }
    }

    pub(crate) fn class(&self, class: ClassId) -> &ClassConfig {
        &self.classes[usize::from(class.0)]
    }

    /// Returns the index of the exposure counter for a request class.
    pub(crate) fn exposure_counter(&self, class: ClassId) -> usize {
        if self.exposure_per_class {
            usize::from(class.0)
        } else {
            0
        }
    }

    /// Returns the share of its full capacity that a pod is guaranteed to have now. During slow
    /// start, it grows at least linearly from `slow_start_from` to 1.
    #[inline]
    pub(crate) fn capacity_factor(&self, started_at: Option<Duration>, now: Duration) -> f64 {
        // This runs for each pod and request, so pods that started long ago take a fast path.
        let may_be_cold = |at: &Duration| now.saturating_sub(*at) < self.warm_age;
        let Some(started_at) = started_at.filter(may_be_cold) else {
            return 1.0;
        };
        let progress = now.saturating_sub(started_at).as_secs_f64()
            / self
                .slow_start_duration
                .as_secs_f64()
                .max(MIN_SLOW_START_SECONDS);
        (self.slow_start_from + (1.0 - self.slow_start_from) * progress).min(1.0)
    }
}

fn derive_classes(classes: &[RequestClass]) -> Vec<ClassConfig> {
    let total_priority = classes
        .iter()
        .map(|class| class.priority_weight)
        .sum::<f64>();
    let mean_priority = total_priority / classes.len().max(1) as f64;
    classes
        .iter()
        .map(|class| ClassConfig::new(class, mean_priority))
        .collect()
}

fn min_latency_objective(classes: &[RequestClass]) -> f64 {
    classes
        .iter()
        .map(|class| class.latency_objective.as_secs_f64())
        .fold(f64::MAX, f64::min)
}
