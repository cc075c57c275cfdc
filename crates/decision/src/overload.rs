//! Load shedding: how far the queue ahead of a new request is past what its latency objective bears.

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

/// The highest probability of shedding: what still goes through shows when the overload ends.
const MAX_SHED_PROBABILITY: f64 = 0.9;
/// The probability of shedding at full overload, for a class of mean priority; it is capped by the above.
const SHED_PER_OVERLOAD: f64 = 2.0;
/// The time constant by which a tenant's latency decays when none of its attempts end.
const TENANT_LATENCY_DECAY: Duration = Duration::from_secs(4);
/// A tenant's latency is shrunk towards 0 by so many values.
const TENANT_LATENCY_PRIOR: f64 = 0.5;
/// A tenant's latency, in latency objectives, from which on its requests wait for something of their own.
const SLOW_TENANT: f64 = 1.0;
/// The highest latency that one attempt counts as, in latency objectives.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// The latency that a rejection counts as, in latency objectives.
const REJECTION_LATENCY_RATIO: f64 = 1.0;
/// A tenant's latency is the mean of the attempts of this many seconds, and of no fewer attempts than these.
const TENANT_LATENCY_SECONDS: f64 = 0.5;
const MIN_TENANT_LATENCY_SAMPLES: f64 = 5.0;
/// The least rate of successes that a queue is divided by, a second.
const MIN_SUCCESS_RATE: f64 = 5.0;
/// Shedding begins when the wait is this share of the latency objective,
const SHED_FROM_WAIT: f64 = 0.45;
/// and reaches its full extent when the wait is longer than that by this share.
const SHED_RANGE: f64 = 0.6;

/// Estimates the wait of a new request.
#[derive(Default)]
pub(crate) struct OverloadEstimator {
    success_rate: SmoothedRate,
    /// What each tenant's latest attempts took, in latency objectives.
    tenant_latency: BTreeMap<Option<TenantId>, DecayingMean>,
}

impl OverloadEstimator {
    /// The probability that a new request is to be shed, from 0 to 1.
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

    /// How far the wait ahead of a new request, by Little's law, is past what the latency objective bears: from
    /// 0 to 1.
    fn overload<'a>(
        &self,
        tenant: Option<TenantId>,
        open: impl Iterator<Item = &'a OpenRequest>,
        table: &EndpointTable,
        context: &Context,
    ) -> f64 {
        let now = context.now;
        // Before the first answers there is no rate to go by.
        if now < context.config.started_at + RATE_SMOOTHING {
            return 0.0;
        }
        let is_queued = |request: &&OpenRequest| {
            let usable = || {
                let snapshot = request.last_pod.and_then(|pod| table.get(pod));
                snapshot.is_some_and(|snapshot| snapshot.usable)
            };
            request.attempts_in_flight > 0
                && self.tenant_latency(request.tenant, now) < SLOW_TENANT
                && usable()
        };
        let queued = open.filter(is_queued).count() as f64;
        // A few open requests of a sidecar with little traffic are chance: its latest latencies are better evidence.
        let success_rate = self.success_rate.per_second(now, RATE_SMOOTHING);
        let queue_seconds = (queued - queued.sqrt()) / success_rate.max(MIN_SUCCESS_RATE);
        let wait = (queue_seconds / context.config.min_latency_objective)
            .max(self.tenant_latency(tenant, now));
        ((wait - SHED_FROM_WAIT) / SHED_RANGE).clamp(0.0, 1.0)
    }

    /// What a tenant's attempts took lately, in latency objectives. It decays, as nothing is learned while all
    /// is shed. It is counted by tenant so that requests which wait for something of their own at every pod, and
    /// hold everybody's capacity, are shed first.
    fn tenant_latency(&self, tenant: Option<TenantId>, now: Duration) -> f64 {
        self.tenant_latency.get(&tenant).map_or(0.0, |latency| {
            latency.shrunk_mean(now, TENANT_LATENCY_DECAY, TENANT_LATENCY_PRIOR)
        })
    }

    /// Takes the latency of an attempt that ended, and returns it in latency objectives.
    pub(crate) fn record(&mut self, ended: &AttemptEnded, context: &Context) -> f64 {
        let now = context.now;
        let objective = context.config.class(ended.class).latency_objective;
        let latency_ratio = if ended.result.outcome == AttemptOutcome::Rejected {
            REJECTION_LATENCY_RATIO
        } else {
            let ratio = ended.result.duration.as_secs_f64() / objective.as_secs_f64();
            ratio.min(MAX_LATENCY_RATIO)
        };
        // Of few attempts, or a sidecar with little traffic would shed long after an overload; a busy one reads
        // half a second of them.
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
