//! Admission control: every attempt and every final response is checked here, so that the five
//! safety rules hold regardless of what the load balancer proposes.
//!
//! 1. Every request gets exactly one final response, before its deadline.
//! 2. No request takes effect twice, and a request that may have run is not reported as rejected.
//! 3. Nothing is sent to a draining or gone pod after the drain grace period.
//! 4. A pod that is warming up is not overloaded (`slow_start`).
//! 5. A build on trial receives at most its capped share of requests (`exposure`).

use crate::candidate::{move_best_to_end, Candidate};
use crate::context::Context;
use crate::endpoint_lease::accepts_attempt;
use crate::endpoint_state::EndpointStates;
use crate::exposure::ExposureControl;
use crate::idempotency::{check_idempotency, is_safe_to_run};
use crate::interface::{
    Action, AttemptIndex, AttemptOutcome, AttemptResult, DeduplicationScope, Endpoint, Idempotency,
    PodId, Request, RequestId, TenantId,
};
use crate::message::{AttemptEnded, Component, Message, Refusal};
use crate::outlier::TenantOutliers;
use crate::request_state::{AttemptRecord, RequestRecord};
use crate::slow_start::SlowStart;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Enforces the safety rules and tracks every open request.
#[derive(Default)]
pub(crate) struct AdmissionControl {
    endpoints: EndpointStates,
    requests: BTreeMap<RequestId, RequestRecord>,
    exposure: ExposureControl,
    slow_start: SlowStart,
    tenant_outliers: TenantOutliers,
}

impl AdmissionControl {
    pub(crate) fn receive(&mut self, message: Message, context: &mut Context) {
        match message {
            Message::EndpointChanged(endpoint) => self.on_endpoint_changed(endpoint, context),
            Message::EndpointRemoved(pod) => self.endpoints.remove(pod),
            Message::RequestArrived(request) => self.on_request_arrived(request, context),
            Message::AttemptProposed {
                request,
                candidates,
                tier,
            } => self.on_attempt_proposed(request, candidates, tier, context),
            Message::AttemptFinished(result) => self.on_attempt_finished(result, context),
            Message::StreamStarted(request) => self.on_stream_started(request),
            Message::RequestAbandoned(request) => self.reject_or_fail(request, context),
            Message::RequestClosed(request) => self.on_request_closed(request, context),
            Message::RequestUnknown(request) => self.on_request_unknown(request, context),
            Message::KeyServed(key, build) => self.exposure.record_key(key, build),
            Message::StageUpdated(update) => self.exposure.on_stage_updated(update),
            Message::Tick => self.exposure.on_tick(&self.endpoints, context),
            _ => {}
        }
    }

    fn on_endpoint_changed(&mut self, endpoint: Endpoint, context: &mut Context) {
        let fractional_allowance = context.random_unit();
        self.endpoints
            .update(endpoint, context.now, fractional_allowance);
    }

    /// Admits a request, unless its class is unknown or its id is already in use.
    fn on_request_arrived(&mut self, request: Request, context: &mut Context) {
        let known_class = usize::from(request.class.0) < context.config.classes.len();
        if !known_class || self.requests.contains_key(&request.id) {
            return;
        }
        self.exposure.record_request(request.class, context);
        self.requests
            .insert(request.id, RequestRecord::new(&request));
        context.send(Component::LoadBalancer, Message::RequestArrived(request));
    }

    /// Starts an attempt at the best candidate in the given tier that the rules allow.
    fn on_attempt_proposed(
        &mut self,
        request: RequestId,
        mut candidates: Vec<Candidate>,
        tier: u8,
        context: &mut Context,
    ) {
        move_best_to_end(&mut candidates);
        let mut sorted = false;
        while let Some(candidate) = candidates.pop_if(|candidate| candidate.tier == tier) {
            match self.check_rules(request, &candidate, context) {
                Ok(()) => return self.start_attempt(request, candidate.pod, context),
                // These refusals apply to every pod of the build.
                Err(Refusal::ExposureCap | Refusal::StickyKey) => {
                    candidates.retain(|other| other.build != candidate.build);
                }
                Err(_) => {}
            }
            // The first candidate is nearly always admitted, so the rest are sorted only after a
            // refusal.
            if !sorted {
                candidates.sort_unstable();
                sorted = true;
            }
        }
        let refused = Message::AttemptRefused(request, candidates);
        context.send(Component::LoadBalancer, refused);
    }

