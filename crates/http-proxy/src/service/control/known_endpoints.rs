//! The endpoints that this sidecar knows, as the service lists them and as the decisions know them.

use crate::endpoint_directory::EndpointDirectory;
use crate::endpoint_list::EndpointRecord;
use crate::service::peers::Peers;
use crate::state_store::StateStore;
use limewing_decision::interface::{Endpoint, EndpointUpdate};
use limewing_proxy_core::clock::wall_clock_now;
use std::time::Duration;

/// The endpoints that this sidecar knows.
pub(in crate::service) struct KnownEndpoints {
    /// The numbers by which the decisions know them.
    pub(in crate::service) directory: EndpointDirectory,
    /// The list as the service has it.
    pub(in crate::service) listed: Vec<EndpointRecord>,
    /// The list as the decisions know it: endpoints on machines that are closed for maintenance drain.
    announced: Vec<EndpointRecord>,
    /// Whether a list was received since the start.
    received: bool,
    state_store: Option<StateStore<Vec<EndpointRecord>>>,
}

impl KnownEndpoints {
    /// No endpoint yet; received lists are saved by `state_store`.
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

    /// How many endpoints the decisions know.
    pub(in crate::service) fn endpoint_count(&self) -> usize {
        self.announced.len()
    }

    /// Waits until the newest list is saved, for `timeout` at most; returns whether it is.
    pub(in crate::service) fn flush_state_file(&self, timeout: Duration) -> bool {
        match &self.state_store {
            Some(store) => store.flush(timeout),
            None => true,
        }
    }

    /// Marks the endpoints on closed machines anew, and returns what changed.
    pub(in crate::service) fn remark_closed_machines(
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

    /// Takes up a list that was saved by an earlier process.
    pub(super) fn take_cached(
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

    /// Takes up a received list; `index` is the service's. The first one is a snapshot, as it tells what of the cached list
    /// is gone; later ones are deltas.
    pub(super) fn take_received(
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
