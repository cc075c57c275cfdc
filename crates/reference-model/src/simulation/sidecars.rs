//! Sidecars: the real decision engine, and an emulated host that delivers its events and executes its actions.

use super::attempts::{OpenRequest, ReadyConnection};
use super::event::{SidecarRef, SimulationEvent};
use super::rollout::CastVote;
use super::{ms, Simulation, START};
use crate::mutation::{Mutation, MutationContext, RequestKind};
use crate::violation::Violation;
use limewing_decision::interface::{
    Action, Endpoint, EndpointUpdate, Event, PodId, RequestId, SidecarConfig, StageUpdate, ZoneId,
};
use limewing_decision::DecisionEngine;
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time from the start of a sidecar to its first call to the list service.
const FIRST_WATCH_CALL_DELAY: Duration = Duration::from_millis(100);
/// The number of zones with sidecars.
const ZONE_COUNT: usize = 2;

/// The method of the engine that handles a batch of events.
type HandleEvents = fn(&mut DecisionEngine, Duration, Vec<Event>) -> Vec<Action>;

/// A sidecar and the state of its host.
pub(super) struct Sidecar {
    /// The engine, or `None` while the sidecar is down.
    pub(super) engine: Option<DecisionEngine>,
    pub(super) incarnation: u32,
    pub(super) is_stalled: bool,
    /// Events for the next turn.
    pub(super) inbox: Vec<Event>,
    wake_at: Duration,
    pub(super) requests: BTreeMap<RequestId, OpenRequest>,
    /// The position in the log of list changes up to which the sidecar has received them.
    pub(super) list_position: usize,
    /// The endpoint list at that position, which is kept over a restart.
    pub(super) endpoints: BTreeMap<PodId, Endpoint>,
    pub(super) is_watching: bool,
    /// When the list service was last heard from. An open watch receives a keep-alive in each step.
    pub(super) last_list_contact: Duration,
    /// Established connections, one per attempt.
    pub(super) ready_connections: Vec<ReadyConnection>,
    /// The delay of list updates.
    pub(super) list_lag: Duration,
    /// The delay of stage updates.
    pub(super) stage_lag: Duration,
    known_stage: Option<StageUpdate>,
    /// When the latest stage update arrives. Stage updates are delivered in order.
    pub(super) stage_due: Duration,
    pub(super) vote: Option<CastVote>,
}

impl Sidecar {
    /// Creates a sidecar that is down and has a cached endpoint list.
    pub(super) fn new(list_lag: Duration, stage_lag: Duration, list: Vec<Endpoint>) -> Self {
        Self {
            engine: None,
            incarnation: 0,
            is_stalled: false,
            inbox: Vec::new(),
            wake_at: START,
            requests: BTreeMap::new(),
            list_position: 1,
            endpoints: by_pod(list),
            is_watching: false,
            last_list_contact: START,
            ready_connections: Vec::new(),
            list_lag,
            stage_lag,
            known_stage: None,
            stage_due: START,
            vote: None,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        self.engine.is_some()
    }
}

pub(super) fn by_pod(endpoints: Vec<Endpoint>) -> BTreeMap<PodId, Endpoint> {
    endpoints
        .into_iter()
        .map(|endpoint| (endpoint.pod, endpoint))
        .collect()
}

fn is_control(event: &Event) -> bool {
    matches!(event, Event::Endpoints(_) | Event::Stage { .. })
}

/// Sets the duration of the silence in a watch loss at the time of its delivery.
fn set_silence(event: &mut Event, silent_for: Duration) {
    if let Event::Endpoints(EndpointUpdate::WatchLost(loss)) = event {
        loss.silent_for = silent_for;
    }
}

impl Simulation {
    /// Returns a reference to the current incarnation of a sidecar.
    pub(super) fn current_incarnation(&self, sidecar: usize) -> SidecarRef {
        SidecarRef {
            index: sidecar,
            incarnation: self.sidecars[sidecar].incarnation,
        }
    }

    pub(super) fn deliver_to_host(&mut self, sidecar: SidecarRef, event: Event) {
        let host = &mut self.sidecars[sidecar.index];
        if host.incarnation == sidecar.incarnation && host.is_up() {
            host.inbox.push(event);
        }
    }

    /// Stores the stage that will be delivered in the next turn.
    pub(super) fn store_known_stage(&mut self, sidecar: usize) {
        let host = &mut self.sidecars[sidecar];
        for event in &host.inbox {
            if let Event::Stage {
                update: Some(update),
                ..
            } = event
            {
                host.known_stage = Some(*update);
            }
        }
    }

    pub(super) fn step_sidecar(&mut self, sidecar: usize) -> Result<(), Violation> {
        let host = &mut self.sidecars[sidecar];
        if host.is_stalled || !host.is_up() {
            return Ok(());
        }
        if !host.inbox.is_empty() || self.now >= host.wake_at {
            self.deliver_inbox(sidecar)?;
        }
        self.write_attempts(sidecar)
    }

