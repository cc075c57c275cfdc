//! The end of client sessions: after an error, after a timeout, by the client, or for eviction.

use super::clients::FatalError;
use super::{ConnectionRole, Service, TimerEvent};
use crate::idle_clients::{exceeds_idle_timeout, select_for_eviction, IdleClient};
use crate::timeouts::{IDLE_CLIENT_CHECK_INTERVAL, PROTOCOL_ERROR_DELAY, SLOW_CLIENT_TIMEOUT};
use bytes::BytesMut;
use limewing_net::sockets::SocketId;
use limewing_postgres_protocol::encode::{self, ErrorResponse, Severity};
use limewing_postgres_protocol::MessageDecoder;
use limewing_proxy_core::eviction::IdleConnectionOwner;

/// `idle_session_timeout`.
const IDLE_SESSION_SQLSTATE: &str = "57P05";

impl Service {
    /// Ends a client's session because of an invalid message. The client gets the error after a
    /// delay.
    pub(super) fn fail_session(&mut self, id: SocketId, error: FatalError) {
        tracing::debug!(
            sqlstate = error.sqlstate,
            error = error.message,
            "client session failed"
        );
        let deadline = self.now + PROTOCOL_ERROR_DELAY;
        let Some(client) = self.client(id) else {
            return;
        };
        client.fatal_error = Some(error);
        client.decoder = MessageDecoder::default();
        client.reservation.resize(0);
        if let Some(timer) = client.timer.take() {
            self.timers.cancel(timer);
        }
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::SendFatalError(id));
        if let Some(client) = self.client(id) {
            client.timer = Some(timer);
        }
    }

    /// Sends the error that ends a session, without further delay.
    pub(super) fn send_fatal_error(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.timer = None;
        let Some(error) = client.fatal_error.take() else {
            return;
        };
        self.send_fatal(id, error.sqlstate, &error.message);
        self.remove_client(id);
        self.sockets.close(id);
    }

    /// Handles a client that has not sent a complete message in time.
    pub(super) fn handle_client_timeout(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.timer = None;
        if client.request.is_none() {
            self.send_fatal(id, IDLE_SESSION_SQLSTATE, "nothing whole was said in time");
            self.close_client(id);
        }
    }

    fn send_fatal(&mut self, id: SocketId, sqlstate: &str, message: &str) {
        let mut out = BytesMut::new();
        let error = ErrorResponse {
            severity: Severity::Fatal,
            sqlstate,
            message,
            detail: None,
        };
        encode::error_response(&mut out, &error);
        self.sockets.send(id, &out);
    }

    /// Closes connections that have exceeded the idle timeout if many are open, or all idle
    /// connections during a shutdown.
    pub(super) fn check_idle_clients(&mut self) {
        let next_check = self.now + IDLE_CLIENT_CHECK_INTERVAL;
        self.timers
            .schedule(next_check, TimerEvent::CheckIdleClients);
        let connected = self.clients.connected;
        let max_accepted = self.upstream.budget.max_accepted;
        let has_stopped_accepting = self.shutdown.has_stopped_accepting();
        for (client, id) in self.idle_clients() {
            if has_stopped_accepting
                || exceeds_idle_timeout(&client, connected, max_accepted, self.now)
            {
                self.close_if_idle(id);
            }
        }
        self.close_slow_clients();
    }

    /// Closes the connections of clients that do not read their responses, if memory is short.
    fn close_slow_clients(&mut self) {
        if !self.is_memory_short() {
            return;
        }
        for (client, id) in self.idle_clients() {
            if self.now >= client.since + SLOW_CLIENT_TIMEOUT && self.sockets.unsent_bytes(id) > 0 {
                tracing::debug!("client that does not read its responses disconnected");
                self.disconnect_client(id);
            }
        }
    }

    /// Closes a connection without a request; returns whether it did. A connection stays open if a
    /// statement has partly arrived or is buffered by the operating system, because its client
    /// would have to send the statement again. A client that has not sent a statement yet keeps its
    /// time to send one.
    pub(super) fn close_if_idle(&mut self, id: SocketId) -> bool {
        let Some(client) = self.client(id) else {
            return false;
        };
        let is_busy =
            client.request.is_some() || client.timer.is_some() || client.decoder.is_mid_message();
        if is_busy || !self.sockets.is_silent(id) {
            return false;
        }
        self.close_client(id);
        true
    }

    fn idle_clients(&self) -> Vec<(IdleClient, SocketId)> {
        let mut idle_clients = Vec::new();
        for (id, role) in &self.connections {
            let ConnectionRole::Client(client) = role else {
                continue;
            };
            if client.request.is_none() {
                let idle = IdleClient {
                    was_served: client.was_served,
                    since: client.idle_since,
                };
                idle_clients.push((idle, *id));
            }
        }
        idle_clients
    }

    /// Evicts connections while others wait to be accepted.
    pub(super) fn make_room_for_clients(&mut self) {
        for id in select_for_eviction(self.idle_clients(), self.now) {
            let client = self.client(id);
            if client.is_some_and(|client| client.fatal_error.is_some()) {
                self.send_fatal_error(id);
            } else if !self.sockets.has_unread_input(id) {
                self.close_client(id);
            }
            // A statement buffered by the operating system is read next.
        }
        self.evict_for_clients();
    }

    /// Closes the idle connections, those that were never served first.
    pub(super) fn close_idle_clients(&mut self) {
        let mut idle_clients = self.idle_clients();
        idle_clients.sort_unstable();
        for (_, id) in idle_clients {
            self.close_if_idle(id);
        }
    }

    /// Handles the disconnect of a client, which ends its request, if any.
    pub(super) fn disconnect_client(&mut self, id: SocketId) {
        let request = self.client(id).and_then(|client| client.request.take());
        self.remove_client(id);
        self.sockets.close(id);
        if let Some(request) = request {
            self.abandon_request(request);
        }
    }

    /// Handles a client that sends more statements during its request than allowed: the request and
    /// the session end.
    pub(super) fn abandon_flooding_client(&mut self, id: SocketId) {
        let request = self.client(id).and_then(|client| client.request.take());
        if let Some(request) = request {
            self.abandon_request(request);
        }
        self.fail_session(id, FatalError::too_many_statements());
    }

    /// Closes a connection once everything written to it has been sent.
    fn close_client(&mut self, id: SocketId) {
        self.remove_client(id);
        self.sockets.close_when_sent(id);
    }

    fn remove_client(&mut self, id: SocketId) {
        let Some(ConnectionRole::Client(client)) = self.connections.remove(&id) else {
            return;
        };
        self.clients.connected -= 1;
        if let Some(timer) = client.timer {
            self.timers.cancel(timer);
        }
    }
}
