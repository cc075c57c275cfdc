//! The engine instances and the endpoint tables shared by them.

use limewing_decision::interface::{Action, Endpoint, EndpointUpdate, Event, WatchLoss};
use limewing_decision::DecisionEngine;
use limewing_simulator_protocol::{
    sidecar_config, Batch, EndpointUpdateKind, FrameError, FrameErrorKind, Record, Reply,
};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// The fault message for a panic without a text payload.
const UNKNOWN_PANIC_MESSAGE: &str = "the decision module panicked";

/// One instance of the decision engine.
struct Instance {
    engine: DecisionEngine,
    /// Events from the current batch that the engine has not handled yet.
    pending_events: Vec<Event>,
}

impl Instance {
    /// Lets the engine handle the pending events. Returns the panic message if the engine panics.
    fn handle(&mut self, now: Duration) -> Result<Vec<Action>, String> {
        let events = std::mem::take(&mut self.pending_events);
        catch_unwind(AssertUnwindSafe(|| self.engine.handle(now, events)))
            .map_err(|panic| panic_message(panic.as_ref()))
    }
}

/// All instances served on one connection to the simulator.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u16, Vec<Endpoint>>,
    selected: Option<u32>,
    /// Instances selected in the current batch, in the order of their first selection.
    selected_in_batch: Vec<u32>,
}

impl Host {
    /// Passes the events of a batch to their instances and adds the resulting actions to the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if a record refers to an unknown table, if no instance is selected for a
    /// start record, or if its settings are invalid.
    pub(crate) fn handle(&mut self, batch: Batch, reply: &mut Reply) -> Result<(), FrameError> {
        self.selected = None;
        self.selected_in_batch.clear();
        for record in batch.records {
            self.apply(batch.now, record)?;
        }
        for id in &self.selected_in_batch {
            let Some(instance) = self.instances.get_mut(id) else {
                continue;
            };
            reply.select_instance(*id);
            match instance.handle(batch.now) {
                Ok(actions) => {
                    for action in &actions {
                        reply.push_action(action);
                    }
                }
                Err(text) => reply.push_fault(&text),
            }
        }
        Ok(())
    }

    fn apply(&mut self, now: Duration, record: Record) -> Result<(), FrameError> {
        match record {
            Record::SelectInstance(id) => self.select(id),
            Record::EndpointTable { table, rows } => {
                self.tables.insert(table, rows);
            }
            Record::Start {
                seed,
                settings,
                offset,
            } => self
                .start(now, seed, &settings)
                .map_err(|kind| FrameError { kind, offset })?,
            Record::Stop => {
                if let Some(id) = self.selected {
                    self.instances.remove(&id);
                }
            }
            Record::EndpointUpdate {
                kind,
                table,
                offset,
            } => {
                let update = self
                    .endpoint_update(kind, table)
                    .map_err(|kind| FrameError { kind, offset })?;
                self.push_event(Event::Endpoints(update));
            }
            Record::Event(event) => self.push_event(event),
            Record::Ignored => {}
        }
        Ok(())
    }

    fn select(&mut self, id: u32) {
        self.selected = Some(id);
        if !self.selected_in_batch.contains(&id) {
            self.selected_in_batch.push(id);
        }
    }

    fn start(&mut self, now: Duration, seed: u64, settings: &[u8]) -> Result<(), FrameErrorKind> {
        let id = self.selected.ok_or(FrameErrorKind::NoInstanceSelected)?;
        let config = sidecar_config(seed, settings)?;
        let instance = Instance {
            engine: DecisionEngine::new(now, config),
            pending_events: Vec::new(),
        };
        self.instances.insert(id, instance);
        Ok(())
    }

    fn endpoint_update(
        &self,
        kind: EndpointUpdateKind,
        table: u16,
    ) -> Result<EndpointUpdate, FrameErrorKind> {
        Ok(match kind {
            EndpointUpdateKind::Delta => EndpointUpdate::Delta(self.rows(table)?),
            EndpointUpdateKind::Snapshot => EndpointUpdate::Snapshot(self.rows(table)?),
            EndpointUpdateKind::Cached => EndpointUpdate::Cached(self.rows(table)?),
            EndpointUpdateKind::WatchLost => EndpointUpdate::WatchLost(WatchLoss::default()),
        })
    }

    fn rows(&self, table: u16) -> Result<Vec<Endpoint>, FrameErrorKind> {
        self.tables
            .get(&table)
            .cloned()
            .ok_or(FrameErrorKind::UnknownTable { table })
    }

    /// Queues an event for the selected instance, or drops it if no instance is selected.
    fn push_event(&mut self, event: Event) {
        let selected = self.selected.and_then(|id| self.instances.get_mut(&id));
        if let Some(instance) = selected {
            instance.pending_events.push(event);
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    if let Some(text) = panic.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    UNKNOWN_PANIC_MESSAGE.to_owned()
}
