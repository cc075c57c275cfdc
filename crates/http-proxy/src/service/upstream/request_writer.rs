//! Writes requests to pods.

use super::Exchange;
use crate::service::attempt_token::{AttemptId, ATTEMPT_FIELD};
use crate::service::clients::{ClientRequest, MAX_UNCOUNTED_MESSAGE};
use crate::service::{ConnectionRole, Service};
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::AttemptOutcome;
use limewing_net::body::{write_chunk, write_chunk_size, Framing, CHUNK_END};
use limewing_net::http;
use limewing_net::sockets::SocketId;
use limewing_proxy_core::in_flight::InFlightRequest;
use limewing_proxy_core::send_permit::SendPermit;

/// Initial capacity for a request head, in bytes.
const HEAD_CAPACITY_BYTES: usize = 512;

/// The bytes of a request, or of the part of it that was received from the client, in the order in which they are sent.
struct EncodedRequest {
    /// The head, with a small body.
    head: BytesMut,
    /// A larger body, shared with the request.
    body: Bytes,
    /// The bytes that follow the body.
    end: &'static [u8],
}

impl EncodedRequest {
    fn copied(head: BytesMut) -> Self {
        Self {
            head,
            body: Bytes::new(),
            end: b"",
        }
    }
}

impl Service {
    /// Returns the exchange on a connection to a pod, if there is one.
    pub(super) fn exchange(&self, socket: SocketId) -> Option<&Exchange> {
        match self.connections.get(&socket) {
            Some(ConnectionRole::Upstream(connection)) => connection.exchange.as_ref(),
            _ => None,
        }
    }

    /// Writes the request of the attempt on a connection, or the part of it that was received from the client. An
    /// attempt that is not allowed at this moment is withdrawn and never runs.
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
        let encoded = self.encode_request(request, attempt);
        let is_body_complete = request.protocol_state.is_body_complete;
        let client = request.client;
        self.sockets.send(socket, &encoded.head);
        self.sockets.send_shared(socket, encoded.body);
        self.sockets.send(socket, encoded.end);
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
    ) -> EncodedRequest {
        let state = &request.protocol_state;
        let token = self.upstream.tokens.encode(attempt);
        let added_fields = [
            (ATTEMPT_FIELD.as_bytes(), token.as_bytes()),
            (&b"via"[..], self.settings.via.as_bytes()),
        ];
        // With the remaining time, a pod can skip an expired request, so that it does not run after this sidecar has
        // forgotten it.
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
            .chain(added_fields)
            .chain(deadline);
        let framing = if state.is_body_complete {
            Framing::Length(state.body.len() as u64)
        } else {
            state.head.framing
        };
        let is_copied = state.body.len() <= MAX_UNCOUNTED_MESSAGE;
        let copied_length = if is_copied { state.body.len() } else { 0 };
        let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES + copied_length);
        http::write_request(
            &mut out,
            &state.head.method,
            &state.head.target,
            fields,
            framing,
        );
        let is_chunked = framing == Framing::Chunked;
        if is_copied {
            if is_chunked {
                write_chunk(&mut out, &state.body);
            } else {
                out.extend_from_slice(&state.body);
            }
            return EncodedRequest::copied(out);
        }
        if is_chunked {
            write_chunk_size(&mut out, state.body.len());
        }
        EncodedRequest {
            head: out,
            body: state.body.clone(),
            end: if is_chunked { CHUNK_END } else { b"" },
        }
    }

    /// Continues to stream a request body when the pod accepts more of it.
    pub(in crate::service) fn upstream_flushed(&mut self, socket: SocketId) {
        if let Some(client) = self.streaming_client(socket) {
            self.stream_request_body(client);
        }
    }

    /// Whether part of the request body on a connection has not been read from the client yet.
    pub(super) fn has_unread_request_body(&self, socket: SocketId) -> bool {
        let client = self
            .streaming_client(socket)
            .and_then(|client| self.connections.get(&client));
        matches!(client, Some(ConnectionRole::Client(client)) if client.has_unread_body())
    }

    /// Returns the client whose request body is streamed on a connection.
    fn streaming_client(&self, socket: SocketId) -> Option<SocketId> {
        let exchange = self.exchange(socket)?;
        let request = self.requests.get(exchange.attempt.request)?;
        if request.protocol_state.is_body_complete {
            return None;
        }
        request.client
    }

    /// Withdraws an attempt that is not written yet and not allowed. It never runs, and the connection returns to the
    /// pool.
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
