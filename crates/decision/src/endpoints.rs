//! Tracks the endpoint list: notifies the other components of changes and restores the watch after
//! it was lost.

use crate::context::Context;
use crate::endpoint_state::KnownEndpoints;
use crate::engine::TICK_INTERVAL;
use crate::interface::{Action, Endpoint, EndpointUpdate, PodId, WatchLoss, WatchLossCause};
use crate::message::{Component, Message};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The maximum delay before a lost watch is restored, without backoff.
pub const WATCH_RETRY_DELAY: Duration = Duration::from_millis(700);
/// The maximum number of times that backoff doubles the delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The number of consecutive unanswered calls that do not cause backoff, because a single call may
/// be lost by chance.
const TOLERATED_TIMEOUTS: u32 = 2;
/// The retry delay for a host's own agent, as a fraction of the drain grace period. It is short
/// because an update counts as notified once the agent has it.
const AGENT_RETRY_GRACE_FRACTION: u32 = 4;
/// The minimum delay as a share of the maximum. The delay is drawn from this range so that sidecars
/// that lost their watch at the same moment do not all call at once.
const MIN_JITTER: f64 = 0.3;
/// How long a gone pod is kept. After this time no message about it can be in transit.
const GONE_ENDPOINT_RETENTION: Duration = Duration::from_secs(120);
/// The lower bound on a pod's weight, which prevents division by zero.
const MIN_WEIGHT: f64 = 0.01;

/// Keeps the endpoint list as last received.
#[derive(Default)]
pub(crate) struct EndpointTracker {
    known: KnownEndpoints,
    watching: bool,
}

impl EndpointTracker {
    pub(crate) fn receive(&mut self, message: Message, context: &mut Context) {
        match message {
            Message::EndpointsUpdated(update) => self.on_update(update, context),
            Message::WatchDue => context.actions.push(Action::WatchEndpoints),
            Message::EndpointRemoved(pod) => self.on_removal_due(pod, context),
            _ => {}
        }
    }

    fn on_update(&mut self, update: EndpointUpdate, context: &mut Context) {
        match update {
            EndpointUpdate::Delta(endpoints) | EndpointUpdate::FormerDelta(endpoints) => {
                self.publish_all(endpoints, context);
            }
            EndpointUpdate::Snapshot(endpoints) | EndpointUpdate::Cached(endpoints) => {
                let missing = self.known.missing_from(&endpoints);
                self.publish_all(missing, context);
                self.publish_all(endpoints, context);
                if context.config.watch_on_request && !self.watching {
                    self.watching = true;
                    context.actions.push(Action::WatchEndpoints);
                }
            }
            EndpointUpdate::WatchLost(loss) => schedule_watch(&loss, context),
        }
    }

    /// Removes a pod that has been gone for long enough. This is safe because admission control
    /// sends nothing to unknown pods.
    fn on_removal_due(&mut self, pod: PodId, context: &mut Context) {
        if self
            .known
            .remove_if_gone_since(pod, context.ago(GONE_ENDPOINT_RETENTION))
        {
            let components = [
                Component::AdmissionControl,
                Component::OutlierDetector(pod),
                Component::LoadBalancer,
                Component::CanaryAnalysis,
            ];
            context.broadcast(components, &Message::EndpointRemoved(pod));
        }
    }

    fn publish_all(&mut self, endpoints: Vec<Endpoint>, context: &mut Context) {
        for endpoint in endpoints {
            self.publish(endpoint, context);
        }
    }

    fn publish(&mut self, mut endpoint: Endpoint, context: &mut Context) {
        endpoint.weight = endpoint.weight.max(MIN_WEIGHT);
        if self.known.insert(&endpoint, context.now) {
            let removal = Message::EndpointRemoved(endpoint.pod);
            context.schedule(GONE_ENDPOINT_RETENTION, Component::EndpointTracker, removal);
        }
        let components = [
            Component::AdmissionControl,
            Component::OutlierDetector(endpoint.pod),
            Component::CanaryAnalysis,
        ];
        context.broadcast(components, &Message::EndpointChanged(endpoint));
    }
}

/// Schedules the next call for the list. It follows soon after a loss, and with exponential backoff
/// after calls that were refused or repeatedly unanswered, so that the calls of a large fleet do
/// not overload the service until it can answer none of them.
fn schedule_watch(loss: &WatchLoss, context: &mut Context) {
    let failures = context.endpoint_lease.watch_failures();
    let doublings = match loss.cause {
        WatchLossCause::Ended | WatchLossCause::NoService => 0,
        WatchLossCause::TimedOut => failures.saturating_sub(TOLERATED_TIMEOUTS),
        WatchLossCause::Refused => failures,
    };
    let max_delay = if context.config.endpoints_pushed {
        let within_grace = context.config.drain_grace / AGENT_RETRY_GRACE_FRACTION;
        within_grace.clamp(TICK_INTERVAL, WATCH_RETRY_DELAY)
    } else {
        WATCH_RETRY_DELAY * (1 << doublings.min(MAX_BACKOFF_DOUBLINGS))
    };
    let jitter = MIN_JITTER + (1.0 - MIN_JITTER) * context.random_unit();
    let delay = max_delay.mul_f64(jitter);
    context.schedule(delay, Component::EndpointTracker, Message::WatchDue);
}
