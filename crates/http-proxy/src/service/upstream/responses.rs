//! Passes responses from pods to clients.

use super::exchange::{BodyRead, Exchange, ResponseProgress, StreamingRules};
use crate::service::clients::{streamed_framing, StreamEnd};
use crate::service::{ConnectionRole, Service};
use limewing_decision::interface::{AttemptOutcome, Event};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::eviction::IdleConnectionOwner;

impl Service {
    /// Reads and handles the input received from a pod.
    pub(in crate::service) fn read_upstream(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get(&socket) else {
            return;
        };
        // Unsolicited bytes on an idle connection, or its end: the connection cannot be used any more.
        let Some(exchange) = &connection.exchange else {
            return self.close_idle_connection(socket);
        };
        let attempt = exchange.attempt;
        // Backpressure: while the client does not read its response, nothing more is read from the pod.
        if exchange.is_streamed && self.is_client_backlogged(attempt.request) {
            return;
        }
        match self.read_response(socket) {
            ResponseProgress::Incomplete => self.sockets.resume_reading(socket),
            ResponseProgress::Complete => self.response_complete(socket),
            ResponseProgress::Invalid => self.response_invalid(socket),
            ResponseProgress::Unneeded => {
                self.detach_exchange(Some(socket));
                self.end_attempt(attempt, AttemptOutcome::Cancelled);
            }
        }
    }

    fn read_response(&mut self, socket: SocketId) -> ResponseProgress {
        let ended = self.sockets.has_ended(socket);
        let buffered_on_connections = self.sockets.buffered_bytes();
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return ResponseProgress::Incomplete;
        };
        let Some(exchange) = &mut connection.exchange else {
            return ResponseProgress::Incomplete;
        };
        let Some(request) = self.requests.get(exchange.attempt.request) else {
            return ResponseProgress::Invalid;
        };
        let state = &request.protocol_state;
        let Some(input) = self.sockets.input(socket) else {
            return ResponseProgress::Invalid;
        };
        match exchange.read_head(input, state.is_head()) {
            Ok(true) => {}
            Ok(false) if !ended => return ResponseProgress::Incomplete,
            Ok(false) | Err(_) => return ResponseProgress::Invalid,
        }
        let rules = StreamingRules {
            class_is_streamed: self.settings.is_streamed(state.class),
            no_response_started: !request.completed && state.streamed_attempt.is_none(),
            max_buffered: self.settings.max_buffered_response,
            buffered_on_connections,
        };
        let Ok(read) = exchange.read_body(input, rules) else {
            return ResponseProgress::Invalid;
        };
        if read.is_too_large {
            return exchange.progress_when_too_large();
        }
        let progress = exchange.progress(ended);
        let has_excess_input = progress == ResponseProgress::Complete && !input.is_empty();
        self.stream_response(socket, &read);
        if has_excess_input {
            self.discard_excess_input(socket);
        }
        progress
    }

    fn stream_response(&mut self, socket: SocketId, read: &BodyRead) {
        let Some(exchange) = self
            .exchange(socket)
            .filter(|exchange| exchange.is_streamed)
        else {
            return;
        };
        let Some(response) = &exchange.response else {
            return;
        };
        let attempt = exchange.attempt;
        let framing = streamed_framing(&response.head);
        if read.starts_streaming {
            let head = response.head.clone();
            self.begin_streaming(attempt, &head);
            self.events.push(Event::StreamStarted {
                request: attempt.request,
            });
            self.stop_attempt_timer(attempt);
        }
        for piece in &read.pieces {
            if !piece.is_empty() {
                self.stream_response_piece(attempt.request, framing, piece);
            }
        }
    }

    /// Handles bytes after the end of a response: the response is used, but the connection is not reused.
    fn discard_excess_input(&mut self, socket: SocketId) {
        if let Some(input) = self.sockets.input(socket) {
            input.clear();
        }
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let exchange = connection.exchange.as_mut();
        if let Some(response) = exchange.and_then(|exchange| exchange.response.as_mut()) {
            response.head.keep_alive = false;
        }
    }

    fn response_complete(&mut self, socket: SocketId) {
        // The response may arrive before the whole request was sent. The rest of it must not be taken for another
        // request.
        let is_request_sent =
            self.sockets.unsent_bytes(socket) == 0 && !self.has_unread_request_body(socket);
        let is_connection_clean = !self.sockets.has_peer_closed(socket) && is_request_sent;
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let pod = connection.pod;
        let Some(exchange) = connection.exchange.take() else {
            return;
        };
        let Some(response) = &exchange.response else {
            return;
        };
        if is_connection_clean && response.head.keep_alive && !self.shutdown.has_begun() {
            self.return_to_pool(socket, pod);
        } else {
            self.connections.remove(&socket);
            self.sockets.close(socket);
        }
        if exchange.is_streamed {
            return self.end_streamed_attempt(&exchange, StreamEnd::Complete);
        }
        let outcome = response.outcome();
        if outcome == AttemptOutcome::Succeeded {
            let body = exchange.reservation.attach_to(exchange.buffered.freeze());
            self.deliver_response(exchange.attempt, &response.head, body);
        }
        self.end_attempt(exchange.attempt, outcome);
    }

    /// Handles a response that is missing, truncated or malformed: the request may have run.
    fn response_invalid(&mut self, socket: SocketId) {
        self.sockets.close(socket);
        let Some(ConnectionRole::Upstream(connection)) = self.connections.remove(&socket) else {
            return;
        };
        if let Some(exchange) = connection.exchange {
            self.end_interrupted_attempt(&exchange, AttemptOutcome::ConnectionReset);
        }
    }

    /// Ends an attempt whose connection was lost. A streamed response is aborted; otherwise the attempt ends with
    /// `outcome`.
    pub(super) fn end_interrupted_attempt(&mut self, exchange: &Exchange, outcome: AttemptOutcome) {
        if exchange.is_streamed {
            self.end_streamed_attempt(exchange, StreamEnd::Aborted);
        } else {
            self.end_attempt(exchange.attempt, outcome);
        }
    }

    fn end_streamed_attempt(&mut self, exchange: &Exchange, end: StreamEnd) {
        if let Some(response) = &exchange.response {
            self.end_streaming(exchange.attempt.request, &response.head, end);
        }
        let outcome = match end {
            StreamEnd::Complete => AttemptOutcome::Succeeded,
            StreamEnd::Aborted => AttemptOutcome::ConnectionReset,
        };
        self.end_attempt(exchange.attempt, outcome);
    }
}
