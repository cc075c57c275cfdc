//! Outlier detection: ejects pods that fail or fall silent, and tells apart the faults of one tenant's
//! requests, which speak against no pod.

use crate::context::Context;
use crate::endpoint_table::EndpointSnapshot;
use crate::interface::{AttemptIndex, AttemptOutcome, Endpoint, PodState, RequestId, TenantId};
use crate::message::{AttemptEnded, Component, Message};
use crate::statistics::RunningMean;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A pod's latency ratio is the mean of about so many of its latest answers.
pub(crate) const LATENCY_RATIO_SAMPLES: usize = 10;
/// The latency ratio that a rejection counts as: no sign of speed.
const REJECTION_LATENCY_RATIO: f64 = 1.0;
/// Resets, time-outs or errors in a row after which a pod is ejected: one may be the fault of a connection or
/// of a request.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// An ejection lasts for twice this at first, and twice as long each further time.
const EJECTION_BASE: Duration = Duration::from_millis(250);
/// So many ejections in a row double the time; further ones do not.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// A pod counts as silent after this multiple of the shortest latency objective, however fast it is,
const SILENCE_BASE: f64 = 0.15;
/// and this multiple of its own latency ratio in addition.
const SILENCE_PER_LATENCY_RATIO: f64 = 2.0;
/// With few attempts in flight a slow one explains the silence, with many it does not: the time allowed is
/// longer by this over their number.
const SILENCE_FEW_IN_FLIGHT: f64 = 2.0;
/// The least latency ratio that silence is measured by, and the one of a pod that has not answered yet.
const MIN_LATENCY_RATIO: f64 = 0.05;
const INITIAL_LATENCY_RATIO: f64 = 0.3;

/// What was observed of a pod since its start.
#[derive(Default)]
struct EndpointHealth {
    last_success_at: Duration,
    /// When the latest attempt was sent that it served; zero once it has rejected one since.
    last_served_at: Duration,
    /// Recent latency over the latency objective.
    latency_ratio: RunningMean,
    consecutive_failures: u32,
    /// Ejections since its last success.
    ejections: u32,
    /// Ejected, and with no health check before this; zero while it is not ejected.
    ejected_until: Duration,
}

impl EndpointHealth {
    fn is_ejected(&self) -> bool {
        !self.ejected_until.is_zero()
    }
}

/// Watches one pod.
pub(crate) struct OutlierDetector {
    endpoint: Endpoint,
    in_flight: BTreeMap<(RequestId, AttemptIndex), Duration>,
    health: EndpointHealth,
}

