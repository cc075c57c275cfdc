//! Additional attempts of a request: retries after an attempt has ended, and hedged requests
//! alongside an attempt in flight (Dean and Barroso, "The Tail at Scale", 2013). Both draw on the
//! same retry budget.

use crate::balancer::LoadBalancer;
use crate::context::Context;
use crate::engine::TICK_INTERVAL;
use crate::interface::{AttemptIndex, AttemptOutcome, Idempotency, PodId, RequestId};
use crate::message::{AttemptEnded, Component, Message};
use std::time::Duration;

/// The interval at which an attempt in flight is considered for hedging.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The number of additional attempts that each request adds to the budget. It is limited so that
/// retries do not amplify an overload.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// The maximum number of additional attempts that the budget accumulates.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// The share of the expected latency that must remain for a retry to be useful.
const RETRY_LATENCY_SHARE: f64 = 0.5;
/// The number of responses over which the mean latency of a class is averaged.
const CLASS_LATENCY_SAMPLES: usize = 20;
/// The number of responses over which the mean latency of a machine type is averaged.
const MACHINE_LATENCY_SAMPLES: usize = 50;

/// A token bucket that is filled by requests and drained by additional attempts.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds the tokens for one request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Takes one token and returns whether one was available.
    fn try_withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl LoadBalancer {
    pub(crate) fn on_attempt_started(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        pod: PodId,
        context: &mut Context,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.attempts_in_flight += 1;
        open.last_pod = Some(pod);
        if context.config.hedging {
            schedule_hedge_check(request, attempt, pod, context);
        }
    }

    /// Processes an outcome. If the request is still open and has no other attempt in flight, it is
    /// retried or abandoned.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, context: &mut Context) {
        // Must be read before this outcome is recorded.
        let expected_latency = self.expected_latency(ended.class, context);
        self.record_latency(ended, context);
        let request = ended.result.request;
        if !ended.request_open {
            self.requests.remove(&request);
        }
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        open.tried_pods.push(ended.result.pod);
        if open.attempts_in_flight > 0 {
            return;
        }
        let class = context.config.class(open.class);
        let is_safe =
            ended.result.outcome.never_ran() || class.idempotency != Idempotency::NonIdempotent;
        let min_remaining = Duration::from_secs_f64(expected_latency * RETRY_LATENCY_SHARE);
        let is_useful = context.now + min_remaining < open.arrived_at + class.useful_for;
        let in_time = context.now + TICK_INTERVAL < open.deadline;
        if is_safe && is_useful && in_time && self.retry_budget.try_withdraw() {
            open.avoids_trial = true;
            self.place(request, context);
        } else {
            let abandoned = Message::RequestAbandoned(request);
            context.send(Component::AdmissionControl, abandoned);
        }
    }

    fn record_latency(&mut self, ended: &AttemptEnded, context: &Context) {
        let latency_ratio = self.overload.record(ended, context);
        if ended.result.outcome != AttemptOutcome::Succeeded {
            return;
        }
        self.class_latency
            .entry(ended.class)
            .or_default()
            .add(ended.result.duration.as_secs_f64(), CLASS_LATENCY_SAMPLES);
        if let Some(snapshot) = self.table.get(ended.result.pod) {
            self.machine_latency
                .entry(snapshot.endpoint.machine_type)
                .or_default()
                .add(latency_ratio, MACHINE_LATENCY_SAMPLES);
        }
    }

    /// Hedges an attempt in flight if its pod has become unresponsive. If the pod answers other
    /// requests, a long wait indicates an expensive request, and a hedged attempt would be just as
    /// expensive.
    pub(crate) fn on_hedge_check_due(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        pod: PodId,
        context: &mut Context,
    ) {
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        let class = context.config.class(open.class);
        let only_attempt = open.attempts_in_flight == 1 && !open.tried_pods.contains(&pod);
        if !only_attempt || class.idempotency == Idempotency::NonIdempotent {
            return;
        }
        let expected = Duration::from_secs_f64(self.expected_latency(open.class, context));
        if context.now + expected >= open.arrived_at + class.useful_for {
            return;
        }
        let answers_other_requests = self.table.get(pod).is_some_and(|snapshot| snapshot.usable);
        if answers_other_requests || !self.retry_budget.try_withdraw() {
            schedule_hedge_check(request, attempt, pod, context);
            return;
        }
        if let Some(open) = self.requests.get_mut(&request) {
            open.avoids_trial = true;
        }
        self.place(request, context);
    }
}

fn schedule_hedge_check(
    request: RequestId,
    attempt: AttemptIndex,
    pod: PodId,
    context: &mut Context,
) {
    let due = Message::HedgeCheckDue(request, attempt, pod);
    context.schedule(HEDGE_CHECK_INTERVAL, Component::LoadBalancer, due);
}
