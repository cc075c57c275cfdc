//! Converts the settings of a sidecar into the decision engine's configuration.

use crate::request_class::{DeduplicationScope, Idempotency, RequestClass};
use crate::rollout::{Control, RolloutSettings};
use crate::safety_limits::SafetyLimits;
use crate::sidecar::SidecarSettings;
use limewing_decision::interface::{self as decision, RolloutConfig, SidecarConfig, ZoneId};

impl SidecarSettings {
    /// The decision engine's configuration. The proxy receives endpoint lists through a watch, which it opens when the
    /// engine requests it.
    #[must_use]
    pub fn sidecar_config(&self, seed: u64) -> SidecarConfig {
        let limits = &self.limits;
        SidecarConfig {
            seed,
            sidecar_count: self.fleet.sidecar_count,
            sidecar_index: self.fleet.sidecar_index,
            zone: self.zone_id(),
            classes: self.classes.iter().map(request_class).collect(),
            watch_on_request: true,
            endpoints_pushed: false,
            endpoint_lease: None,
            cancellation: limits.cancellation,
            hedging: limits.hedging,
            retry_after: limits.retry_after.map(Into::into),
            max_attempts: limits.max_attempts,
            safety: safety_limits(&self.safety),
            rollout: rollout_config(&self.rollout),
        }
    }

    /// The id of the sidecar's zone. A zone that is not among the fleet's, which validation rejects, gets the id of the
    /// first.
    fn zone_id(&self) -> ZoneId {
        let mut zones = self.fleet.zones.iter();
        let index = zones.position(|zone| *zone == self.fleet.zone);
        ZoneId(index.unwrap_or(0) as u16)
    }
}

fn request_class(class: &RequestClass) -> decision::RequestClass {
    decision::RequestClass {
        idempotency: idempotency(class.idempotency),
        latency_objective: class.latency_objective.into(),
        client_timeout: class.client_timeout.into(),
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        streaming: class.streaming,
    }
}

fn idempotency(idempotency: Idempotency) -> decision::Idempotency {
    match idempotency {
        Idempotency::Idempotent => decision::Idempotency::Idempotent,
        Idempotency::NonIdempotent => decision::Idempotency::NonIdempotent,
        Idempotency::Keyed {
            deduplicated_by,
            window,
        } => decision::Idempotency::Keyed {
            deduplicated_by: deduplication_scope(deduplicated_by),
            window: window.into(),
        },
    }
}

fn deduplication_scope(scope: DeduplicationScope) -> decision::DeduplicationScope {
    match scope {
        DeduplicationScope::All => decision::DeduplicationScope::All,
        DeduplicationScope::Zone => decision::DeduplicationScope::Zone,
        DeduplicationScope::Cell => decision::DeduplicationScope::Cell,
    }
}

fn safety_limits(limits: &SafetyLimits) -> decision::SafetyLimits {
    decision::SafetyLimits {
        drain_grace: limits.drain_grace.into(),
        slow_start_from: limits.slow_start_from,
        slow_start_duration: limits.slow_start_duration.into(),
        overload_multiple: limits.overload_multiple,
        overload_window: limits.overload_window.into(),
    }
}

fn rollout_config(rollout: &RolloutSettings) -> RolloutConfig {
    RolloutConfig {
        control: match rollout.control {
            Control::Votes => decision::Control::Votes,
            Control::Clock => decision::Control::Clock,
        },
        stage_shares: rollout.stages.iter().map(|stage| stage.share).collect(),
        exposure_caps: rollout.stages.iter().map(|stage| stage.cap).collect(),
        exposure_window: rollout.exposure_window.into(),
        exposure_free: rollout.exposure_free,
        exposure_per_class: rollout.exposure_per_class,
        guarded_stages: rollout.guarded_stages,
        sticky_keys: rollout.sticky_keys,
        vote_ttl: rollout.vote_ttl.into(),
        vote_timeout: rollout.vote_timeout.into(),
        rollback_quorum: rollout.rollback_quorum,
        hold_quorum: rollout.hold_quorum,
        promote_quorum: rollout.promote_quorum,
        vote_rate_limit: rollout.vote_rate_limit,
    }
}
