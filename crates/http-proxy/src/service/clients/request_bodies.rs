//! Streams request bodies that are too large to buffer to pods.

use super::{ClientRequest, LAST_CHUNK};
use crate::service::{ConnectionRole, Service};
use bytes::BytesMut;
use limewing_decision::interface::RequestId;
use limewing_net::body::{write_chunk, Framing};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::in_flight::InFlightRequests;

/// The connection that the remainder of a body is streamed to.
struct BodyTarget {
    connection: SocketId,
    framing: Framing,
}

impl Service {
    /// Streams the received part of a client's body, as fast as the pod accepts it. A client that has closed its side counts
    /// as disconnected, even if part of the body is unread.
    pub(in crate::service) fn stream_request_body(&mut self, id: SocketId) {
        if self.sockets.has_peer_closed(id) {
            return self.client_disconnected(id);
        }
        let max_unsent = self.max_unsent_bytes();
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        let (Some(request), Some(reader)) = (client.request, client.unread_body.as_mut()) else {
            return;
        };
        // Until a pod has the request, and while its send queue is full, nothing more is read from the client.
        let Some(target) = body_target(&self.requests, request) else {
            return;
        };
        let mut out = BytesMut::new();
        while self.sockets.unsent_bytes(target.connection) + out.len() <= max_unsent {
            let Some(input) = self.sockets.input(id) else {
                return;
            };
            match reader.next(input) {
                Ok(Some(piece)) if target.framing == Framing::Chunked => {
                    write_chunk(&mut out, &piece);
                }
                Ok(Some(piece)) => out.extend_from_slice(&piece),
                Ok(None) => break,
                // The remainder is malformed: the pod must not take the part it has for the complete body.
                Err(_) => return self.client_disconnected(id),
            }
        }
        if reader.ended() {
            client.unread_body = None;
            if target.framing == Framing::Chunked {
                out.extend_from_slice(LAST_CHUNK);
            }
        }
        if !out.is_empty() {
            self.sockets.send(target.connection, &out);
        }
        self.sockets.resume_reading(id);
    }
}

fn body_target(requests: &InFlightRequests<ClientRequest>, id: RequestId) -> Option<BodyTarget> {
    let request = requests.get(id).filter(|request| !request.completed)?;
    let index = request.protocol_state.body_attempt?;
    let attempt = request.attempts.get(usize::from(index.0))?;
    Some(BodyTarget {
        connection: attempt.connection?,
        framing: request.protocol_state.head.framing,
    })
}
