//! Reads client requests and passes them to the decision engine.

use super::{ClientRequest, MAX_UNCOUNTED_MESSAGE};
use crate::request_classifier::RequestTraits;
use crate::service::{ConnectionRole, Service, TimerEvent};
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::{Event, Request};
use limewing_net::http::{HttpError, RequestHead};
use limewing_net::sockets::SocketId;
use limewing_proxy_core::memory_budget::MemoryReservation;
use limewing_replication::Refusal;

/// Maximum number of requests of one client that are handled in a turn of the event loop, so that a client that sends many
/// does not delay others.
pub(super) const MAX_REQUESTS_PER_TURN: usize = 8;
/// The interim response that tells a client to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Service {
    /// Reads and handles the input received from a client, up to its next request that needs a decision or the limit for one
    /// turn.
    pub(in crate::service) fn read_client(&mut self, id: SocketId) {
        for _ in 0..MAX_REQUESTS_PER_TURN {
            let ended = self.sockets.has_ended(id);
            let max_unsent = self.max_unsent_bytes();
            let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
                return;
            };
            if client.request.is_some() {
                return self.read_during_request(id);
            }
            // A client that does not read its responses is not read either, and is disconnected after a timeout.
            if self.sockets.unsent_bytes(id) > max_unsent {
                return self.start_stall_timer(id);
            }
            let Some(input) = self.sockets.input(id) else {
                return;
            };
            let taken = client.reader.take(input, ended);
            let has_partial_input = client.reader.is_mid_message() || !input.is_empty();
            match taken {
                Ok(Some((head, body))) => self.handle_request(id, head, body),
                Ok(None) if ended => return self.client_disconnected(id),
                Ok(None) => return self.wait_for_request(id, has_partial_input),
                Err(HttpError::UnexpectedEnd) => return self.client_disconnected(id),
                Err(HttpError::BodyTooLarge) => self.handle_large_request(id),
                Err(error) => return self.reject_malformed_request(id, error),
            }
        }
        self.sockets.report_again(id);
    }

    /// Streams the remainder of the request body. Pipelined requests wait; a client that closed its side counts as
    /// disconnected, even if unread input remains.
    fn read_during_request(&mut self, id: SocketId) {
        let has_unread_body = self
            .client_mut(id)
            .is_some_and(|client| client.has_unread_body());
        if has_unread_body {
            self.stream_request_body(id);
        } else if self.sockets.has_peer_closed(id) {
            self.client_disconnected(id);
        }
    }

    fn wait_for_request(&mut self, id: SocketId, has_partial_input: bool) {
        let Some(client) = self.client_mut(id) else {
            return;
        };
        let held = client.reader.memory_size();
        if !self.reserve_for_request(id, held) {
            return self.reject_for_lack_of_memory(id);
        }
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        if has_partial_input && client.request_timer.is_none() {
            let times_out_at = self.now + self.settings.request_timeout;
            let timer = self
                .timers
                .schedule(times_out_at, TimerEvent::RequestTimeout(id));
            client.request_timer = Some(timer);
        }
        if client.reader.wants_continue() {
            self.sockets.send(id, CONTINUE);
        }
        self.sockets.resume_reading(id);
    }

    /// Handles a request whose body exceeds the buffer: the remainder is streamed.
    fn handle_large_request(&mut self, id: SocketId) {
        let Some(client) = self.client_mut(id) else {
            return;
        };
        let Some((head, body, reader)) = client.reader.take_incomplete() else {
            return;
        };
        if !reader.ended() {
            client.unread_body = Some(reader);
        }
        self.handle_request(id, head, body);
    }

    /// Counts the bytes of the request that a client is sending against the memory budget. Returns whether they fit.
    fn reserve_for_request(&mut self, id: SocketId, bytes: usize) -> bool {
        let buffered = self.sockets.buffered_bytes();
        let Some(client) = self.client_mut(id) else {
            return false;
        };
        if bytes <= MAX_UNCOUNTED_MESSAGE {
            client.reservation.resize(0);
            return true;
        }
        client.reservation.resize_or_release(bytes, buffered)
    }

    fn handle_request(&mut self, id: SocketId, head: RequestHead, body: BytesMut) {
        self.stop_request_timer(id);
        if !self.reserve_for_request(id, head.memory_size() + body.capacity()) {
            return self.reject_for_lack_of_memory(id);
        }
        let body = body.freeze();
        let keep_alive = head.keep_alive && !self.shutdown.has_begun();
        let Some(client) = self.client_mut(id) else {
            return;
        };
        // With part of the body unread, the next request cannot be delimited, so the connection closes.
        client.close_after_response = !keep_alive || client.has_unread_body();
        let reservation = client.reservation.take();
        if self.serve_own_page(id, &head, &body) {
            return;
        }
        if self.shutdown.has_begun() {
            return self.reject_during_shutdown(id);
        }
        match self.classifier.classify(&head, self.now) {
            Ok(traits) => self.start_request(id, head, body, traits, reservation),
            Err(error) => {
                let text = format!("{error}\n");
                self.respond(id, error.status(), &[], text.as_bytes());
            }
        }
    }

    fn start_request(
        &mut self,
        client_id: SocketId,
        head: RequestHead,
        body: Bytes,
        traits: RequestTraits,
        reservation: MemoryReservation,
    ) {
        if self.sockets.has_peer_closed(client_id) {
            return self.client_disconnected(client_id);
        }
        let refusal = self.peers.refusal(
            self.now,
            traits.idempotency_hash,
            traits.routing_key.is_some(),
        );
        if let Some(refusal) = refusal {
            let is_non_idempotent = traits.idempotency_hash.is_some();
            return self.respond_to_refusal(client_id, refusal, is_non_idempotent);
        }
        if let Some(hash) = traits.idempotency_hash {
            let keys = &mut self.clients.idempotency_keys;
            if keys.accept(self.now, &hash).is_err() {
                return self.respond_to_refusal(client_id, Refusal::MayHaveRun, true);
            }
        }
        let has_unread_body = self
            .client_mut(client_id)
            .is_some_and(|client| client.has_unread_body());
        let request = ClientRequest {
            head,
            body,
            is_body_complete: !has_unread_body,
            body_attempt: None,
            class: traits.class,
            routing_key: traits.routing_key,
            idempotency_hash: traits.idempotency_hash,
            streamed_attempt: None,
            _reservation: reservation,
        };
        let id = self.requests.insert(client_id, traits.deadline, request);
        self.events.push(Event::RequestArrived(Request {
            id,
            class: traits.class,
            tenant: traits.tenant,
            routing_key: traits.routing_key,
            deadline: traits.deadline,
        }));
        if let Some(client) = self.client_mut(client_id) {
            client.request = Some(id);
        }
    }

    /// Clears the finished request of a client and reads its next request.
    pub(super) fn end_request(&mut self, id: SocketId) {
        let Some(client) = self.client_mut(id) else {
            return;
        };
        client.request = None;
        self.stop_stall_timer(id);
        self.read_client(id);
    }

    fn stop_request_timer(&mut self, id: SocketId) {
        let timer = self
            .client_mut(id)
            .and_then(|client| client.request_timer.take());
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
    }
}
