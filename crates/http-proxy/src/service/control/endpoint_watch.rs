//! Watches the endpoint list with blocking queries.

use crate::endpoint_list::parse_endpoint_list;
use crate::endpoint_list_file;
use crate::http_status;
use crate::service::{ConnectionRole, Service, TimerEvent};
use bytes::BytesMut;
use limewing_coordination::Service as ControlService;
use limewing_decision::interface::{EndpointUpdate, Event, WatchLoss};
use limewing_net::body::Framing;
use limewing_net::http::ResponseHead;
use limewing_net::message_reader::ResponseReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use std::path::Path;
use std::time::Duration;

/// Maximum size of a response body, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Minimum interval between queries, however quickly the service responds.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The service extends the wait of a blocking query by up to `wait / WAIT_JITTER_DIVISOR`, to spread its responses.
const WAIT_JITTER_DIVISOR: u32 = 16;
/// Time allowed for a response beyond the wait of its blocking query.
const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(2);

/// A connection to the endpoint list service.
pub(in crate::service) struct EndpointListConnection {
    reader: ResponseReader,
    timer: TimerKey,
}

/// The state of the watch.
#[derive(Default)]
pub(in crate::service) struct EndpointWatch {
    /// The service's index of the list. With index 0 the service responds at once.
    index: u64,
    connection: Option<SocketId>,
    queried_at: Duration,
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::service) enum EndpointPollError {
    /// The operating system could not open a connection.
    #[error("cannot open a connection")]
    Connect,
    /// The connection was lost.
    #[error("connection lost")]
    ConnectionLost,
    /// The response did not arrive in time.
    #[error("no response in time")]
    Timeout,
    /// The response is incomplete or not valid HTTP.
    #[error("the response is incomplete or not valid HTTP/1.1")]
    MalformedResponse,
    /// The response status is not 200, or the index is missing or invalid.
    #[error("expected status 200 and a number in X-Consul-Index")]
    UnexpectedResponse,
    /// The response body is not a valid endpoint list.
    #[error("the response body is not a valid endpoint list")]
    MalformedList,
}

impl EndpointWatch {
    /// Returns the service's index of the list.
    pub(in crate::service) fn index(&self) -> u64 {
        self.index
    }

    /// Whether a connection for queries exists.
    pub(in crate::service) fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Stores the index of a response. Returns whether the list may have changed. An index that decreases means that
    /// the service restarted: the next query asks for the list at once.
    fn update_index(&mut self, index: u64) -> bool {
        let changed = index != self.index;
        self.index = if index < self.index { 0 } else { index };
        changed
    }
}

impl Service {
    /// Passes the endpoint list in the state file to the decision engine, or an empty list if there is none.
    pub(in crate::service) fn announce_cached_list(&mut self, state_file: Option<&Path>) {
        let loaded = match state_file {
            Some(path) => endpoint_list_file::load(path),
            None => Ok(None),
        };
        let list = loaded.unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot read the state file, starting without an endpoint list");
            None
        });
        let list = list.unwrap_or_default();
        let update = self.endpoints.apply_cached(list, &self.peers, self.now);
        self.events.push(Event::Endpoints(update));
    }

    /// Opens a connection for a query, unless one exists or only other sidecars may probe the failed service now.
    pub(in crate::service) fn poll_endpoint_list(&mut self) {
        if self.endpoint_watch.connection.is_some() || self.shutdown.has_begun() {
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
        self.endpoint_watch.connection = Some(socket);
    }

    /// Sends a blocking query on an established connection.
    pub(in crate::service) fn send_endpoint_list_query(&mut self, socket: SocketId) {
        let service = &self.settings.endpoint_list;
        let wait = Duration::from(service.wait);
        let target = format!(
            "/v1/health/service/{}?index={}&wait={}ms",
            service.service,
            self.endpoint_watch.index,
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
        self.endpoint_watch.queried_at = self.now;
        self.sockets.send(socket, &request);
    }

    /// Reads a response and schedules the next query.
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
            _ => return self.endpoint_poll_failed(EndpointPollError::MalformedResponse),
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
        let Some(index) = index.filter(|_| head.status == http_status::OK) else {
            return Err(EndpointPollError::UnexpectedResponse);
        };
        self.peers
            .record_poll(self.now, ControlService::EndpointList, true);
        if !self.endpoint_watch.update_index(index) {
            return Ok(());
        }
        let list = parse_endpoint_list(body).map_err(|error| {
            tracing::warn!(%error, "endpoint list cannot be used");
            // Query again without waiting for a change: the next response may carry the same list in valid form.
            self.endpoint_watch.index = 0;
            EndpointPollError::MalformedList
        })?;
        for error in &list.rejected {
            tracing::warn!(%error, "endpoint cannot be used, it gets no further requests");
        }
        let update = self.endpoints.apply_received(
            list.endpoints,
            self.endpoint_watch.index,
            &self.peers,
            self.now,
        );
        self.events.push(Event::Endpoints(update));
        Ok(())
    }

    fn query_endpoint_list_again(&mut self, socket: SocketId, is_reusable: bool) {
        let earliest = self.endpoint_watch.queried_at + MIN_POLL_INTERVAL;
        if is_reusable && self.now >= earliest {
            return self.send_endpoint_list_query(socket);
        }
        self.close_endpoint_list_connection();
        self.timers
            .schedule(earliest.max(self.now), TimerEvent::PollEndpointList);
    }

    /// Handles a query timeout. The timer may belong to a connection that was closed since.
    pub(in crate::service) fn endpoint_poll_timed_out(&mut self, socket: SocketId) {
        if self.endpoint_watch.connection == Some(socket) {
            self.endpoint_poll_failed(EndpointPollError::Timeout);
        }
    }

    /// Reports the loss of the watch to the decision engine, which decides when to query again.
    pub(in crate::service) fn endpoint_poll_failed(&mut self, error: EndpointPollError) {
        tracing::warn!(%error, "endpoint watch lost, keeping the known list");
        self.peers
            .record_poll(self.now, ControlService::EndpointList, false);
        self.close_endpoint_list_connection();
        let lost = EndpointUpdate::WatchLost(WatchLoss::default());
        self.events.push(Event::Endpoints(lost));
    }

    fn close_endpoint_list_connection(&mut self) {
        let Some(socket) = self.endpoint_watch.connection.take() else {
            return;
        };
        if let Some(ConnectionRole::EndpointList(connection)) = self.connections.remove(&socket) {
            self.timers.cancel(connection.timer);
        }
        self.sockets.close(socket);
    }
}
