//! Further attempts of a request: retries after one that ended, and hedged requests beside one that is still in
//! flight (Dean and Barroso, "The Tail at Scale", 2013). Both are paid for from one retry budget.

use crate::balancer::LoadBalancer;
use crate::context::Context;
use crate::engine::TICK_INTERVAL;
use crate::interface::{AttemptIndex, AttemptOutcome, Idempotency, PodId, RequestId};
use crate::message::{AttemptEnded, Component, Message};
use std::time::Duration;

/// An attempt in flight is checked this often.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The further attempts that each request earns, and how many are saved up at most: retries must not multiply
/// an overload.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
const MAX_RETRY_BUDGET: f64 = 20.0;
/// A retry is worth it if this share of the expected latency is left for it.
const RETRY_LATENCY_SHARE: f64 = 0.5;
/// The latency of a class is the mean of about so many answers.
const CLASS_LATENCY_SAMPLES: usize = 20;
/// The latency on a type of machine is the mean of about so many answers.
const MACHINE_LATENCY_SAMPLES: usize = 50;

/// A token bucket that requests fill and further attempts empty.
#[derive(Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Adds what one request earns.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Takes one attempt from the budget; returns whether there was one.
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

    /// Takes an outcome; retries the request or gives it up if it is still open and nothing else is in flight.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, context: &mut Context) {
        // Before this outcome changes it.
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
        let needed = Duration::from_secs_f64(expected_latency * RETRY_LATENCY_SHARE);
        let is_useful = context.now + needed < open.arrived_at + class.useful_for;
        let in_time = context.now + TICK_INTERVAL < open.deadline;
        if is_safe && is_useful && in_time && self.retry_budget.try_withdraw() {
            open.avoids_trial = true;
            self.place(request, context);
        } else {
            let given_up = Message::RequestGivenUp(request);
            context.send(Component::AdmissionControl, given_up);
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

    /// An attempt is still in flight: hedges it if its pod has fallen silent. At a pod that answers others a
    /// long wait means a heavy request, and a hedged one would be as heavy.
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
        let answers_others = self.table.get(pod).is_some_and(|snapshot| snapshot.usable);
        if answers_others || !self.retry_budget.try_withdraw() {
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