impl OutlierDetector {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            in_flight: BTreeMap::new(),
            health: EndpointHealth::default(),
        }
    }

    pub(crate) fn receive(&mut self, message: Message, context: &mut Context) {
        match message {
            Message::EndpointChanged(endpoint) => self.on_endpoint_changed(endpoint),
            Message::AttemptStarted {
                request, attempt, ..
            } => self.on_attempt_started(request, attempt, context.now),
            Message::AttemptEnded(ended) => self.on_attempt_ended(&ended, context),
            Message::Tick if !self.on_tick(context) => return,
            _ => {}
        }
        self.publish_snapshot(context);
    }

    /// What was observed of another incarnation or build under the same id is void.
    fn on_endpoint_changed(&mut self, endpoint: Endpoint) {
        let restarted = endpoint.started_at != self.endpoint.started_at;
        if restarted || endpoint.build != self.endpoint.build {
            self.health = EndpointHealth::default();
        }
        self.endpoint = endpoint;
    }

    /// An attempt at an ejected pod is a health check: the next one waits for longer.
    fn on_attempt_started(&mut self, request: RequestId, attempt: AttemptIndex, now: Duration) {
        self.in_flight.insert((request, attempt), now);
        if self.health.is_ejected() {
            self.eject(now);
        }
    }

    fn on_attempt_ended(&mut self, ended: &AttemptEnded, context: &Context) {
        self.in_flight
            .remove(&(ended.result.request, ended.result.attempt));
        self.record_outcome(ended, context);
    }

    /// Ejects a pod that takes requests and answers none, whatever the cause. Returns whether the snapshot may
    /// have changed.
    fn on_tick(&mut self, context: &Context) -> bool {
        if self.health.is_ejected() {
            return true;
        }
        let silent = self.is_silent(context);
        if silent {
            self.eject(context.now);
        }
        silent
    }

    fn is_silent(&self, context: &Context) -> bool {
        let Some(oldest_sent_at) = self.in_flight.values().min().copied() else {
            return false;
        };
        let few_in_flight = 1.0 + SILENCE_FEW_IN_FLIGHT / self.in_flight.len().max(1) as f64;
        let latency_ratio = if self.health.latency_ratio.count > 0 {
            self.health.latency_ratio.value.max(MIN_LATENCY_RATIO)
        } else {
            INITIAL_LATENCY_RATIO
        };
        let objectives = SILENCE_BASE + SILENCE_PER_LATENCY_RATIO * latency_ratio;
        let timeout = Duration::from_secs_f64(
            context.config.min_latency_objective * objectives * few_in_flight,
        );
        context.now > oldest_sent_at.max(self.health.last_success_at) + timeout
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, context: &Context) {
        let now = context.now;
        let outcome = ended.result.outcome;
        match outcome {
            AttemptOutcome::Succeeded => self.record_success(ended, context),
            // An error is no sign of speed: a pod that fails at once would draw all requests.
            AttemptOutcome::TimedOut | AttemptOutcome::Failed if ended.tenant_outlier => {}
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {
                self.health.consecutive_failures += 1;
                // A pod that died refuses connections, and needs no further sign.
                let unreachable = outcome == AttemptOutcome::ConnectFailed;
                if unreachable || self.health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    self.eject(now);
                }
            }
            AttemptOutcome::Rejected => {
                // It may drain.
                self.health.last_served_at = Duration::ZERO;
                self.health
                    .latency_ratio
                    .add(REJECTION_LATENCY_RATIO, LATENCY_RATIO_SAMPLES);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
    }

    fn record_success(&mut self, ended: &AttemptEnded, context: &Context) {
        let objective = context.config.class(ended.class).latency_objective;
        let latency_ratio = ended.result.duration.as_secs_f64() / objective.as_secs_f64();
        self.health
            .latency_ratio
            .add(latency_ratio, LATENCY_RATIO_SAMPLES);
        self.health = EndpointHealth {
            last_success_at: context.now,
            last_served_at: self.health.last_served_at.max(ended.sent_at),
            latency_ratio: self.health.latency_ratio,
            ..EndpointHealth::default()
        };
    }

    fn eject(&mut self, now: Duration) {
        self.health.ejections = (self.health.ejections + 1).min(MAX_EJECTION_DOUBLINGS);
        self.health.ejected_until = now + EJECTION_BASE * (1 << self.health.ejections);
    }

    /// Whether a tick could change anything: attempts are in flight, or the pod is ejected.
    pub(crate) fn needs_tick(&self) -> bool {
        !self.in_flight.is_empty() || self.health.is_ejected()
    }

    /// Sends the load balancer this pod's current state.
    pub(crate) fn publish_snapshot(&self, context: &mut Context) {
        let ready = self.endpoint.state == PodState::Ready;
        let ejected = self.health.is_ejected();
        let health_check_due = ejected && context.now >= self.health.ejected_until;
        let snapshot = EndpointSnapshot {
            endpoint: self.endpoint.clone(),
            rank: context.rank(self.endpoint.pod),
            ready,
            in_flight: self.in_flight.len(),
            latency_ratio: self.health.latency_ratio,
            usable: ready && !ejected,
            wants_health_check: ready
                && health_check_due
                && !context.is_probed_by_peers(self.endpoint.pod),
            last_served_at: self.health.last_served_at,
        };
        context.send(
            Component::LoadBalancer,
            Message::SnapshotPublished(snapshot),
        );
    }
}

/// The share of a tenant's attempts that failed is the mean of about so many of them.
const TENANT_FAILURE_SAMPLES: usize = 30;
/// A share from fewer attempts than this tells nothing.
const MIN_TENANT_SAMPLES: usize = 15;
/// A tenant is an outlier when its share of failures is over this,
const TENANT_OUTLIER_MARGIN: f64 = 0.2;
/// and this multiple of the other tenants' mean in addition.
const TENANT_OUTLIER_FACTOR: f64 = 1.5;

/// Finds tenants whose requests fail where those of others succeed.
#[derive(Default)]
pub(crate) struct TenantOutliers {
    /// The share of each tenant's attempts that fail or time out.
    failure_rates: BTreeMap<TenantId, RunningMean>,
}

impl TenantOutliers {
    /// Counts an attempt on a build that is not on trial.
    pub(crate) fn record(&mut self, tenant: TenantId, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::Cancelled {
            return;
        }
        let failed = matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::TimedOut);
        self.failure_rates
            .entry(tenant)
            .or_default()
            .add(f64::from(u8::from(failed)), TENANT_FAILURE_SAMPLES);
    }

    /// Whether failures of this tenant's requests speak against neither a pod nor a build.
    pub(crate) fn is_outlier(&self, tenant: TenantId) -> bool {
        let Some(own) = self.failure_rate(tenant) else {
            return false;
        };
        let mut sum = 0.0;
        let mut others = 0;
        for other in self.failure_rates.keys().filter(|other| **other != tenant) {
            if let Some(rate) = self.failure_rate(*other) {
                sum += rate;
                others += 1;
            }
        }
        let usual = sum / f64::from(others.max(1));
        others > 0 && own > TENANT_OUTLIER_MARGIN + TENANT_OUTLIER_FACTOR * usual
    }

    fn failure_rate(&self, tenant: TenantId) -> Option<f64> {
        self.failure_rates
            .get(&tenant)
            .filter(|rate| rate.count >= MIN_TENANT_SAMPLES)
            .map(|rate| rate.value)
    }
}
