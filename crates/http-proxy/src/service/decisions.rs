//! Interface to the decision engine, which tests replace with other implementations.

use limewing_decision::interface::{Action, Event};
use limewing_decision::DecisionEngine;
use limewing_proxy_core::send_permit::SendAuthority;
use std::time::Duration;

/// Decides how the requests of one sidecar are handled.
pub trait Decisions: SendAuthority {
    /// Applies endpoint and stage updates before other events of the same turn. This does not run timers.
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action>;

    /// Handles the events of a turn, and timers that are due at `now`.
    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action>;
}

impl Decisions for DecisionEngine {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        DecisionEngine::apply_events(self, now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        DecisionEngine::handle(self, now, events)
    }
}
