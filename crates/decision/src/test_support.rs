//! Test fixtures shared by several modules.

use crate::balancer::LoadBalancer;
use crate::context::Context;
use crate::endpoint_table::EndpointSnapshot;
use crate::hashing::rendezvous_rank;
use crate::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, BuildId, CellId, ClassId, Control,
    DeduplicationScope, Endpoint, EndpointUpdate, Event, Idempotency, MachineTypeId, Phase, PodId,
    PodState, Request, RequestClass, RequestId, RolloutConfig, SafetyLimits, SidecarConfig,
    StageIndex, StageOrder, StageUpdate, TenantId, WatchLoss, WatchLossCause, ZoneId,
};
use crate::message::AttemptEnded;
use crate::request_state::OpenRequest;
use crate::statistics::RunningMean;
use std::time::Duration;

pub(crate) const CALL_REFUSED: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::Refused,
};
pub(crate) const CALL_UNANSWERED: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::TimedOut,
};
pub(crate) const WATCH_ENDED: WatchLoss = WatchLoss {
    silent_for: Duration::ZERO,
    cause: WatchLossCause::Ended,
};

/// The duration in seconds of the endpoint list's lease in `leased_context`.
pub(crate) const LEASE_SECONDS: f64 = 6.0;

pub(crate) fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        idempotency,
        latency_objective: at(1.0),
        client_timeout: at(3.0),
        priority_weight: 1.0,
        late_weight: 0.0,
        streaming: false,
    }
}

const KEYED: Idempotency = Idempotency::Keyed {
    deduplicated_by: DeduplicationScope::Zone,
    window: Duration::from_secs(2),
};

/// Returns a configuration with the request classes 0 (idempotent), 1 (keyed within a zone) and 2
/// (not idempotent).
pub(crate) fn sidecar_config() -> SidecarConfig {
    SidecarConfig {
        seed: 7,
        sidecar_count: 2,
        sidecar_index: 1,
        zone: ZoneId(0),
        classes: vec![
            request_class(Idempotency::Idempotent),
            request_class(KEYED),
            request_class(Idempotency::NonIdempotent),
        ],
        watch_on_request: false,
        endpoints_pushed: false,
        endpoint_lease: None,
        cancellation: true,
        hedging: true,
        retry_after: None,
        max_attempts: 3,
        safety: SafetyLimits {
            drain_grace: at(1.0),
            slow_start_from: 0.4,
            slow_start_duration: at(4.0),
            overload_multiple: 2.0,
            overload_window: at(2.0),
        },
        rollout: RolloutConfig {
            control: Control::Clock,
            stage_shares: vec![0.1, 1.0],
            exposure_caps: vec![0.2, 1.0],
            exposure_window: at(2.0),
            exposure_free: 1.0,
            exposure_per_class: false,
            guarded_stages: 1,
            sticky_keys: true,
            vote_ttl: at(4.0),
            vote_timeout: at(1.0),
            rollback_quorum: 1,
            hold_quorum: 1,
            promote_quorum: 0,
            vote_rate_limit: None,
        },
    }
}

pub(crate) fn context(now: f64) -> Context {
    let mut context = Context::new(Duration::ZERO, &sidecar_config());
    context.now = at(now);
    context
}

/// Returns the context of a sidecar whose endpoint list has a lease.
pub(crate) fn leased_context(now: f64) -> Context {
    let config = SidecarConfig {
        endpoint_lease: Some(at(LEASE_SECONDS)),
        ..sidecar_config()
    };
    let mut context = Context::new(Duration::ZERO, &config);
    context.now = at(now);
    context
}

pub(crate) fn watch_lost(loss: WatchLoss) -> Event {
    Event::Endpoints(EndpointUpdate::WatchLost(loss))
}

/// Returns a ready, warm pod; the zone is its id modulo 2.
pub(crate) fn endpoint(id: u64, build: u16) -> Endpoint {
    Endpoint {
        pod: PodId(id),
        state: PodState::Ready,
        build: BuildId(build),
        weight: 1.0,
        started_at: None,
        zone: ZoneId(id as u16 % 2),
        cell: CellId(0),
        machine_type: MachineTypeId(0),
    }
}

/// Returns build 2 in its first stage.
pub(crate) fn stage_update(phase: Phase, cap: f64) -> StageUpdate {
    StageUpdate {
        build: BuildId(2),
        stage: StageIndex(0),
        phase,
        cap,
        age: Duration::ZERO,
        order: StageOrder::default(),
    }
}

/// Returns a request of class 0 with a deadline at 9 s.
pub(crate) fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        routing_key: None,
        deadline: at(9.0),
    }
}

/// Returns the end of an attempt of request 0 at pod 0, sent at 1 s.
pub(crate) fn attempt_ended(outcome: AttemptOutcome) -> AttemptEnded {
    AttemptEnded {
        result: AttemptResult {
            request: RequestId(0),
            attempt: AttemptIndex(0),
            pod: PodId(0),
            outcome,
            duration: at(0.002),
            request_closed: false,
        },
        class: ClassId(0),
        build: BuildId(1),
        sent_at: at(1.0),
        request_open: true,
        tenant: None,
        tenant_outlier: false,
    }
}

/// Returns a usable pod whose latency is a fifth of the latency objective.
pub(crate) fn snapshot(endpoint: Endpoint) -> EndpointSnapshot {
    EndpointSnapshot {
        rank: rendezvous_rank(1, endpoint.pod.0),
        endpoint,
        ready: true,
        in_flight: 0,
        latency_ratio: RunningMean {
            value: 0.2,
            count: 10,
        },
        usable: true,
        wants_health_check: false,
        last_served_at: Duration::ZERO,
    }
}

/// Returns a load balancer with the given number of identical pods, and request 0 of tenant 0.
pub(crate) fn balancer(pods: u64) -> LoadBalancer {
    let mut balancer = LoadBalancer::default();
    for id in 0..pods {
        balancer.table.put(snapshot(endpoint(id, 1)));
    }
    let request = Request {
        tenant: Some(TenantId(0)),
        ..request(0)
    };
    balancer
        .requests
        .insert(request.id, OpenRequest::new(&request, at(5.0)));
    balancer
}