    /// Checks whether the rules allow an attempt at a candidate now.
    fn check_rules(
        &self,
        request: RequestId,
        candidate: &Candidate,
        context: &Context,
    ) -> Result<(), Refusal> {
        let record = self.requests.get(&request).ok_or(Refusal::RequestClosed)?;
        let state = self
            .endpoints
            .get(candidate.pod)
            .ok_or(Refusal::EndpointDrained)?;
        check_open(record, context)?;
        check_idempotency(record, &state.endpoint, context)?;
        if state.is_past_grace(context.now, context.config.drain_grace) {
            return Err(Refusal::EndpointDrained);
        }
        self.slow_start
            .check(state, candidate.used_fraction, &self.endpoints, context)?;
        self.exposure
            .check(record, state.endpoint.build, &self.endpoints, context)
    }

    /// Returns whether the first or the last byte of an attempt may be sent now. What the decision
    /// relied on may have changed since the attempt was scheduled: the pod may have started
    /// draining, the stage may have closed, a newer build may have served the routing key, and time
    /// has passed. While no endpoint list is received, the permission expires after the drain grace
    /// period.
    pub(crate) fn may_send_first_byte(
        &self,
        request: RequestId,
        attempt: AttemptIndex,
        now: Duration,
        context: &Context,
    ) -> bool {
        let open_request = self
            .requests
            .get(&request)
            .filter(|record| record.needs_response(now));
        let Some(record) = open_request else {
            return false;
        };
        let Some(scheduled) = record.open_attempt(attempt) else {
            return false;
        };
        if !context
            .endpoint_lease
            .may_still_send(scheduled.sent_at, now)
        {
            return false;
        }
        let accepting_pod = self
            .endpoints
            .get(scheduled.pod)
            .filter(|state| accepts_attempt(state, scheduled));
        let Some(state) = accepting_pod else {
            return false;
        };
        let others = record.attempts_except(attempt);
        let idempotency = context.config.class(record.class).idempotency;
        is_safe_to_run(idempotency, others, &state.endpoint, now)
            && self
                .exposure
                .check_scheduled(record, scheduled.build, &self.endpoints, &context.config)
                .is_ok()
    }

    fn start_attempt(&mut self, request: RequestId, pod: PodId, context: &mut Context) {
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(state) = self.endpoints.get_mut(pod) else {
            return;
        };
        let attempt = record.record_attempt(&state.endpoint, context.now);
        let oldest_counted = context.ago(context.config.overload_window);
        state.attempts.record(context.now);
        state.attempts.expire_before(oldest_counted);
        self.exposure
            .record_attempt(state.endpoint.build, record.class, context);
        context.actions.push(Action::StartAttempt {
            request,
            pod,
            timeout: Duration::ZERO,
        });
        let started = Message::AttemptStarted {
            request,
            attempt,
            pod,
        };
        let components = [Component::OutlierDetector(pod), Component::LoadBalancer];
        context.broadcast(components, &started);
    }

    fn on_attempt_finished(&mut self, mut result: AttemptResult, context: &mut Context) {
        let Some(record) = self.requests.get_mut(&result.request) else {
            return;
        };
        let Some(attempt) = record.attempts.get_mut(usize::from(result.attempt.0)) else {
            return;
        };
        if attempt.outcome.is_some() {
            return;
        }
        let outcome = result.outcome;
        attempt.outcome = Some(outcome);
        // The host was stalled for this long; the delay is not part of the pod's latency.
        result.duration = result.duration.saturating_sub(context.lateness);
        let (pod, build, sent_at) = (attempt.pod, attempt.build, attempt.sent_at);
        let was_open = !record.closed;
        record.closed |= result.request_closed;
        let (class, tenant) = (record.class, record.tenant);
        let request_open = was_open && !record.closed;
        if outcome == AttemptOutcome::Succeeded {
            self.slow_start.record_success(context.now);
        }
        if let Some(key) = record.routing_key {
            if context.config.sticky_keys && may_have_answered(outcome) {
                context.send(Component::AdmissionControl, Message::KeyServed(key, build));
            }
        }
        let on_trial = self
            .exposure
            .cap(build, &self.endpoints, &context.config)
            .is_some();
        let request = result.request;
        let ended = AttemptEnded {
            tenant_outlier: self.is_tenant_outlier(tenant, outcome, on_trial),
            result,
            class,
            build,
            sent_at,
            request_open,
            tenant,
        };
        let components = [
            Component::OutlierDetector(pod),
            Component::LoadBalancer,
            Component::CanaryAnalysis,
        ];
        context.broadcast(components, &Message::AttemptEnded(ended));
        self.clean_up_closed(request, context);
    }

