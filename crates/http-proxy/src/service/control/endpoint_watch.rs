//! The watch of the endpoint list by blocking queries.

use crate::endpoint_directory::EndpointDirectory;
use crate::endpoint_list::{parse_endpoint_list, EndpointRecord};
use crate::endpoint_list_file;
use crate::service::peers::Peers;
use crate::service::{ConnectionRole, Service, TimerEvent};
use crate::state_store::StateStore;
use bytes::BytesMut;
use limewing_coordination::Service as ControlService;
use limewing_decision::interface::{Endpoint, EndpointUpdate, Event, WatchLoss};
use limewing_net::body::Framing;
use limewing_net::http::ResponseHead;
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::clock::wall_clock_now;
use std::path::Path;
use std::time::Duration;

/// Bound of a response's body, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Queries are no closer together than this, however soon the service responds.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The service adds up to this part of a blocking query's wait, so that not all responses come at once.
const WAIT_JITTER_DIVISOR: u32 = 16;
/// How long a response may take beyond the wait of its blocking query.
const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(2);
/// Status of a response that has a list.
const OK: u16 = 200;

/// A connection to the service that serves the list.
pub(in crate::service) struct EndpointListConnection {
    reader: ResponseReader,
    timer: TimerKey,
}

/// The endpoint list as this sidecar knows it, and the state of its watch.
pub(in crate::service) struct EndpointWatch {
    /// The numbers by which the decisions know the endpoints.
    pub(in crate::service) directory: EndpointDirectory,
    /// The list as the service has it.
    pub(in crate::service) listed: Vec<EndpointRecord>,
    /// The list as the decisions know it: endpoints on machines that are closed for maintenance drain.
    announced: Vec<EndpointRecord>,
    /// The service's index of the list; 0 asks for the list at once.
    index: u64,
    /// Whether a list was received since the start.
    received: bool,
    connection: Option<SocketId>,
    queried_at: Duration,
    state_store: Option<StateStore<Vec<EndpointRecord>>>,
}

/// Why a query has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::service) enum EndpointPollError {
    /// The system refuses a connection.
    #[error("no connection")]
    Connect,
    /// The connection was lost.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The response did not arrive in time.
    #[error("no answer in time")]
    Timeout,
    /// The response is incomplete, or is not HTTP.
    #[error("half an answer, or one that can't be read")]
    Unreadable,
    /// The response has no list.
    #[error("a status other than 200, or no X-Consul-Index")]
    NoList,
    /// The response's body is no list.
    #[error("an answer that can't be used")]
    MalformedList,
}

impl EndpointWatch {
    /// A watch without a list; received lists are saved by `state_store`.
    pub(in crate::service) fn new(
        zones: &[String],
        state_store: Option<StateStore<Vec<EndpointRecord>>>,
    ) -> Self {
        Self {
            directory: EndpointDirectory::new(zones),
            listed: Vec::new(),
            announced: Vec::new(),
            index: 0,
            received: false,
            connection: None,
            queried_at: Duration::ZERO,
            state_store,
        }
    }

    /// How many endpoints the decisions know.
    pub(in crate::service) fn endpoint_count(&self) -> usize {
        self.announced.len()
    }

    /// The service's index of the list.
    pub(in crate::service) fn index(&self) -> u64 {
        self.index
    }

    /// Whether a query is under way.
    pub(in crate::service) fn is_connected(&self) -> bool {
        self.connection.is_some()
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
    fn take_cached(
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

    /// Takes up a received list. The first one is a snapshot, as it tells what of the cached list is gone; later ones are
    /// deltas.
    fn take_received(
        &mut self,
        list: Vec<EndpointRecord>,
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
                pods = self.announced.len(),
                index = self.index,
                "a new list"
            );
            if let Some(store) = &self.state_store {
                store.store(self.announced.clone());
            }
        }
        update
    }

    /// Takes up a response's index and returns whether the list may have changed. An index that goes back means that the
    /// service was started anew: the next query asks for the list at once.
    fn take_index(&mut self, index: u64) -> bool {
        let changed = index != self.index;
        self.index = if index < self.index { 0 } else { index };
        changed
    }
}

impl Service {
    /// Tells the decisions of the list in the state file, or that there is none.
    pub(in crate::service) fn announce_cached_list(&mut self, state_file: Option<&Path>) {
        let loaded = match state_file {
            Some(path) => endpoint_list_file::load(path),
            None => Ok(None),
        };
        let list = loaded.unwrap_or_else(|error| {
            tracing::warn!(trouble = %error, "the state file is of no use; started without a list");
            None
        });
        let list = list.unwrap_or_default();
        let update = self.endpoints.take_cached(list, &self.peers, self.now);
        self.events.push(Event::Endpoints(update));
    }

