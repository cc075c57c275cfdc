//! The known endpoints, as listed by the service and as announced to the decision engine.

use crate::endpoint_directory::EndpointDirectory;
use crate::endpoint_list::EndpointRecord;
use crate::service::peers::Peers;
use crate::state_store::StateStore;
use limewing_decision::interface::{Endpoint, EndpointUpdate};
use limewing_proxy_core::clock::wall_clock_now;
use std::time::Duration;

/// The known endpoints of one sidecar.
pub(in crate::service) struct KnownEndpoints {
    /// Maps endpoints to the pod IDs of the decision engine.
    pub(in crate::service) directory: EndpointDirectory,
    /// The list as the service sent it.
    pub(in crate::service) listed: Vec<EndpointRecord>,
    /// The list as announced to the decision engine: endpoints on machines that are closed for maintenance are
    /// draining.
    announced: Vec<EndpointRecord>,
    /// Whether a list was received since startup.
    received: bool,
    state_store: Option<StateStore<Vec<EndpointRecord>>>,
}

impl KnownEndpoints {
    /// Starts without endpoints. Received lists are saved through `state_store`.
    pub(in crate::service) fn new(
        zones: &[String],
        state_store: Option<StateStore<Vec<EndpointRecord>>>,
    ) -> Self {
        Self {
            directory: EndpointDirectory::new(zones),
            listed: Vec::new(),
            announced: Vec::new(),
            received: false,
            state_store,
        }
    }

    /// Number of endpoints announced to the decision engine.
    pub(in crate::service) fn endpoint_count(&self) -> usize {
        self.announced.len()
    }

    /// Waits up to `timeout` until the newest list is saved. Returns whether it is.
    pub(in crate::service) fn flush_state_file(&self, timeout: Duration) -> bool {
        match &self.state_store {
            Some(store) => store.flush(timeout),
            None => true,
        }
    }

    /// Updates which endpoints are draining because their machine is closed. Returns the changed endpoints.
    pub(in crate::service) fn refresh_closed_machines(
        &mut self,
        peers: &Peers,
        now: Duration,
    ) -> Vec<Endpoint> {
        let announced = self.with_closed_machines(peers);
        let delta = self
            .directory
            .delta(&self.announced, &announced, now, wall_clock_now());
        self.announced = announced;
        delta
    }

    fn with_closed_machines(&self, peers: &Peers) -> Vec<EndpointRecord> {
        let mut announced = self.listed.clone();
        peers.mark_closed_machines(&mut announced);
        announced
    }

    /// Applies a list that an earlier process saved.
    pub(super) fn apply_cached(
        &mut self,
        list: Vec<EndpointRecord>,
        peers: &Peers,
        now: Duration,
    ) -> EndpointUpdate {
        self.listed = list;
        self.announced = self.with_closed_machines(peers);
        let endpoints = self
            .directory
            .snapshot(&self.announced, now, wall_clock_now());
        EndpointUpdate::Cached(endpoints)
    }

    /// Applies a received list with the service's index. The first list becomes a snapshot, because it shows which
    /// cached endpoints are gone; later ones become deltas.
    pub(super) fn apply_received(
        &mut self,
        list: Vec<EndpointRecord>,
        index: u64,
        peers: &Peers,
        now: Duration,
    ) -> EndpointUpdate {
        self.listed = list;
        let announced = self.with_closed_machines(peers);
        let wall_clock = wall_clock_now();
        let update = if self.received {
            let delta = self
                .directory
                .delta(&self.announced, &announced, now, wall_clock);
            EndpointUpdate::Delta(delta)
        } else {
            self.received = true;
            EndpointUpdate::Snapshot(self.directory.snapshot(&announced, now, wall_clock))
        };
        if announced != self.announced {
            self.announced = announced;
            tracing::info!(
                endpoints = self.announced.len(),
                index,
                "endpoint list applied"
            );
            if let Some(store) = &self.state_store {
                store.store(self.announced.clone());
            }
        }
        update
    }
}
