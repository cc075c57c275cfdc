//! Outlier detection: ejects pods that fail or stop responding, and identifies tenants whose own
//! requests cause failures, which are not attributed to the pods.

use crate::context::Context;
use crate::endpoint_table::EndpointSnapshot;
use crate::interface::{AttemptIndex, AttemptOutcome, Endpoint, PodState, RequestId, TenantId};
use crate::message::{AttemptEnded, Component, Message};
use crate::statistics::RunningMean;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The number of recent responses over which a pod's latency ratio is averaged.
pub(crate) const LATENCY_RATIO_SAMPLES: usize = 10;
/// The latency ratio recorded for a rejection, so that fast rejections do not make a pod look fast.
const REJECTION_LATENCY_RATIO: f64 = 1.0;
/// The number of consecutive resets, timeouts or errors after which a pod is ejected. A single one
/// may be caused by a connection or a request.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Half the duration of the first ejection; each further ejection lasts twice as long as the one
/// before.
const EJECTION_BASE: Duration = Duration::from_millis(250);
/// The number of consecutive ejections after which the duration stops doubling.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// The timeout after which any pod counts as unresponsive, as a multiple of the shortest latency
/// objective.
const RESPONSE_TIMEOUT_BASE: f64 = 0.15;
/// The additional timeout, as a multiple of the pod's own latency ratio.
const RESPONSE_TIMEOUT_PER_LATENCY_RATIO: f64 = 2.0;
/// The timeout is multiplied by 1 plus this number divided by the number of attempts in flight.
/// With few attempts in flight, a single slow one explains the lack of responses; with many it does
/// not.
const RESPONSE_TIMEOUT_FEW_IN_FLIGHT: f64 = 2.0;
/// The lower bound on the latency ratio that the timeout is based on.
const MIN_LATENCY_RATIO: f64 = 0.05;
/// The latency ratio assumed for a pod that has not answered yet.
const INITIAL_LATENCY_RATIO: f64 = 0.3;

/// Observations of a pod since its start.
#[derive(Default)]
struct EndpointHealth {
    last_success_at: Duration,
    /// When the latest attempt that the pod served was sent; zero once the pod has rejected an
    /// attempt since.
    last_served_at: Duration,
    /// The latency of recent responses divided by the latency objective.
    latency_ratio: RunningMean,
    consecutive_failures: u32,
    /// The number of ejections since the last success.
    ejections: u32,
    /// When the pod is next due for a health check; zero if it is not ejected.
    ejected_until: Duration,
}

impl EndpointHealth {
    fn is_ejected(&self) -> bool {
        !self.ejected_until.is_zero()
    }
}

/// Monitors one pod.
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

    /// Discards observations of another incarnation or build with the same id.
    fn on_endpoint_changed(&mut self, endpoint: Endpoint) {
        let restarted = endpoint.started_at != self.endpoint.started_at;
        if restarted || endpoint.build != self.endpoint.build {
            self.health = EndpointHealth::default();
        }
        self.endpoint = endpoint;
    }

    /// Records an attempt. An attempt at an ejected pod is a health check and extends the ejection.
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

    /// Ejects a pod that has attempts in flight but does not respond, whatever the cause. Returns
    /// whether the snapshot may have changed.
    fn on_tick(&mut self, context: &Context) -> bool {
        if self.health.is_ejected() {
            return true;
        }
        let unresponsive = self.is_unresponsive(context);
        if unresponsive {
            self.eject(context.now);
        }
        unresponsive
    }

    fn is_unresponsive(&self, context: &Context) -> bool {
        let Some(oldest_sent_at) = self.in_flight.values().min().copied() else {
            return false;
        };
        let few_in_flight_factor =
            1.0 + RESPONSE_TIMEOUT_FEW_IN_FLIGHT / self.in_flight.len().max(1) as f64;
        let latency_ratio = if self.health.latency_ratio.count > 0 {
            self.health.latency_ratio.value.max(MIN_LATENCY_RATIO)
        } else {
            INITIAL_LATENCY_RATIO
        };
        let objectives = RESPONSE_TIMEOUT_BASE + RESPONSE_TIMEOUT_PER_LATENCY_RATIO * latency_ratio;
        let timeout = Duration::from_secs_f64(
            context.config.min_latency_objective * objectives * few_in_flight_factor,
        );
        context.now > oldest_sent_at.max(self.health.last_success_at) + timeout
    }

    fn record_outcome(&mut self, ended: &AttemptEnded, context: &Context) {
        let now = context.now;
        let outcome = ended.result.outcome;
        match outcome {
            AttemptOutcome::Succeeded => self.record_success(ended, context),
            // An error is not recorded as a latency: a pod that fails immediately would attract all
            // requests.
            AttemptOutcome::TimedOut | AttemptOutcome::Failed if ended.tenant_outlier => {}
            AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed => {
                self.health.consecutive_failures += 1;
                // A pod that has crashed refuses connections, so one failure is sufficient.
                let unreachable = outcome == AttemptOutcome::ConnectFailed;
                if unreachable || self.health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    self.eject(now);
                }
            }
            AttemptOutcome::Rejected => {
                // The pod may be draining.
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

    /// Returns whether a tick could change anything: attempts are in flight or the pod is ejected.
    pub(crate) fn needs_tick(&self) -> bool {
        !self.in_flight.is_empty() || self.health.is_ejected()
    }

    /// Sends the current state of the pod to the load balancer.
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

/// The number of attempts over which a tenant's failure rate is averaged.
const TENANT_FAILURE_SAMPLES: usize = 30;
/// The minimum number of attempts for a meaningful failure rate.
const MIN_TENANT_SAMPLES: usize = 15;
/// The failure rate above which a tenant is an outlier if no other tenant has failures.
const TENANT_OUTLIER_MARGIN: f64 = 0.2;
/// The multiple of the other tenants' mean failure rate that is added to that threshold.
const TENANT_OUTLIER_FACTOR: f64 = 1.5;

/// Identifies tenants whose requests fail where those of other tenants succeed.
#[derive(Default)]
pub(crate) struct TenantOutliers {
    /// The share of each tenant's attempts that fail or time out.
    failure_rates: BTreeMap<TenantId, RunningMean>,
}

impl TenantOutliers {
    /// Records an attempt at a build that is not on trial.
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

    /// Returns whether failures of this tenant's requests are evidence against neither a pod nor a
    /// build.
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
        let mean_of_others = sum / f64::from(others.max(1));
        others > 0 && own > TENANT_OUTLIER_MARGIN + TENANT_OUTLIER_FACTOR * mean_of_others
    }

    fn failure_rate(&self, tenant: TenantId) -> Option<f64> {
        self.failure_rates
            .get(&tenant)
            .filter(|rate| rate.count >= MIN_TENANT_SAMPLES)
            .map(|rate| rate.value)
    }
}