    /// Returns whether this outcome should be attributed to the tenant's own requests. Records the
    /// outcome first if the tenant could have caused it.
    fn is_tenant_outlier(
        &mut self,
        tenant: Option<TenantId>,
        outcome: AttemptOutcome,
        on_trial: bool,
    ) -> bool {
        let Some(tenant) = tenant else {
            return false;
        };
        if !outcome.never_ran() && !on_trial {
            self.tenant_outliers.record(tenant, outcome);
        }
        self.tenant_outliers.is_outlier(tenant)
    }

    fn on_stream_started(&mut self, request: RequestId) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.streaming = true;
        }
    }

    /// Sends the final response for a request that gets no further attempts: rejected if a retry is
    /// safe, failed otherwise.
    fn reject_or_fail(&mut self, request: RequestId, context: &mut Context) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        if record.closed || record.streaming {
            return;
        }
        let may_have_run = record.attempts.iter().any(AttemptRecord::may_have_run);
        let retry_is_safe = match context.config.class(record.class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                deduplicated_by, ..
            } => !may_have_run || deduplicated_by == DeduplicationScope::All,
            Idempotency::NonIdempotent => !may_have_run,
        };
        context.actions.push(if retry_is_safe {
            Action::Reject {
                request,
                retry_after: context.config.retry_after,
            }
        } else {
            Action::Fail { request }
        });
        self.close(request, context);
    }

    fn on_request_closed(&mut self, request: RequestId, context: &mut Context) {
        if self.requests.contains_key(&request) {
            self.close(request, context);
        }
    }

    /// Ends the attempts of a request that the host no longer has. They were never sent: the host
    /// reports the outcome of all others.
    fn on_request_unknown(&mut self, request: RequestId, context: &mut Context) {
        let Some(record) = self.requests.get(&request) else {
            return;
        };
        let unsent: Vec<(AttemptIndex, PodId)> = (0..)
            .map(AttemptIndex)
            .zip(&record.attempts)
            .filter(|(_, attempt)| attempt.outcome.is_none())
            .map(|(index, attempt)| (index, attempt.pod))
            .collect();
        self.close(request, context);
        for (attempt, pod) in unsent {
            let result = AttemptResult {
                request,
                attempt,
                pod,
                outcome: AttemptOutcome::NeverSent,
                duration: Duration::ZERO,
                request_closed: true,
            };
            self.on_attempt_finished(result, context);
        }
    }

    fn close(&mut self, request: RequestId, context: &mut Context) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.closed = true;
        }
        self.clean_up_closed(request, context);
        context.send(Component::LoadBalancer, Message::RequestClosed(request));
    }

    /// Cancels the in-flight attempts of a closed request, or drops its record if none are left.
    fn clean_up_closed(&mut self, request: RequestId, context: &mut Context) {
        let Some(record) = self.requests.get(&request).filter(|record| record.closed) else {
            return;
        };
        let open_attempts = record.open_attempts();
        if open_attempts.is_empty() {
            self.requests.remove(&request);
        } else if context.config.cancellation && !record.streaming {
            for attempt in open_attempts {
                context
                    .actions
                    .push(Action::CancelAttempt { request, attempt });
            }
        }
    }
}

/// Returns whether the client may have received a complete response, even if the connection broke
/// or the attempt was cancelled or timed out.
fn may_have_answered(outcome: AttemptOutcome) -> bool {
    !outcome.never_ran() && outcome != AttemptOutcome::Failed
}

/// Rule 1: nothing is sent for a request that is closed, past its deadline or out of attempts.
fn check_open(request: &RequestRecord, context: &Context) -> Result<(), Refusal> {
    let attempts_left = request.attempts.len() < context.config.max_attempts;
    if request.needs_response(context.now) && attempts_left {
        Ok(())
    } else {
        Err(Refusal::RequestClosed)
    }
}
