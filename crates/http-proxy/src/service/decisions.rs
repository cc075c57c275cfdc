//! What decides on requests: the decision engine, or in tests a stand-in.

use limewing_decision::interface::{Action, Event};
use limewing_decision::DecisionEngine;
use limewing_proxy_core::send_permit::SendAuthority;
use std::time::Duration;

/// Decides on the requests of one sidecar.
pub trait Decisions: SendAuthority {
    /// Applies endpoint and stage updates before anything else of the same turn is handled; nothing falls due by it.
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action>;

    /// Handles the events of a turn, and what has fallen due at `now`.
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
