//! The client side: connections, and the state of requests in flight.
//!
//! - `requests` reads requests and passes them to the decision engine
//! - `request_bodies` streams bodies that are too large to buffer
//! - `responses` writes responses from pods
//! - `own_responses` writes responses that this sidecar generates
//! - `pages` serves this sidecar's status and administration pages
//! - `wrong_answers` handles reports of wrong answers

mod own_responses;
mod pages;
mod request_bodies;
mod requests;
mod responses;
mod wrong_answers;

use super::attempt_token::AttemptId;
use super::{ConnectionRole, Service, TimerEvent};
use bytes::Bytes;
use limewing_decision::interface::{AttemptIndex, ClassId, Event, RequestId, RoutingKey};
use limewing_net::body::BodyReader;
use limewing_net::http::RequestHead;
use limewing_net::message_reader::RequestReader;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_proxy_core::in_flight::InFlightRequest;
use limewing_proxy_core::memory_budget::{MemoryBudget, MemoryReservation};
use limewing_proxy_core::request_ids::RequestIds;
use limewing_proxy_core::shutdown::ClientListener;
pub(super) use responses::{streamed_framing, StreamEnd};
use wrong_answers::ResponseOrigins;

/// Output that may be queued for a peer before the sidecar stops reading from the other side of the request, in bytes.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// The same while memory is short, in bytes.
const MAX_UNSENT_BYTES_WHEN_SHORT: usize = 4 * 1024;
/// Maximum length of a request or a response that is buffered without counting it against the memory budget, in bytes, so
/// that small ones pass when large ones use up the budget.
pub(super) const MAX_UNCOUNTED_MESSAGE: usize = 4 * 1024;
/// The final chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const HEAD_METHOD: &str = "HEAD";

/// The client connections of one sidecar.
pub(super) struct Clients {
    /// The listener that accepts them.
    pub(super) listener: ClientListener,
    /// Number of connected clients.
    pub(super) connected: usize,
    /// Limits the memory for requests, responses and bytes buffered on connections.
    pub(super) memory: MemoryBudget,
    /// The idempotency keys of requests that must not run twice, by their hashes.
    idempotency_keys: RequestIds,
    /// The pods that recent responses came from.
    response_origins: ResponseOrigins,
}

impl Clients {
    /// Starts without connected clients.
    pub(super) fn new(listener: ClientListener, memory: MemoryBudget) -> Self {
        Self {
            listener,
            connected: 0,
            memory,
            idempotency_keys: RequestIds::default(),
            response_origins: ResponseOrigins::default(),
        }
    }
}

/// A client's connection.
pub(super) struct Client {
    reader: RequestReader,
    /// The memory for the request that it is sending.
    reservation: MemoryReservation,
    /// The request in flight. Requests pipelined behind it wait.
    request: Option<RequestId>,
    /// Reads the remainder of a streamed request body.
    unread_body: Option<BodyReader>,
    /// Whether the connection closes after the current response.
    close_after_response: bool,
    request_timer: Option<TimerKey>,
    stall_timer: Option<TimerKey>,
}

impl Client {
    fn new(max_buffered_request: usize, reservation: MemoryReservation) -> Self {
        Self {
            reader: RequestReader::new(max_buffered_request),
            reservation,
            request: None,
            unread_body: None,
            close_after_response: false,
            request_timer: None,
            stall_timer: None,
        }
    }

    /// Whether no request is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.request.is_none()
    }

    /// Whether part of the request body is still unread.
    pub(super) fn has_unread_body(&self) -> bool {
        self.unread_body.is_some()
    }
}

/// HTTP state of a request in flight.
pub(super) struct ClientRequest {
    /// The request head.
    pub(super) head: RequestHead,
    /// The body, or the part of it that was buffered.
    pub(super) body: Bytes,
    /// Whether the body is complete. The remainder of an incomplete body is streamed, so only one attempt can receive
    /// it.
    pub(super) is_body_complete: bool,
    /// The attempt that receives the remainder of the body.
    pub(super) body_attempt: Option<AttemptIndex>,
    /// The request class.
    pub(super) class: ClassId,
    /// Hash of the routing key.
    pub(super) routing_key: Option<RoutingKey>,
    /// Hash of the idempotency key, for requests that must not run twice.
    pub(super) idempotency_hash: Option<u64>,
    /// The attempt whose response is streamed to the client.
    pub(super) streamed_attempt: Option<AttemptIndex>,
    /// The memory for head and body.
    _reservation: MemoryReservation,
}

impl ClientRequest {
    /// Whether the method is HEAD, whose responses have no body.
    pub(super) fn is_head(&self) -> bool {
        self.head.method == HEAD_METHOD
    }
}

