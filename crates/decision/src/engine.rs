//! The engine: the components of one sidecar and the loop that delivers messages between them.
//!
//! A request passes from admission control (accepted) to the load balancer (placed) and back
//! (checked against the five rules). The outcome of an attempt passes from admission control to the
//! outlier detector, the load balancer and the canary analysis.

use crate::admission::AdmissionControl;
use crate::balancer::LoadBalancer;
use crate::canary::CanaryAnalysis;
use crate::context::Context;
use crate::endpoints::EndpointTracker;
use crate::interface::{Action, AttemptIndex, Event, PodId, RequestId, SidecarConfig};
use crate::message::{Component, Message};
use crate::outlier::OutlierDetector;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The interval of the periodic timer.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns events in the order in which they are processed. A stalled host finds outcomes and
/// requests at the same time, so known facts come before events that require decisions. Endpoint
/// lists and stages come first, because an attempt that follows from an outcome must not use an
/// outdated list or cap.
fn in_processing_order(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by_key(|event| match event {
        Event::Endpoints(_) | Event::Stage { .. } | Event::Fleet(_) | Event::KeyServed(..) => 0,
        Event::AttemptFinished(_) | Event::RequestUnknown(_) => 1,
        Event::RequestArrived(_)
        | Event::StreamStarted { .. }
        | Event::ClientDisconnected(_)
        | Event::Flagged { .. } => 2,
    });
    events
}

/// Makes all decisions of one sidecar. It performs no I/O and reads no clock: the host passes in
/// events and the current time, and executes the returned actions.
pub struct DecisionEngine {
    context: Context,
    outlier_detectors: BTreeMap<PodId, OutlierDetector>,
    load_balancer: LoadBalancer,
    admission: AdmissionControl,
    canary: CanaryAnalysis,
    endpoint_tracker: EndpointTracker,
    next_tick: Duration,
}

impl DecisionEngine {
    /// Creates an engine without endpoints. `now` is the time since the start of the host's clock.
    pub fn new(now: Duration, config: SidecarConfig) -> Self {
        Self {
            context: Context::new(now, &config),
            outlier_detectors: BTreeMap::new(),
            load_balancer: LoadBalancer::default(),
            admission: AdmissionControl::default(),
            canary: CanaryAnalysis::default(),
            endpoint_tracker: EndpointTracker::default(),
            next_tick: now,
        }
    }

    /// Returns whether the first byte of an attempt may be sent now. The host calls this right
    /// before it writes that byte, on any connection and however long after the attempt was
    /// scheduled, and again before the last byte if it writes that later. If the result is `false`,
    /// the attempt ends as never sent.
    pub fn may_send_first_byte(
        &self,
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        self.admission
            .may_send_first_byte(request, attempt, now, &self.context)
    }

    /// Processes events of one moment and returns the resulting actions in order. Timers are left
    /// to `handle`: a stalled host passes endpoint lists and stages first, and then the remaining
    /// events, before any timer fires.
    pub fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.context.now = now;
        self.context.lateness = now.saturating_sub(self.next_tick);
        for event in in_processing_order(events) {
            let ranks_change = matches!(event, Event::Fleet(_));
            self.context.dispatch_event(event);
            if ranks_change {
                for detector in self.outlier_detectors.values() {
                    detector.publish_snapshot(&mut self.context);
                }
            }
            self.deliver_messages();
        }
        std::mem::take(&mut self.context.actions)
    }

    /// Processes the events of one moment, fires due timers, and returns the resulting actions in
    /// order.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut actions = self.apply_events(now, events);
        while let Some((to, message)) = self.context.timers.pop_due(now) {
            self.context.send(to, message);
            self.deliver_messages();
        }
        if now >= self.next_tick {
            self.tick(now);
        }
        actions.append(&mut self.context.actions);
        actions
    }

    fn tick(&mut self, now: Duration) {
        self.next_tick = now + TICK_INTERVAL;
        self.context
            .actions
            .push(Action::WakeAt { at: self.next_tick });
        for (pod, detector) in &self.outlier_detectors {
            if detector.needs_tick() {
                self.context
                    .send(Component::OutlierDetector(*pod), Message::Tick);
            }
        }
        let components = [
            Component::AdmissionControl,
            Component::LoadBalancer,
            Component::CanaryAnalysis,
        ];
        self.context.broadcast(components, &Message::Tick);
        self.deliver_messages();
    }

    /// Delivers messages, including those sent during delivery, until all mailboxes are empty.
    fn deliver_messages(&mut self) {
        while let Some((to, message)) = self.context.mailboxes.pop() {
            let context = &mut self.context;
            match to {
                Component::OutlierDetector(pod) => self.deliver_to_detector(pod, message),
                Component::LoadBalancer => self.load_balancer.receive(message, context),
                Component::AdmissionControl => self.admission.receive(message, context),
                Component::CanaryAnalysis => self.canary.receive(message, context),
                Component::EndpointTracker => self.endpoint_tracker.receive(message, context),
            }
        }
    }

    /// Delivers a message to the detector of a pod. The detector is created with the pod's first
    /// endpoint entry and removed with the pod.
    fn deliver_to_detector(&mut self, pod: PodId, message: Message) {
        let context = &mut self.context;
        match (self.outlier_detectors.get_mut(&pod), message) {
            (_, Message::EndpointRemoved(_)) => {
                self.outlier_detectors.remove(&pod);
            }
            (None, Message::EndpointChanged(endpoint)) => {
                let detector = OutlierDetector::new(endpoint);
                detector.publish_snapshot(context);
                self.outlier_detectors.insert(pod, detector);
            }
            (Some(detector), message) => detector.receive(message, context),
            (None, _) => {}
        }
    }
}