    /// Delivers the queued events. Endpoint and stage updates arrive on separate connections, so their order relative
    /// to other events of the step varies. In some steps the host delivers them first, before it sends anything to
    /// pods.
    fn deliver_inbox(&mut self, sidecar: usize) -> Result<(), Violation> {
        let host = &mut self.sidecars[sidecar];
        let mut events = std::mem::take(&mut host.inbox);
        let silent_for = self.now.saturating_sub(host.last_list_contact);
        for event in &mut events {
            set_silence(event, silent_for);
        }
        if self.rng.random_bool(0.5) {
            events.sort_by_key(is_control);
        } else if self.link_rng.random_bool(0.5) {
            let (control, rest) = events.into_iter().partition(is_control);
            events = rest;
            self.deliver(sidecar, control, DecisionEngine::apply_events)?;
            self.write_attempts(sidecar)?;
        }
        self.deliver(sidecar, events, DecisionEngine::handle)
    }

    /// Passes events to the engine, and executes its actions.
    fn deliver(
        &mut self,
        sidecar: usize,
        events: Vec<Event>,
        handle_events: HandleEvents,
    ) -> Result<(), Violation> {
        let host = &mut self.sidecars[sidecar];
        let Some(engine) = host.engine.as_mut() else {
            return Ok(());
        };
        self.model.record_events(sidecar, self.now, &events);
        let events = self.mutation.mutate_events(events);
        let actions = handle_events(engine, self.now, events);
        self.turns += 1;
        let endpoints: Vec<Endpoint> = host.endpoints.values().cloned().collect();
        let requests: BTreeMap<RequestId, RequestKind> = host
            .requests
            .iter()
            .map(|(id, request)| (*id, request.kind()))
            .collect();
        let context = MutationContext {
            turn: self.turns,
            now: self.now,
            config: &self.config,
            endpoints: &endpoints,
            requests: &requests,
        };
        let actions = self.mutation.apply(actions, &context);
        self.model.check_actions(sidecar, self.now, &actions)?;
        for action in actions {
            self.execute(sidecar, action);
        }
        Ok(())
    }

    fn execute(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::StartAttempt { request, pod, .. } => self.start_attempt(sidecar, request, pod),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(sidecar, request, attempt);
            }
            Action::Reject { request, .. } => self.answer_client(sidecar, request, true),
            Action::Fail { request } => self.answer_client(sidecar, request, false),
            Action::Vote {
                verdict,
                build,
                stage,
            } => self.cast_vote(sidecar, verdict, build, stage),
            Action::WatchEndpoints => {
                let wait = ms(self.rng.random_range(40..400));
                let call = SimulationEvent::WatchCall(self.current_incarnation(sidecar));
                self.schedule_in(wait, call);
            }
            Action::WakeAt { at } => self.sidecars[sidecar].wake_at = at,
            Action::Log(_) => {}
        }
    }

    pub(super) fn start_sidecar(&mut self, sidecar: usize) {
        if self.sidecars[sidecar].is_up() {
            return;
        }
        let config = SidecarConfig {
            seed: self.rng.random_range(0..u64::MAX),
            sidecar_index: sidecar as u32,
            zone: ZoneId((sidecar % ZONE_COUNT) as u16),
            ..self.config.clone()
        };
        self.model
            .sidecar_started(sidecar, self.now, config.clone());
        let endpoint_lease = config
            .endpoint_lease
            .filter(|_| self.mutation != Mutation::IgnoresEndpointLease);
        let config = SidecarConfig {
            endpoint_lease,
            ..config
        };
        let host = &mut self.sidecars[sidecar];
        let cached = host.endpoints.values().cloned().collect();
        let stage = host.known_stage.unwrap_or(self.rollout.stage);
        host.engine = Some(DecisionEngine::new(self.now, config));
        host.is_watching = false;
        host.wake_at = self.now;
        host.known_stage = Some(stage);
        host.last_list_contact = self.now;
        host.inbox = vec![
            Event::Endpoints(EndpointUpdate::Cached(cached)),
            Event::Stage {
                update: Some(stage),
                vote_answer: None,
            },
        ];
        if self.config.watch_on_request {
            let call = SimulationEvent::WatchCall(self.current_incarnation(sidecar));
            self.schedule_in(FIRST_WATCH_CALL_DELAY, call);
        }
    }

    pub(super) fn sidecar_crashes(&mut self, sidecar: usize) {
        let host = &mut self.sidecars[sidecar];
        host.engine = None;
        host.incarnation += 1;
        host.inbox.clear();
        host.ready_connections.clear();
        host.requests.clear();
        host.known_stage = None;
        self.model.sidecar_stopped(sidecar);
    }

    pub(super) fn sidecar_stalls(&mut self, sidecar: usize, stalls: bool) {
        self.sidecars[sidecar].is_stalled = stalls;
        if !stalls {
            self.model.sidecar_resumed(sidecar, self.now);
        }
    }
}