impl Service {
    /// Accepts a client, or rejects it when the connection limit is reached or shutdown has begun.
    pub(super) fn accept_client(&mut self, id: SocketId) {
        if self.clients.connected >= self.settings.max_clients || self.shutdown.has_begun() {
            return self.reject_client(id);
        }
        self.clients.connected += 1;
        let reservation = self.clients.memory.reservation();
        let client = Client::new(self.settings.max_buffered_request, reservation);
        self.connections
            .insert(id, ConnectionRole::Client(Box::new(client)));
    }

    /// Whether the memory budget has no room for the largest request that is buffered.
    fn is_memory_short(&self) -> bool {
        let memory = &self.clients.memory;
        let held = memory.reserved() + self.sockets.buffered_bytes();
        held.saturating_add(self.settings.max_buffered_request) > memory.limit()
    }

    /// Returns how many bytes may be queued for a peer before the sidecar stops reading from the other side of the request.
    pub(super) fn max_unsent_bytes(&self) -> usize {
        if self.is_memory_short() {
            MAX_UNSENT_BYTES_WHEN_SHORT
        } else {
            MAX_UNSENT_BYTES
        }
    }

    fn client_mut(&mut self, id: SocketId) -> Option<&mut Client> {
        match self.connections.get_mut(&id) {
            Some(ConnectionRole::Client(client)) => Some(client),
            _ => None,
        }
    }

    /// Resumes reading after all output queued for a client was passed to the operating system.
    pub(super) fn client_flushed(&mut self, id: SocketId) {
        self.stop_stall_timer(id);
        let Some(client) = self.client_mut(id) else {
            return;
        };
        let request = client.request;
        let Some(request) = request.and_then(|request| self.requests.get(request)) else {
            return self.read_client(id);
        };
        let streamed = request
            .protocol_state
            .streamed_attempt
            .and_then(|index| request.attempts.get(usize::from(index.0)));
        if let Some(connection) = streamed.and_then(|attempt| attempt.connection) {
            self.read_upstream(connection);
        }
    }

    fn start_stall_timer(&mut self, id: SocketId) {
        let stalled_at = self.now + self.settings.client_stall_timeout;
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        if client.stall_timer.is_none() {
            let timer = self
                .timers
                .schedule(stalled_at, TimerEvent::ClientStalled(id));
            client.stall_timer = Some(timer);
        }
    }

    fn stop_stall_timer(&mut self, id: SocketId) {
        let timer = self
            .client_mut(id)
            .and_then(|client| client.stall_timer.take());
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
    }

    /// Disconnects a client that has not read its response for too long.
    pub(super) fn client_stalled(&mut self, id: SocketId) {
        if let Some(client) = self.client_mut(id) {
            client.stall_timer = None;
            self.client_disconnected(id);
        }
    }

    /// Cleans up after a client that disconnected. A request without a final response is abandoned.
    pub(super) fn client_disconnected(&mut self, id: SocketId) {
        let request = self.client_mut(id).and_then(|client| client.request.take());
        self.remove_client(id);
        self.sockets.close(id);
        if let Some(request) = request {
            self.abandon_request(request);
        }
    }

    fn abandon_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.client = None;
        if request.completed {
            return;
        }
        request.completed = true;
        let streamed_attempt = request.protocol_state.streamed_attempt;
        self.peers.request_finished(id);
        self.events.push(Event::ClientDisconnected(id));
        if let Some(index) = streamed_attempt {
            self.abort_streamed_attempt(AttemptId { request: id, index });
        }
        self.remove_completed_request(id);
    }

    fn remove_completed_request(&mut self, id: RequestId) {
        let removed = self.requests.remove_if_complete(id);
        self.release_idempotency_key(removed);
    }

    /// Allows the idempotency key of a removed request to be used again, unless the request may have run.
    pub(super) fn release_idempotency_key(
        &mut self,
        removed: Option<InFlightRequest<ClientRequest>>,
    ) {
        let Some(request) = removed else { return };
        if let Some(hash) = request.protocol_state.idempotency_hash {
            let keys = &mut self.clients.idempotency_keys;
            keys.complete(self.now, &hash, request.may_have_run);
        }
    }

    /// Closes a client's connection once its queued output is sent.
    pub(super) fn close_client(&mut self, id: SocketId) {
        self.remove_client(id);
        self.sockets.close_when_sent(id);
    }

    fn remove_client(&mut self, id: SocketId) {
        let Some(ConnectionRole::Client(client)) = self.connections.remove(&id) else {
            return;
        };
        self.clients.connected -= 1;
        for timer in [client.request_timer, client.stall_timer]
            .into_iter()
            .flatten()
        {
            self.timers.cancel(timer);
        }
    }
}

#[cfg(test)]
mod tests;
