//! State that every component needs while it handles a message.

use crate::derived_config::DerivedConfig;
use crate::endpoint_lease::EndpointLease;
use crate::hashing::{rendezvous_rank, unit_interval};
use crate::interface::{Action, Event, FleetView, PodId, SidecarConfig, StageUpdate, VoteAnswer};
use crate::latest_stage::LatestStage;
use crate::mailbox::Mailboxes;
use crate::message::{Component, Message};
use crate::timer_queue::TimerQueue;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// The current time, configuration, mailboxes, timers, random number generator, and the actions
/// produced so far.
pub(crate) struct Context {
    pub(crate) now: Duration,
    /// How late the engine was called after its tick was due, because the host was stalled.
    pub(crate) lateness: Duration,
    pub(crate) endpoint_lease: EndpointLease,
    latest_stage: LatestStage,
    pub(crate) config: DerivedConfig,
    pub(crate) mailboxes: Mailboxes<Component, Message>,
    pub(crate) timers: TimerQueue<(Component, Message)>,
    rng: WyRand,
    pub(crate) actions: Vec<Action>,
    fleet: Option<FleetPreference>,
}

/// The fleet view from the other sidecars, with the position of each pod in its order.
struct FleetPreference {
    view: FleetView,
    positions: BTreeMap<PodId, usize>,
}

impl FleetPreference {
    fn new(view: FleetView) -> Self {
        let positions = (0..)
            .zip(&view.preference)
            .map(|(position, pod)| (*pod, position))
            .collect();
        Self { view, positions }
    }
}

impl Context {
    pub(crate) fn new(now: Duration, config: &SidecarConfig) -> Self {
        Self {
            now,
            lateness: Duration::ZERO,
            endpoint_lease: EndpointLease::new(config.endpoint_lease, config.safety.drain_grace),
            latest_stage: LatestStage::default(),
            config: DerivedConfig::new(now, config),
            mailboxes: Mailboxes::default(),
            timers: TimerQueue::default(),
            rng: WyRand::new_seed(config.seed),
            actions: Vec::new(),
            fleet: None,
        }
    }

    pub(crate) fn set_fleet_view(&mut self, view: Option<FleetView>) {
        self.fleet = view.map(FleetPreference::new);
    }

    /// Returns the rank of a pod in this sidecar's order, greatest first: the position in the
    /// fleet's order if it is listed there, otherwise a hash. With a fleet order, hashes are halved
    /// so that other pods rank below all listed ones.
    pub(crate) fn rank(&self, pod: PodId) -> u64 {
        let position = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.positions.get(&pod));
        match position {
            Some(position) => u64::MAX - *position as u64,
            None => {
                let hash = rendezvous_rank(u64::from(self.config.sidecar_index), pod.0);
                hash >> u32::from(self.fleet.is_some())
            }
        }
    }

    /// Returns the minimum number of pods that the fleet asks this sidecar to use.
    pub(crate) fn min_endpoints(&self) -> usize {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.view.min_endpoints)
    }

    /// Returns whether other sidecars check the health of this ejected pod.
    pub(crate) fn is_probed_by_peers(&self, pod: PodId) -> bool {
        self.fleet
            .as_ref()
            .is_some_and(|fleet| fleet.view.probed_by_peers.contains(&pod))
    }

    /// Returns the time `span` before now.
    pub(crate) fn ago(&self, span: Duration) -> Duration {
        self.now.saturating_sub(span)
    }

    /// Returns the next random number, uniformly distributed from 0 to 1.
    pub(crate) fn random_unit(&mut self) -> f64 {
        unit_interval(self.rng.generate::<u64>())
    }

    pub(crate) fn send(&mut self, to: Component, message: Message) {
        self.mailboxes.push(to, message);
    }

    pub(crate) fn broadcast<const N: usize>(&mut self, to: [Component; N], message: &Message) {
        for component in to {
            self.mailboxes.push(component, message.clone());
        }
    }

    /// Sends a message after `delay`.
    pub(crate) fn schedule(&mut self, delay: Duration, to: Component, message: Message) {
        self.timers.schedule(self.now + delay, (to, message));
    }

    /// Sends an event to the components that handle it.
    pub(crate) fn dispatch_event(&mut self, event: Event) {
        use Component::{AdmissionControl, CanaryAnalysis, EndpointTracker};
        match event {
            Event::Endpoints(update) => {
                self.endpoint_lease.on_update(&update, self.now);
                self.send(EndpointTracker, Message::EndpointsUpdated(update));
            }
            Event::RequestArrived(request) => {
                self.send(AdmissionControl, Message::RequestArrived(request));
            }
            Event::AttemptFinished(result) => {
                self.send(AdmissionControl, Message::AttemptFinished(result));
            }
            Event::StreamStarted { request } => {
                self.send(AdmissionControl, Message::StreamStarted(request));
            }
            Event::ClientDisconnected(request) => {
                self.send(AdmissionControl, Message::RequestClosed(request));
            }
            Event::RequestUnknown(request) => {
                self.send(AdmissionControl, Message::RequestUnknown(request));
            }
            Event::Stage {
                update,
                vote_answer,
            } => self.dispatch_stage(update, vote_answer),
            Event::Fleet(view) => self.set_fleet_view(view),
            Event::KeyServed(key, build) => {
                self.send(AdmissionControl, Message::KeyServed(key, build));
            }
            Event::Flagged { pod, class } => {
                self.send(CanaryAnalysis, Message::ResponseFlagged { pod, class });
            }
        }
    }

    fn dispatch_stage(&mut self, update: Option<StageUpdate>, vote_answer: Option<VoteAnswer>) {
        if let Some(accepted) = update.and_then(|update| self.latest_stage.accept(update)) {
            let components = [
                Component::AdmissionControl,
                Component::LoadBalancer,
                Component::CanaryAnalysis,
            ];
            self.broadcast(components, &Message::StageUpdated(accepted.update));
        }
        if let Some(answer) = vote_answer {
            self.send(Component::CanaryAnalysis, Message::VoteAnswered(answer));
        }
    }
}
