//! The pods, sidecars and load of the trials.

use super::TrialPlan;
use limewing_coordination::{stable_key, Pod};
use limewing_decision::interface::{
    BuildId, CellId, Control, Endpoint, Idempotency, MachineTypeId, PodId, PodState, RequestClass,
    RolloutConfig, SafetyLimits, SidecarConfig, ZoneId,
};
use std::time::Duration;

/// The window over which a warming pod's load is measured.
pub(super) const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// The duration of a pod's slow start.
pub(super) const SLOW_START_DURATION: Duration = Duration::from_secs(6);
/// The fraction of its capacity that a pod starts with.
pub(super) const SLOW_START_FROM: f64 = 0.35;
/// The time that a pod takes to answer.
pub(super) const ANSWER_TIME_SECONDS: f64 = 0.1;
/// The client timeout.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// One in this many sidecars has `HEAVY_FACTOR` times the traffic of the others.
const HEAVY_SIDECAR_INTERVAL: usize = 5;
const HEAVY_FACTOR: f64 = 5.0;
/// The request rate of the other sidecars.
const REQUESTS_PER_SECOND: f64 = 4.0;
/// The number of zones, to which pods and sidecars are assigned in turn.
const ZONE_COUNT: u16 = 3;
/// One in this many pods has twice the capacity of the others.
const STRONG_POD_INTERVAL: usize = 3;
/// Separates the seeds of sidecars of different trials.
const SEED_FACTOR: u64 = 1_000_003;
/// The lower bound of divisors that are 0 where nothing was sent.
pub(super) const MIN_DIVISOR: f64 = 1e-9;

pub(super) fn capacity(pod: usize) -> f64 {
    if pod.is_multiple_of(STRONG_POD_INTERVAL) {
        2.0
    } else {
        1.0
    }
}

pub(super) fn zone(number: usize) -> u16 {
    number as u16 % ZONE_COUNT
}

pub(super) fn request_rate(sidecar: usize) -> f64 {
    if sidecar.is_multiple_of(HEAVY_SIDECAR_INTERVAL) {
        REQUESTS_PER_SECOND * HEAVY_FACTOR
    } else {
        REQUESTS_PER_SECOND
    }
}

pub(super) fn sidecar_key(sidecar: usize) -> u64 {
    stable_key(&format!("s{sidecar}"))
}

pub(super) fn pod_key(pod: usize) -> u64 {
    stable_key(&format!("pod {pod}"))
}

pub(super) fn coordinated_pod(pod: usize) -> Pod {
    Pod {
        key: pod_key(pod),
        zone: zone(pod),
        capacity: capacity(pod),
    }
}

pub(super) fn endpoint(pod: usize, started_at: Option<Duration>) -> Endpoint {
    Endpoint {
        pod: PodId(pod as u64),
        state: PodState::Ready,
        build: BuildId(1),
        weight: capacity(pod),
        started_at,
        zone: ZoneId(zone(pod)),
        cell: CellId(0),
        machine_type: MachineTypeId(0),
    }
}

pub(super) fn sidecar_config(number: usize, plan: &TrialPlan) -> SidecarConfig {
    let seed = plan.seed.wrapping_mul(SEED_FACTOR);
    SidecarConfig {
        seed: seed.wrapping_add(number as u64),
        sidecar_count: plan.sidecars as u32,
        sidecar_index: number as u32,
        zone: ZoneId(zone(number)),
        classes: vec![request_class()],
        watch_on_request: false,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: false,
        hedging: false,
        retry_after: None,
        max_attempts: 4,
        safety: SafetyLimits {
            drain_grace: Duration::from_secs(1),
            slow_start_from: SLOW_START_FROM,
            slow_start_duration: SLOW_START_DURATION,
            overload_multiple: 2.0,
            overload_window: OVERLOAD_WINDOW,
        },
        rollout: rollout_config(),
    }
}

fn request_class() -> RequestClass {
    RequestClass {
        idempotency: Idempotency::Idempotent,
        latency_objective: Duration::from_secs(1),
        client_timeout: CLIENT_TIMEOUT,
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    }
}

fn rollout_config() -> RolloutConfig {
    RolloutConfig {
        control: Control::Clock,
        stage_shares: vec![1.0],
        exposure_caps: vec![1.0],
        exposure_window: Duration::from_secs(2),
        exposure_free: 1.0,
        exposure_per_class: false,
        guarded_stages: 0,
        sticky_keys: false,
        vote_ttl: Duration::from_secs(4),
        vote_timeout: Duration::from_secs(1),
        rollback_quorum: 1,
        hold_quorum: 1,
        promote_quorum: 0,
        vote_rate_limit: None,
    }
}