    /// Opens a connection for a query, unless there is one or it is other sidecars' turn to find the service back.
    pub(in crate::service) fn poll_endpoint_list(&mut self) {
        if self.endpoints.connection.is_some() || self.shutdown.has_begun() {
            return;
        }
        let deferred = self
            .peers
            .deferred_poll(self.now, ControlService::EndpointList);
        if let Some(at) = deferred {
            self.timers.schedule(at, TimerEvent::PollEndpointList);
            return;
        }
        let Ok(socket) = self.sockets.connect(self.settings.endpoint_list.address) else {
            return self.endpoint_poll_failed(EndpointPollError::Connect);
        };
        let timer = self.timers.schedule(
            self.now + self.settings.connect_timeout,
            TimerEvent::EndpointListTimeout(socket),
        );
        let reader = ResponseReader::new(MAX_LIST_BYTES);
        let connection = Box::new(EndpointListConnection { reader, timer });
        self.connections
            .insert(socket, ConnectionRole::EndpointList(connection));
        self.endpoints.connection = Some(socket);
    }

    /// Sends a blocking query on a connection that is up.
    pub(in crate::service) fn send_endpoint_list_query(&mut self, socket: SocketId) {
        let service = &self.settings.endpoint_list;
        let wait = Duration::from(service.wait);
        let target = format!(
            "/v1/health/service/{}?index={}&wait={}ms",
            service.service,
            self.endpoints.index,
            wait.as_millis()
        );
        let request = self.control_request("GET", &target, service.address, Framing::Length(0));
        let timeout = wait + wait / WAIT_JITTER_DIVISOR + RESPONSE_ALLOWANCE;
        let timer = self
            .timers
            .schedule(self.now + timeout, TimerEvent::EndpointListTimeout(socket));
        if let Some(ConnectionRole::EndpointList(connection)) = self.connections.get_mut(&socket) {
            let old_timer = std::mem::replace(&mut connection.timer, timer);
            self.timers.cancel(old_timer);
        }
        self.endpoints.queried_at = self.now;
        self.sockets.send(socket, &request);
    }

    /// Reads a response, and queries again.
    pub(in crate::service) fn read_endpoint_list(&mut self, socket: SocketId) {
        let ended = self.sockets.has_ended(socket);
        let Some(ConnectionRole::EndpointList(connection)) = self.connections.get_mut(&socket)
        else {
            return;
        };
        let Some(input) = self.sockets.input(socket) else {
            return;
        };
        let (head, body) = match connection.reader.take(input, ended) {
            Ok(Some(response)) => response,
            Ok(None) if !ended => return self.sockets.resume_reading(socket),
            _ => return self.endpoint_poll_failed(EndpointPollError::Unreadable),
        };
        if let Err(error) = self.handle_endpoint_list_response(&head, &body) {
            return self.endpoint_poll_failed(error);
        }
        self.query_endpoint_list_again(socket, !ended && head.keep_alive);
    }

    fn handle_endpoint_list_response(
        &mut self,
        head: &ResponseHead,
        body: &BytesMut,
    ) -> Result<(), EndpointPollError> {
        let index = head
            .fields
            .text("x-consul-index")
            .and_then(|text| text.parse::<u64>().ok());
        let Some(index) = index.filter(|_| head.status == OK) else {
            return Err(EndpointPollError::NoList);
        };
        self.peers
            .record_poll(self.now, ControlService::EndpointList, true);
        if !self.endpoints.take_index(index) {
            return Ok(());
        }
        let list = parse_endpoint_list(body).map_err(|error| {
            tracing::warn!(trouble = %error, "the list can't be used");
            // Asked for at once again: the next response may have the same list, and well.
            self.endpoints.index = 0;
            EndpointPollError::MalformedList
        })?;
        for error in &list.rejected {
            tracing::warn!(trouble = %error, "an entry of the list is not used");
        }
        let update = self
            .endpoints
            .take_received(list.endpoints, &self.peers, self.now);
        self.events.push(Event::Endpoints(update));
        Ok(())
    }

    fn query_endpoint_list_again(&mut self, socket: SocketId, is_reusable: bool) {
        let earliest = self.endpoints.queried_at + MIN_POLL_INTERVAL;
        if is_reusable && self.now >= earliest {
            return self.send_endpoint_list_query(socket);
        }
        self.close_endpoint_list_connection();
        self.timers
            .schedule(earliest.max(self.now), TimerEvent::PollEndpointList);
    }

    /// The query's timer has fired; it may be of a connection that is gone.
    pub(in crate::service) fn endpoint_poll_timed_out(&mut self, socket: SocketId) {
        if self.endpoints.connection == Some(socket) {
            self.endpoint_poll_failed(EndpointPollError::Timeout);
        }
    }

    /// Tells the decisions that the watch is lost; they say when to query again.
    pub(in crate::service) fn endpoint_poll_failed(&mut self, error: EndpointPollError) {
        tracing::warn!(why = %error, "the node list was not had; the old one stays");
        self.peers
            .record_poll(self.now, ControlService::EndpointList, false);
        self.close_endpoint_list_connection();
        let lost = EndpointUpdate::WatchLost(WatchLoss::default());
        self.events.push(Event::Endpoints(lost));
    }

    fn close_endpoint_list_connection(&mut self) {
        let Some(socket) = self.endpoints.connection.take() else {
            return;
        };
        if let Some(ConnectionRole::EndpointList(connection)) = self.connections.remove(&socket) {
            self.timers.cancel(connection.timer);
        }
        self.sockets.close(socket);
    }
}
