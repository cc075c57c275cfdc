//! Configuration of a soak test.

use limewing_decision::interface::{
    Control, DeduplicationScope, Idempotency, RequestClass, RolloutConfig, SafetyLimits,
    SidecarConfig, ZoneId,
};
use std::time::Duration;

/// Time that clients wait for a response.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the fleet that runs the new build in each stage.
pub(crate) const STAGE_SHARES: [f64; 3] = [0.1, 0.35, 1.0];
/// Maximum fraction of requests sent to the new build in each stage.
pub(crate) const EXPOSURE_CAPS: [f64; 3] = [0.14, 0.45, 1.0];
/// Number of request classes.
pub(crate) const CLASS_COUNT: u16 = 3;
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// Parameters of the load and the fleet in a soak test.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Number of pods in the fleet.
    pub pods: usize,
    /// Average request rate, in requests per second, while load is sent.
    pub requests_per_second: f64,
    /// Number of requests per day. Once all of them have arrived, the rest of the day is idle.
    pub requests_per_day: u64,
    /// Build that is released at the start.
    pub build: u16,
    /// Whether a routing key stays with the newest build that has served it.
    pub sticky_keys: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Step of the simulated clock while no request is in flight. A real host wakes up more often, but delivers as few events.
    pub idle_step: Duration,
}

/// Returns the configuration of the decision engine.
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
