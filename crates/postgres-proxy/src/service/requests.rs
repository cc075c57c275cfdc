//! Requests: each one comes from a statement of a client and gets one final response.

use super::clients::FatalError;
use super::Service;
use crate::statement::{Statement, MAX_STATEMENT};
use crate::timeouts::response_margin;
use bytes::BytesMut;
use limewing_decision::interface::{Event, Request, RequestId};
use limewing_net::sockets::SocketId;
use limewing_postgres_protocol::encode::{self, ErrorResponse, Severity};
use limewing_proxy_core::in_flight::InFlightRequest;
use limewing_proxy_core::memory_budget::MemoryReservation;
use limewing_proxy_core::request_ids::RepeatedId;
use std::time::Duration;

/// `too_many_connections`: the request had no effect.
const REJECTED_SQLSTATE: &str = "53300";
/// `query_canceled`: the deadline of the request has passed.
const TIMED_OUT_SQLSTATE: &str = "57014";
/// `system_error`: the request failed.
const FAILED_SQLSTATE: &str = "58000";

impl Service {
    /// Accepts a request from a statement of a client, for which `reservation` holds the memory. A
    /// client that has closed its side does not wait for a response.
    pub(super) fn handle_request(
        &mut self,
        client: SocketId,
        text: &str,
        reservation: MemoryReservation,
    ) {
        if self.sockets.has_peer_closed(client) {
            return self.disconnect_client(client);
        }
        let mut statement = match self.clients.parser.parse(text) {
            Ok(statement) => statement,
            Err(error) => {
                let error = FatalError::invalid_statement(error.to_string());
                return self.fail_session(client, error);
            }
        };
        if self.has_too_many_statements(client) {
            return self.fail_session(client, FatalError::too_many_statements());
        }
        match self.clients.request_ids.accept(self.now, &statement.id) {
            Ok(()) => {}
            Err(RepeatedId::InFlight) => {
                let error =
                    FatalError::invalid_statement("the id is that of another hit that is open");
                return self.fail_session(client, error);
            }
            Err(RepeatedId::MayHaveRun) => return self.fail_repeated_request(client),
        }
        self.end_wait_for_message(client);
        let deadline = self.now + statement.timeout - response_margin(statement.timeout);
        let class = statement.class;
        let tenant = statement.tenant;
        let routing_key = statement.routing_key;
        statement.attach_reservation(reservation);
        let id = self.requests.insert(client, deadline, statement);
        self.events.push(Event::RequestArrived(Request {
            id,
            class,
            tenant,
            routing_key,
            deadline,
        }));
        if let Some(client) = self.client(client) {
            client.request = Some(id);
        }
    }

    /// Responds that a request had no effect, and when it may be retried.
    pub(super) fn reject_request(&mut self, id: RequestId, retry_after: Duration) {
        self.complete_request(id, rejection(retry_after));
    }

    /// Responds to a statement that was read but not buffered for lack of memory: it had no effect.
    pub(super) fn reject_discarded_statement(&mut self, client: SocketId) {
        let memory = &self.clients.memory;
        tracing::debug!(
            reserved = memory.reserved(),
            buffered = self.sockets.buffered_bytes(),
            limit = memory.limit(),
            open_requests = self.requests.len(),
            "statement rejected for lack of memory"
        );
        let mut out = rejection(Duration::ZERO);
        encode::ready_for_query(&mut out);
        self.sockets.send(client, &out);
        self.end_wait_for_message(client);
    }

    /// Responds to a statement whose id is that of a completed request that may have had an effect:
    /// it is not sent, and is reported as failed.
    fn fail_repeated_request(&mut self, client: SocketId) {
        tracing::debug!("id of a completed request used again");
        let mut out = failure(FAILED_SQLSTATE);
        encode::ready_for_query(&mut out);
        self.sockets.send(client, &out);
        self.end_wait_for_message(client);
    }

    /// Whether the memory budget has no room for the longest statement.
    pub(super) fn is_memory_short(&self) -> bool {
        let memory = &self.clients.memory;
        memory.reserved() + self.sockets.buffered_bytes() + MAX_STATEMENT > memory.limit()
    }

    /// Responds that a request failed and may have had an effect.
    pub(super) fn fail_request(&mut self, id: RequestId) {
        let has_timed_out = self
            .requests
            .get(id)
            .is_some_and(|request| self.now >= request.deadline);
        let sqlstate = if has_timed_out {
            TIMED_OUT_SQLSTATE
        } else {
            FAILED_SQLSTATE
        };
        self.complete_request(id, failure(sqlstate));
    }

    /// Sends the final response to a request, followed by ReadyForQuery.
    pub(super) fn complete_request(&mut self, id: RequestId, mut answer: BytesMut) {
        let Some(request) = self.requests.pending_mut(id) else {
            return;
        };
        request.completed = true;
        let client_socket = request.client.take();
        self.end_unwritten_attempts_of(id);
        self.remove_completed_request(id);
        let Some(socket) = client_socket else { return };
        encode::ready_for_query(&mut answer);
        self.sockets.send(socket, &answer);
        let now = self.now;
        let is_shutting_down = self.shutdown.has_begun();
        let Some(client) = self.client(socket) else {
            return;
        };
        client.request = None;
        client.idle_since = now;
        client.was_served = true;
        // During a shutdown, an idle client is disconnected so that it finds another sidecar.
        // Statements that it has already sent are still served.
        let is_closed = is_shutting_down && self.close_if_idle(socket);
        if !is_closed {
            self.read_from_client(socket);
        }
    }

    /// Abandons a request whose client has disconnected or no longer waits for it.
    pub(super) fn abandon_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.client = None;
        if request.completed {
            return;
        }
        request.completed = true;
        self.events.push(Event::ClientDisconnected(id));
        self.end_unwritten_attempts_of(id);
        self.remove_completed_request(id);
    }

    fn remove_completed_request(&mut self, id: RequestId) {
        let removed = self.requests.remove_if_complete(id);
        self.release_request_id(removed);
    }

    /// Allows the client id of a removed request to be used again, unless the request may have had
    /// an effect.
    pub(super) fn release_request_id(&mut self, removed: Option<InFlightRequest<Statement>>) {
        let Some(request) = removed else { return };
        let statement = &request.protocol_state;
        let must_not_repeat = request.may_have_run && !self.settings.is_idempotent(statement.class);
        let ids = &mut self.clients.request_ids;
        ids.complete(self.now, &statement.id, must_not_repeat);
    }
}

/// Returns the response that a request failed and may have had an effect.
fn failure(sqlstate: &'static str) -> BytesMut {
    let mut out = BytesMut::new();
    let error = ErrorResponse {
        severity: Severity::Error,
        sqlstate,
        message: "failed: it may have run",
        detail: None,
    };
    encode::error_response(&mut out, &error);
    out
}

/// Returns the response that a request had no effect, and when it may be retried. Zero means that
/// no retry delay is recommended.
fn rejection(retry_after: Duration) -> BytesMut {
    let mut digits = itoa::Buffer::new();
    let retry_after_ms = if retry_after.is_zero() {
        None
    } else {
        Some(digits.format(retry_after.as_millis() as u64))
    };
    let mut out = BytesMut::new();
    let error = ErrorResponse {
        severity: Severity::Error,
        sqlstate: REJECTED_SQLSTATE,
        message: "not served now: a retry is harmless",
        detail: retry_after_ms,
    };
    encode::error_response(&mut out, &error);
    out
}
