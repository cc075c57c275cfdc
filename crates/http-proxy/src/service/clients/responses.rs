//! Writes pod responses to clients, buffered or streamed.

use super::{ClientRequest, LAST_CHUNK, MAX_UNCOUNTED_MESSAGE};
use crate::service::attempt_token::{AttemptId, ATTEMPT_FIELD};
use crate::service::Service;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::RequestId;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::http::{self, ResponseHead};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::in_flight::InFlightRequest;

/// Initial capacity for a response head, in bytes.
const HEAD_CAPACITY_BYTES: usize = 1024;
/// Upper bound of the size line and line endings of a chunk, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 16;

/// How a streamed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::service) enum StreamEnd {
    /// The whole response was received.
    Complete,
    /// The response was cut short.
    Aborted,
}

/// Returns the framing of a streamed response. A known length is kept; otherwise the response is chunked.
pub(in crate::service) fn streamed_framing(head: &ResponseHead) -> Framing {
    match head.framing {
        Framing::Length(length) => Framing::Length(length),
        Framing::Chunked | Framing::UntilClose => Framing::Chunked,
    }
}

/// Whether the client has not received any part of a response.
fn accepts_response(request: &InFlightRequest<ClientRequest>) -> bool {
    !request.completed && request.protocol_state.streamed_attempt.is_none()
}

/// Returns the framing of a buffered response. A response to HEAD keeps the length that GET would have returned.
fn buffered_framing(head: &ResponseHead, body: &[u8], is_head: bool) -> Framing {
    let content_length = if is_head {
        head.fields
            .text("content-length")
            .and_then(|text| text.parse().ok())
    } else {
        None
    };
    Framing::Length(content_length.unwrap_or(body.len() as u64))
}

impl Service {
    /// Completes a request with a buffered response, unless the client already has another one.
    pub(in crate::service) fn deliver_response(
        &mut self,
        attempt: AttemptId,
        head: &ResponseHead,
        body: Bytes,
    ) {
        let request = self.requests.get_mut(attempt.request);
        let Some(request) = request.filter(|request| accepts_response(request)) else {
            return;
        };
        request.completed = true;
        let client = request.client.take();
        let is_head = request.protocol_state.is_head();
        self.record_response_origin(attempt);
        let Some(client) = client else { return };
        let framing = buffered_framing(head, &body, is_head);
        let mut out = self.response_head(client, attempt, head, framing);
        let body = if is_head { Bytes::new() } else { body };
        // A small body is written together with the head: system calls are the most expensive part of a request.
        if body.len() <= MAX_UNCOUNTED_MESSAGE {
            out.extend_from_slice(&body);
            self.sockets.send(client, &out);
        } else {
            self.sockets.send(client, &out);
            self.sockets.send_shared(client, body);
        }
        self.finish_response(client);
    }

    /// Begins streaming a response to the client.
    pub(in crate::service) fn begin_streaming(&mut self, attempt: AttemptId, head: &ResponseHead) {
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        request.protocol_state.streamed_attempt = Some(attempt.index);
        let Some(client) = request.client else { return };
        self.record_response_origin(attempt);
        let out = self.response_head(client, attempt, head, streamed_framing(head));
        self.sockets.send(client, &out);
    }

    /// Streams part of a response body.
    pub(in crate::service) fn stream_response_piece(
        &mut self,
        request: RequestId,
        framing: Framing,
        piece: &[u8],
    ) {
        let Some(client) = self.client_of(request) else {
            return;
        };
        if framing == Framing::Chunked {
            let mut out = BytesMut::with_capacity(piece.len() + CHUNK_OVERHEAD_BYTES);
            write_chunk(&mut out, piece);
            self.sockets.send(client, &out);
        } else {
            self.sockets.send(client, piece);
        }
        if self.sockets.unsent_bytes(client) > self.max_unsent_bytes() {
            self.start_stall_timer(client);
        }
    }

    /// Ends a streamed response. If it was cut short, the client's connection is closed to signal that.
    pub(in crate::service) fn end_streaming(
        &mut self,
        id: RequestId,
        head: &ResponseHead,
        end: StreamEnd,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.completed = true;
        let Some(client_id) = request.client.take() else {
            return;
        };
        if end == StreamEnd::Aborted {
            if let Some(client) = self.client_mut(client_id) {
                client.request = None;
            }
            return self.client_disconnected(client_id);
        }
        if streamed_framing(head) == Framing::Chunked {
            self.sockets.send(client_id, LAST_CHUNK);
        }
        self.finish_response(client_id);
    }

    /// Whether the output queued for a request's client exceeds the limit.
    pub(in crate::service) fn is_client_backlogged(&mut self, request: RequestId) -> bool {
        match self.client_of(request) {
            Some(client) => self.sockets.unsent_bytes(client) > self.max_unsent_bytes(),
            None => false,
        }
    }

    fn client_of(&self, request: RequestId) -> Option<SocketId> {
        self.requests.get(request)?.client
    }

    fn response_head(
        &mut self,
        client: SocketId,
        attempt: AttemptId,
        head: &ResponseHead,
        framing: Framing,
    ) -> BytesMut {
        let keep_alive = self
            .client_mut(client)
            .is_some_and(|client| !client.close_after_response);
        let token = self.upstream.tokens.encode(attempt);
        let added_fields = [
            (ATTEMPT_FIELD.as_bytes(), token.as_bytes()),
            (&b"via"[..], self.settings.via.as_bytes()),
        ];
        let fields = head.fields.end_to_end().chain(added_fields);
        let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
        http::write_response(&mut out, head.status, fields, framing, keep_alive);
        out
    }

    fn finish_response(&mut self, id: SocketId) {
        let closes = self
            .client_mut(id)
            .is_some_and(|client| client.close_after_response);
        if closes {
            self.close_client(id);
        } else {
            self.end_request(id);
        }
    }
}
