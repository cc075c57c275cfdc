//! One sidecar: its parts, and the loop that empties their inboxes. The parts decide, in `choice`.

use crate::choice::{
    AdmissionControl, CanaryAnalysis, EndpointTracker, LoadBalancer, OutlierDetector, TICK_INTERVAL,
};
use crate::interface::*;
use crate::notes::{Component, Context, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known comes before what is to be decided: a sidecar that stood still finds answers and hits at
/// once. List and stage news come first of all: a forward that an outcome brings about must not go by a list or
/// cap that has been replaced. Hurts by nothing: both speak of the same moment.
pub fn in_processing_order(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by_key(|event| match event {
        Event::Endpoints(_) | Event::Stage { .. } | Event::Fleet(_) | Event::KeyServed(..) => 0,
        Event::AttemptFinished(_) => 1,
        _ => 2,
    });
    events
}

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
    pub fn new(now: Duration, terms: SidecarConfig) -> Self {
        Self {
            context: Context::new(now, &terms),
            outlier_detectors: BTreeMap::new(),
            load_balancer: LoadBalancer::default(),
            admission: AdmissionControl::default(),
            canary: CanaryAnalysis::default(),
            endpoint_tracker: EndpointTracker::default(),
            next_tick: now,
        }
    }

    /// Whether the first byte of an attempt may leave now. A host asks right before it writes that byte, on whichever
    /// connection and however long after the attempt was decided on; if not, the attempt ends as never sent.
    pub fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        self.admission.may_begin(hit, no, now, &self.context)
    }

    /// Takes events of one moment, in order, and tells what to do at once. What is due by time is left to `handle`: a host
    /// that has stood still brings lists and stage news first, and the rest of what has come before anything falls due.
    pub fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.context.now = now;
        self.context.lateness = now.saturating_sub(self.next_tick);
        for event in in_processing_order(events) {
            let fleet = matches!(event, Event::Fleet(_));
            self.context.dispatch_event(event);
            // Each pod's place in the order may be another.
            self.outlier_detectors
                .values()
                .filter(|_| fleet)
                .for_each(|pod| pod.publish_snapshot(&mut self.context));
            self.deliver_messages();
        }
        std::mem::take(&mut self.context.actions)
    }

    /// Takes the events of one moment, in order, and tells what to do, in order.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut actions = self.apply_events(now, events);
        while let Some((to, note)) = self.context.timers.pop_due(now) {
            self.context.mailboxes.push(to, note);
            self.deliver_messages();
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.context
                .actions
                .push(Action::WakeAt { at: self.next_tick });
            for (id, _) in self
                .outlier_detectors
                .iter()
                .filter(|(_, pod)| pod.needs_tick())
            {
                self.context
                    .mailboxes
                    .push(Component::OutlierDetector(*id), Message::Tick);
            }
            self.context.broadcast(
                [
                    Component::AdmissionControl,
                    Component::LoadBalancer,
                    Component::CanaryAnalysis,
                ],
                &Message::Tick,
            );
            self.deliver_messages();
        }
        actions.append(&mut self.context.actions);
        actions
    }

    /// The one loop: hands each note to its addressee until all inboxes are empty.
    fn deliver_messages(&mut self) {
        while let Some((to, note)) = self.context.mailboxes.pop() {
            let round = &mut self.context;
            match to {
                Component::OutlierDetector(id) => match (self.outlier_detectors.get_mut(&id), note)
                {
                    (None, Message::EndpointChanged(entry)) => {
                        let pod = self
                            .outlier_detectors
                            .entry(id)
                            .or_insert(OutlierDetector::new(entry));
                        pod.publish_snapshot(round);
                    }
                    (_, Message::EndpointForgotten(_)) => drop(self.outlier_detectors.remove(&id)),
                    (Some(pod), note) => pod.take(note, round),
                    (None, _) => {}
                },
                Component::LoadBalancer => self.load_balancer.take(note, round),
                Component::AdmissionControl => self.admission.take(note, round),
                Component::CanaryAnalysis => self.canary.take(note, round),
                Component::EndpointTracker => self.endpoint_tracker.take(note, round),
            }
        }
    }
}
