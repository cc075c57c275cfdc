//! Writes a request to a pod.

use super::Exchange;
use crate::service::attempt_token::{AttemptId, ATTEMPT_FIELD};
use crate::service::clients::ClientRequest;
use crate::service::{ConnectionRole, Service};
use bytes::BytesMut;
use limewing_decision::interface::AttemptOutcome;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http;
use limewing_net::sockets::SocketId;
use limewing_proxy_core::in_flight::InFlightRequest;
use limewing_proxy_core::send_permit::SendPermit;

/// Bytes to allocate for a request's head.
const HEAD_CAPACITY: usize = 512;

impl Service {
    /// What a connection to a pod carries.
    pub(super) fn exchange(&self, socket: SocketId) -> Option<&Exchange> {
        match self.connections.get(&socket) {
            Some(ConnectionRole::Upstream(connection)) => connection.exchange.as_ref(),
            _ => None,
        }
    }

    /// Writes the request of the attempt on a connection, or as much of it as has arrived from the client. An attempt that
    /// is not allowed at this moment never runs.
    pub(super) fn write_request(&mut self, socket: SocketId) {
        let Some(exchange) = self.exchange(socket) else {
            return;
        };
        let attempt = exchange.attempt;
        let permit =
            SendPermit::request(&*self.decisions, self.now, attempt.request, attempt.index);
        let Some(_permit) = permit else {
            return self.withdraw_unwritten(socket);
        };
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let state = &mut request.protocol_state;
        state.body_attempt = state.body_attempt.or(Some(attempt.index));
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let out = self.encode_request(request, attempt);
        let is_body_complete = request.protocol_state.is_body_complete;
        let client = request.client;
        self.sockets.send(socket, &out);
        if is_body_complete {
            return;
        }
        if let Some(client) = client {
            self.stream_request_body(client);
        }
    }

    fn encode_request(
        &self,
        request: &InFlightRequest<ClientRequest>,
        attempt: AttemptId,
    ) -> BytesMut {
        let state = &request.protocol_state;
        let token = self.upstream.tokens.encode(attempt);
        let own = [
            (ATTEMPT_FIELD.as_bytes(), token.as_bytes()),
            (&b"via"[..], self.settings.via.as_bytes()),
        ];
        // A pod that begins a request only while it is waited for can't run it after the request was forgotten here.
        let deadline_field = self.classifier.deadline_field().map(str::as_bytes);
        let mut digits = itoa::Buffer::new();
        let remaining = request.deadline.saturating_sub(self.now);
        let remaining = digits.format(remaining.as_millis() as u64);
        let deadline = deadline_field.map(|field| (field, remaining.as_bytes()));
        let is_deadline =
            |name: &[u8]| deadline_field.is_some_and(|field| name.eq_ignore_ascii_case(field));
        let fields = state
            .head
            .fields
            .end_to_end()
            .filter(|(name, _)| !is_deadline(name))
            .chain(own)
            .chain(deadline);
        let framing = if state.is_body_complete {
            Framing::Length(state.body.len() as u64)
        } else {
            state.head.framing
        };
        let mut out = BytesMut::with_capacity(HEAD_CAPACITY + state.body.len());
        http::write_request(
            &mut out,
            &state.head.method,
            &state.head.target,
            fields,
            framing,
        );
        if framing == Framing::Chunked {
            write_chunk(&mut out, &state.body);
        } else {
            out.extend_from_slice(&state.body);
        }
        out
    }

    /// The pod takes more of a request's body.
    pub(in crate::service) fn upstream_flushed(&mut self, socket: SocketId) {
        if let Some(client) = self.streaming_client(socket) {
            self.stream_request_body(client);
        }
    }

    /// Whether a part of the request's body on a connection has not been read from its client.
    pub(super) fn has_request_body_rest(&self, socket: SocketId) -> bool {
        let client = self
            .streaming_client(socket)
            .and_then(|client| self.connections.get(&client));
        matches!(client, Some(ConnectionRole::Client(client)) if client.has_body_rest())
    }

    /// The client whose request's body is streamed on a connection.
    fn streaming_client(&self, socket: SocketId) -> Option<SocketId> {
        let exchange = self.exchange(socket)?;
        let request = self.requests.get(exchange.attempt.request)?;
        if request.protocol_state.is_body_complete {
            return None;
        }
        request.client
    }

    /// The attempt on an established connection is not allowed and not written: it never runs, and the connection stays.
    fn withdraw_unwritten(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Upstream(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let pod = connection.pod;
        let Some(exchange) = connection.exchange.take() else {
            return;
        };
        super::attempts::log_withdrawal(exchange.attempt, pod);
        self.return_to_pool(socket, pod);
        self.end_attempt(exchange.attempt, AttemptOutcome::NeverSent);
    }
}
