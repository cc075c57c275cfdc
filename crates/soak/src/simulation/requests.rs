//! Requests, and their attempts to pods with random service times.

use super::{ScheduledEvent, Soak};
use crate::config::{CLASS_COUNT, CLIENT_TIMEOUT};
use limewing_decision::interface::{
    AttemptIndex, AttemptOutcome, AttemptResult, ClassId, Event, PodId, Request, RequestId,
    RoutingKey, TenantId,
};
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::time::Duration;

/// Mean of the logarithm of service times in seconds, which are log-normally distributed.
const SERVICE_TIME_LOG_MEAN: f64 = -2.0;
/// Standard deviation of the logarithm of service times in seconds.
const SERVICE_TIME_LOG_DEVIATION: f64 = 0.35;
/// Service time, in seconds, if these parameters define no distribution.
const DEFAULT_SERVICE_TIME: f64 = 0.1;
/// Probability that an attempt fails.
const ERROR_RATE: f64 = 0.002;
const TENANTS: u32 = 4;

/// A request that is not complete, or that still has attempts in flight.
pub(super) struct OpenRequest {
    attempts: Vec<Attempt>,
    is_over: bool,
}

struct Attempt {
    pod: PodId,
    started_at: Duration,
    has_ended: bool,
}

impl OpenRequest {
    fn is_settled(&self) -> bool {
        self.is_over && self.attempts.iter().all(|attempt| attempt.has_ended)
    }
}

impl Soak {
    pub(super) fn request_arrives(&mut self, events: &mut Vec<Event>) {
        self.requests_left_today -= 1;
        if self.requests_left_today > 0 {
            // Times between arrivals are exponentially distributed.
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            let wait = -draw.ln() / self.config.requests_per_second;
            self.schedule_in(
                Duration::from_secs_f64(wait),
                ScheduledEvent::RequestArrives,
            );
        }
        self.last_request += 1;
        self.totals.requests += 1;
        let id = RequestId(self.last_request);
        let open = OpenRequest {
            attempts: Vec::new(),
            is_over: false,
        };
        self.requests.insert(id, open);
        let class = ClassId(self.rng.random_range(0..CLASS_COUNT));
        let tenant = TenantId(self.rng.random_range(0..TENANTS));
        events.push(Event::RequestArrived(Request {
            id,
            class,
            tenant: Some(tenant),
            routing_key: Some(RoutingKey(id.0)),
            deadline: self.now + CLIENT_TIMEOUT,
        }));
    }

    pub(super) fn start_attempt(&mut self, request: RequestId, pod: PodId) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let index = AttemptIndex(open.attempts.len() as u16);
        open.attempts.push(Attempt {
            pod,
            started_at: self.now,
            has_ended: false,
        });
        let service_time = LogNormal::new(SERVICE_TIME_LOG_MEAN, SERVICE_TIME_LOG_DEVIATION)
            .map_or(DEFAULT_SERVICE_TIME, |distribution| {
                distribution.sample(&mut self.rng)
            });
        self.schedule_in(
            Duration::from_secs_f64(service_time),
            ScheduledEvent::AttemptEnds(request, index),
        );
    }

    pub(super) fn attempt_ends(
        &mut self,
        request: RequestId,
        index: AttemptIndex,
        events: &mut Vec<Event>,
    ) {
        let Some(result) = self.end_attempt(request, index) else {
            return;
        };
        let outcome = if self.rng.random_bool(ERROR_RATE) {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        let has_succeeded = outcome == AttemptOutcome::Succeeded;
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        self.totals.succeeded += u64::from(has_succeeded && !open.is_over);
        open.is_over |= has_succeeded;
        events.push(Event::AttemptFinished(AttemptResult {
            outcome,
            request_closed: open.is_over,
            ..result
        }));
        self.remove_if_settled(request);
    }

    pub(super) fn cancel_attempt(&mut self, request: RequestId, index: AttemptIndex) {
        let Some(result) = self.end_attempt(request, index) else {
            return;
        };
        self.remove_if_settled(request);
        self.deliver(vec![Event::AttemptFinished(result)]);
    }

    /// Ends an attempt that is in flight, with the outcome set to cancelled.
    fn end_attempt(&mut self, request: RequestId, index: AttemptIndex) -> Option<AttemptResult> {
        let open = self.requests.get_mut(&request)?;
        let attempt = open.attempts.get_mut(usize::from(index.0))?;
        if attempt.has_ended {
            return None;
        }
        attempt.has_ended = true;
        Some(AttemptResult {
            request,
            attempt: index,
            pod: attempt.pod,
            outcome: AttemptOutcome::Cancelled,
            duration: self.now - attempt.started_at,
            request_closed: open.is_over,
        })
    }

    /// Marks a request as complete after the decision engine has rejected or failed it.
    pub(super) fn end_request(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.is_over = true;
        }
        self.remove_if_settled(request);
    }

    fn remove_if_settled(&mut self, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(OpenRequest::is_settled)
        {
            self.requests.remove(&request);
        }
    }
}
