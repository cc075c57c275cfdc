//! What a soak is run with.

use limewing_decision::interface::{
    Control, DeduplicationScope, Idempotency, RequestClass, RolloutConfig, SafetyLimits,
    SidecarConfig, ZoneId,
};
use std::time::Duration;

/// How long clients wait for an answer.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The share of the fleet that runs the new build in each stage.
pub(crate) const STAGE_SHARES: [f64; 3] = [0.1, 0.35, 1.0];
/// The share of the requests that the new build may get in each stage.
pub(crate) const EXPOSURE_CAPS: [f64; 3] = [0.14, 0.45, 1.0];
/// The number of request classes.
pub(crate) const CLASS_COUNT: u16 = 3;
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The load and the fleet of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Pods of the fleet.
    pub pods: usize,
    /// Requests a second, on average, while there are any.
    pub requests_per_second: f64,
    /// Requests a day; once they are spent the rest of the day is idle.
    pub requests_per_day: u64,
    /// The first build.
    pub build: u16,
    /// Whether a routing key that a newer build has served stays there.
    pub sticky_keys: bool,
    /// What all draws come from.
    pub seed: u64,
    /// The step of the clock while nothing is in flight. A real host wakes more often, and has as little to tell.
    pub idle_step: Duration,
}

/// The configuration of the decisions.
pub(crate) fn sidecar_config(config: &SoakConfig) -> SidecarConfig {
    let keyed = Idempotency::Keyed {
        deduplicated_by: DeduplicationScope::All,
        window: CLIENT_TIMEOUT,
    };
    SidecarConfig {
        seed: config.seed,
        sidecar_count: 3,
        sidecar_index: 0,
        zone: ZoneId(0),
        classes: vec![
            request_class(Idempotency::Idempotent, 1.0),
            request_class(keyed, 3.0),
            request_class(Idempotency::NonIdempotent, 5.0),
        ],
        watch_on_request: true,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: true,
        hedging: true,
        retry_after: Some(Duration::from_millis(500)),
        max_attempts: 6,
        safety: SafetyLimits {
            drain_grace: Duration::from_secs(1),
            slow_start_from: 0.35,
            slow_start_duration: Duration::from_secs(3),
            overload_multiple: 2.0,
            overload_window: Duration::from_secs(3),
        },
        rollout: rollout_config(config.sticky_keys),
    }
}

fn request_class(idempotency: Idempotency, priority_weight: f64) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: LATENCY_OBJECTIVE,
        client_timeout: CLIENT_TIMEOUT,
        priority_weight,
        late_weight: 0.0,
        streaming: false,
    }
}

fn rollout_config(sticky_keys: bool) -> RolloutConfig {
    RolloutConfig {
        control: Control::Clock,
        stage_shares: STAGE_SHARES.to_vec(),
        exposure_caps: EXPOSURE_CAPS.to_vec(),
        exposure_window: Duration::from_secs(2),
        exposure_free: 1.0,
        exposure_per_class: true,
        guarded_stages: 0,
        sticky_keys,
        vote_ttl: Duration::from_secs(4),
        vote_timeout: Duration::from_secs(1),
        rollback_quorum: 1,
        hold_quorum: 1,
        promote_quorum: 1,
        vote_rate_limit: None,
    }
}
