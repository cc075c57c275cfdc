//! Writes attempts to connections: first an empty query and all but the last byte of the statement;
//! then, once the connection has proved to be alive, the last byte.
//!
//! Writing bytes of an attempt requires a [`SendPermit`], which is requested immediately before the
//! write.

use super::pod_connection::{CarriedAttempt, PartialAnswer, Phase};
use super::upstream::replace_phase_timer;
use super::{ConnectionRole, Service, TimerEvent};
use crate::statement::StatementParts;
use crate::timeouts::LAST_BYTE_DELAY;
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::{AttemptIndex, RequestId};
use limewing_net::sockets::SocketId;
use limewing_postgres_protocol::encode;
use limewing_proxy_core::send_permit::SendPermit;

/// The last byte of every Query.
const LAST_BYTE: &[u8] = &[0];
/// Length of the empty query and of the framing of the statement, in bytes.
const MESSAGE_OVERHEAD: usize = 24;
/// Maximum length of a statement that is copied to be sent in one write, in bytes.
const MAX_COPIED_STATEMENT: usize = 4 * 1024;

/// The bytes of an attempt up to its last one, in the order in which they are sent.
struct EncodedQuery {
    /// The empty query and the beginning of the statement.
    head: BytesMut,
    /// The largest part of a long statement, shared with the request.
    shared: Bytes,
    /// The rest of the statement, without the last byte.
    tail: BytesMut,
}

impl EncodedQuery {
    /// Returns the number of bytes including the last one.
    fn length(&self) -> u64 {
        (self.head.len() + self.shared.len() + self.tail.len() + LAST_BYTE.len()) as u64
    }
}

/// Encodes the empty query and the statement. A long statement is not copied.
fn encode_query(statement: StatementParts) -> EncodedQuery {
    let StatementParts {
        before,
        timeout_ms,
        after,
    } = statement;
    let mut digits = itoa::Buffer::new();
    let digits = digits.format(timeout_ms).as_bytes();
    let length = before.len() + digits.len() + after.len();
    let is_copied = length <= MAX_COPIED_STATEMENT;
    let copied_length = if is_copied { length } else { 0 };
    let mut head = BytesMut::with_capacity(MESSAGE_OVERHEAD + copied_length);
    encode::query(&mut head, "");
    encode::query_header(&mut head, length);
    if is_copied {
        head.extend_from_slice(&before);
        head.extend_from_slice(digits);
        head.extend_from_slice(&after);
        return EncodedQuery {
            head,
            shared: Bytes::new(),
            tail: BytesMut::new(),
        };
    }
    let mut tail = BytesMut::with_capacity(digits.len() + after.len());
    tail.extend_from_slice(digits);
    tail.extend_from_slice(&after);
    EncodedQuery {
        head,
        shared: before,
        tail,
    }
}

impl Service {
    /// Requests permission to write an attempt now.
    pub(super) fn send_permit(&self, id: RequestId, index: AttemptIndex) -> Option<SendPermit> {
        SendPermit::request(&self.engine, self.now, id, index)
    }

    /// Writes an attempt to a connection without one, or ends the attempt if it is no longer
    /// permitted.
    pub(super) fn begin_writing(&mut self, socket: SocketId, carried: CarriedAttempt) {
        if let Some(permit) = self.send_permit(carried.request, carried.index) {
            self.write_first_bytes(socket, carried, permit);
        } else {
            self.return_to_pool(socket);
            self.withdraw_attempt(carried);
        }
    }

    /// Writes the empty query and all but the last byte of the statement.
    fn write_first_bytes(
        &mut self,
        socket: SocketId,
        mut carried: CarriedAttempt,
        _permit: SendPermit,
    ) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let Some(request) = self.requests.get(carried.request) else {
            return;
        };
        let time_left = request.deadline.saturating_sub(self.now);
        let query = encode_query(request.protocol_state.with_timeout(time_left));
        carried.end_offset = self.sockets.bytes_written(socket) + query.length();
        let started_at = request
            .attempts
            .get(usize::from(carried.index.0))
            .map_or(self.now, |attempt| attempt.sent_at);
        tracing::debug!(
            request_id = carried.request.0,
            attempt = carried.index.0,
            endpoint = connection.pod.0,
            waited_ms = (self.now - started_at).as_millis() as u64,
            "first bytes of attempt sent"
        );
        connection.phase = Phase::Verifying(carried);
        let deadline = self.now + self.settings.connect_timeout;
        let event = TimerEvent::PodPhaseTimeout(socket);
        replace_phase_timer(&mut self.timers, connection, deadline, event);
        self.sockets.send(socket, &query.head);
        self.sockets.send_shared(socket, query.shared);
        self.sockets.send(socket, &query.tail);
    }

    /// Handles the answer to the empty query. The last byte is held back, because a reset of the
    /// connection may still be in transit.
    pub(super) fn hold_last_byte(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let Some(carried) = connection.phase.attempt().copied() else {
            return;
        };
        connection.phase = Phase::HoldingLastByte(carried);
        let deadline = self.now + LAST_BYTE_DELAY;
        let event = TimerEvent::SendLastByte(socket);
        replace_phase_timer(&mut self.timers, connection, deadline, event);
    }

    /// Sends the last byte, with which the pod starts processing, unless the attempt is no longer
    /// permitted.
    pub(super) fn send_last_byte(&mut self, socket: SocketId) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        connection.timer = None;
        let Phase::HoldingLastByte(carried) = connection.phase else {
            return;
        };
        if let Some(permit) = self.send_permit(carried.request, carried.index) {
            self.write_last_byte(socket, carried, permit);
        } else {
            self.close_pod_connection(socket);
            self.withdraw_attempt(carried);
        }
    }

    fn write_last_byte(&mut self, socket: SocketId, carried: CarriedAttempt, _permit: SendPermit) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        tracing::debug!(
            request_id = carried.request.0,
            attempt = carried.index.0,
            endpoint = connection.pod.0,
            "last byte of attempt sent"
        );
        connection.phase = Phase::AwaitingAnswer(carried, PartialAnswer::default());
        self.sockets.send(socket, LAST_BYTE);
    }
}
