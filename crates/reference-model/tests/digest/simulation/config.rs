//! Generates the random configuration of a sidecar.

use super::ms;
use limewing_decision::interface::{
    Control, DeduplicationScope, Idempotency, RequestClass, RolloutConfig, SafetyLimits,
    SidecarConfig, ZoneId,
};
use rand::rngs::StdRng;
use rand::RngExt;

fn class(idempotency: Idempotency, latency: u64, timeout: u64, streaming: bool) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: ms(latency),
        client_timeout: ms(timeout),
        priority_weight: latency as f64 / 300.0,
        late_weight: if latency == 300 { 0.2 } else { 0.0 },
        streaming,
    }
}

pub(super) fn draw_config(seed: u64, rng: &mut StdRng) -> SidecarConfig {
    let deduplicated_by = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][rng.random_range(0..3)];
    let keyed = Idempotency::Keyed {
        deduplicated_by,
        window: ms(1500),
    };
    let control = [Control::Votes, Control::Clock][(seed % 2) as usize];
    let watch_on_request = rng.random_bool(0.8);
    let has_lease = watch_on_request && rng.random_bool(0.6);
    SidecarConfig {
        seed: rng.random_range(0..u64::MAX),
        sidecar_count: rng.random_range(1..=5),
        sidecar_index: 0,
        zone: ZoneId(rng.random_range(0..2)),
        classes: vec![
            class(Idempotency::Idempotent, 300, 1200, false),
            class(keyed, 600, 2500, false),
            class(Idempotency::NonIdempotent, 500, 2000, false),
            class(Idempotency::Idempotent, 600, 1500, true),
        ],
        watch_on_request,
        endpoints_pushed: false,
        endpoint_lease: has_lease.then_some(ms(2000)),
        cancellation: rng.random_bool(0.7),
        hedging: rng.random_bool(0.7),
        retry_after: rng.random_bool(0.6).then_some(ms(500)),
        max_attempts: rng.random_range(2..=6),
        safety: SafetyLimits {
            drain_grace: ms([500, 1000][rng.random_range(0..2)]),
            slow_start_from: 0.35,
            slow_start_duration: ms(3400),
            overload_multiple: [2.0, 2.5][rng.random_range(0..2)],
            overload_window: ms([1000, 1500, 3000][rng.random_range(0..3)]),
        },
        rollout: RolloutConfig {
            control,
            stage_shares: vec![0.15, 0.4, 1.0],
            exposure_caps: vec![0.2, 0.5, 1.0],
            exposure_window: ms(2000),
            exposure_free: 1.0,
            exposure_per_class: rng.random_bool(0.5),
            guarded_stages: rng.random_range(0..3),
            sticky_keys: rng.random_bool(0.5),
            vote_ttl: ms(4000),
            vote_timeout: ms(1000),
            rollback_quorum: rng.random_range(1..3),
            hold_quorum: 1,
            promote_quorum: rng.random_range(1..3),
            vote_rate_limit: rng.random_bool(0.5).then_some(5.0),
        },
    }
}
