//! Load shedding: estimates how far the queue ahead of a new request exceeds what its latency
//! objective allows.

use crate::context::Context;
use crate::endpoint_table::EndpointTable;
use crate::interface::{AttemptOutcome, ClassId, TenantId};
use crate::message::AttemptEnded;
use crate::request_state::OpenRequest;
use crate::slow_start::RATE_SMOOTHING;
use crate::statistics::{DecayingMean, SmoothedRate};
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The maximum probability of shedding. The remaining requests reveal when the overload ends.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// The probability of shedding at full overload for a class of mean priority, before the maximum is
/// applied.
const SHED_PER_OVERLOAD: f64 = 2.0;
/// The time constant of the decay of a tenant's latency while none of its attempts end.
const TENANT_LATENCY_DECAY: Duration = Duration::from_secs(4);
/// The weight of the prior that shrinks a tenant's latency towards 0, as a number of attempts.
const TENANT_LATENCY_PRIOR: f64 = 0.5;
/// The latency, in latency objectives, from which a tenant's requests are assumed to wait for a
/// resource of their own.
const SLOW_TENANT_LATENCY_RATIO: f64 = 1.0;
/// The upper bound on the latency of a single attempt, in latency objectives.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// The latency recorded for a rejection, in latency objectives.
const REJECTION_LATENCY_RATIO: f64 = 1.0;
/// The period over which a tenant's latency is averaged, in seconds.
const TENANT_LATENCY_SECONDS: f64 = 0.5;
/// The minimum number of attempts over which a tenant's latency is averaged.
const MIN_TENANT_LATENCY_SAMPLES: f64 = 5.0;
/// The lower bound on the rate of successes per second when it is used as a divisor.
const MIN_SUCCESS_RATE: f64 = 5.0;
/// The wait at which shedding begins, as a share of the latency objective.
const SHED_FROM_WAIT: f64 = 0.45;
/// The additional wait at which shedding reaches its full extent, as a share of the latency
/// objective.
const SHED_RANGE: f64 = 0.6;

/// Estimates the wait of a new request.
#[derive(Default)]
pub(crate) struct OverloadEstimator {
    success_rate: SmoothedRate,
    /// The latency of each tenant's recent attempts, in latency objectives.
    tenant_latency: BTreeMap<Option<TenantId>, DecayingMean>,
}

impl OverloadEstimator {
    /// Returns the probability, from 0 to 1, that a new request is shed.
    pub(crate) fn shed_probability<'a>(
        &self,
        class: ClassId,
        tenant: Option<TenantId>,
        open: impl Iterator<Item = &'a OpenRequest>,
        table: &EndpointTable,
        context: &Context,
    ) -> f64 {
        let overload = self.overload(tenant, open, table, context);
        let priority = context.config.class(class).inverse_priority;
        (overload * SHED_PER_OVERLOAD * priority).min(MAX_SHED_PROBABILITY)
    }

    /// Returns how far the wait ahead of a new request, estimated by Little's law, exceeds what the
    /// latency objective allows: from 0 to 1.
    fn overload<'a>(
        &self,
        tenant: Option<TenantId>,
        open: impl Iterator<Item = &'a OpenRequest>,
        table: &EndpointTable,
        context: &Context,
    ) -> f64 {
        let now = context.now;
        // No rate has been measured before the first responses.
        if now < context.config.started_at + RATE_SMOOTHING {
            return 0.0;
        }
        let is_queued = |request: &&OpenRequest| {
            let usable = || {
                let snapshot = request.last_pod.and_then(|pod| table.get(pod));
                snapshot.is_some_and(|snapshot| snapshot.usable)
            };
            request.attempts_in_flight > 0
                && self.tenant_latency(request.tenant, now) < SLOW_TENANT_LATENCY_RATIO
                && usable()
        };
        let queued = open.filter(is_queued).count() as f64;
        // The number of open requests of a low-traffic sidecar is dominated by chance, so its
        // recent latencies are better evidence.
        let success_rate = self.success_rate.per_second(now, RATE_SMOOTHING);
        let queue_seconds = (queued - queued.sqrt()) / success_rate.max(MIN_SUCCESS_RATE);
        let wait = (queue_seconds / context.config.min_latency_objective)
            .max(self.tenant_latency(tenant, now));
        ((wait - SHED_FROM_WAIT) / SHED_RANGE).clamp(0.0, 1.0)
    }

    /// Returns the recent latency of a tenant's attempts, in latency objectives. It decays because
    /// nothing is measured while every request is shed. It is kept per tenant so that requests that
    /// wait for a resource of their own on every pod, and occupy capacity shared by all tenants,
    /// are shed first.
    fn tenant_latency(&self, tenant: Option<TenantId>, now: Duration) -> f64 {
        self.tenant_latency.get(&tenant).map_or(0.0, |latency| {
            latency.shrunk_mean(now, TENANT_LATENCY_DECAY, TENANT_LATENCY_PRIOR)
        })
    }

    /// Records the latency of an attempt that ended and returns it in latency objectives.
    pub(crate) fn record(&mut self, ended: &AttemptEnded, context: &Context) -> f64 {
        let now = context.now;
        let objective = context.config.class(ended.class).latency_objective;
        let latency_ratio = if ended.result.outcome == AttemptOutcome::Rejected {
            REJECTION_LATENCY_RATIO
        } else {
            let ratio = ended.result.duration.as_secs_f64() / objective.as_secs_f64();
            ratio.min(MAX_LATENCY_RATIO)
        };
        // The mean covers few attempts, because a low-traffic sidecar would otherwise shed long
        // after an overload. A busy sidecar averages half a second of attempts.
        let samples = (self.success_rate.per_second(now, RATE_SMOOTHING) * TENANT_LATENCY_SECONDS)
            .max(MIN_TENANT_LATENCY_SAMPLES);
        self.tenant_latency.entry(ended.tenant).or_default().add(
            latency_ratio,
            now,
            TENANT_LATENCY_DECAY,
            samples,
        );
        if ended.result.outcome == AttemptOutcome::Succeeded {
            self.success_rate.record(now, RATE_SMOOTHING);
        }
        latency_ratio
    }
}
