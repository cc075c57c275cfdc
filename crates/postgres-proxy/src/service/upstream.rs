//! Input on connections to pods: sessions, answers, connection losses.

use super::pod_connection::{Answer, CarriedAttempt, Phase, PodConnection, Progress};
use super::{ConnectionRole, Service, TimerEvent};
use crate::timeouts::{ANSWER_COMPLETION_TIMEOUT, READY_FOR_QUERY_TIMEOUT};
use crate::unsent_attempts::{after_connection_loss, after_protocol_violation};
use bytes::{Bytes, BytesMut};
use limewing_decision::interface::AttemptOutcome;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerWheel;
use limewing_postgres_protocol::{backend, encode, Received};
use std::io::ErrorKind;
use std::time::Duration;

/// Maximum length of a DataRow, in bytes: a value and the preceding lengths.
const MAX_DATA_ROW: usize = 64 * 1024 + 64;
/// Maximum length of any other message from a pod, in bytes.
const MAX_OTHER_MESSAGE: usize = 8 * 1024;
/// Capacity for an answer beyond the bodies of its three messages: their headers and ReadyForQuery,
/// in bytes.
const ANSWER_OVERHEAD: usize = 32;
/// Parameters of a session with a pod.
const SESSION_PARAMETERS: [(&str, &str); 2] = [("user", "api"), ("database", "ledger")];

/// Returns the maximum body length for a type byte, in bytes, or `None` if pods do not send this
/// type.
fn max_message(kind: u8) -> Option<usize> {
    match kind {
        backend::DATA_ROW => Some(MAX_DATA_ROW),
        backend::AUTHENTICATION
        | backend::PARAMETER_STATUS
        | backend::BACKEND_KEY_DATA
        | backend::READY_FOR_QUERY
        | backend::ROW_DESCRIPTION
        | backend::COMMAND_COMPLETE
        | backend::ERROR_RESPONSE
        | backend::NOTICE_RESPONSE
        | backend::EMPTY_QUERY_RESPONSE => Some(MAX_OTHER_MESSAGE),
        _ => None,
    }
}

/// Replaces the timer that limits the current phase of a connection.
pub(super) fn replace_phase_timer(
    timers: &mut TimerWheel<TimerEvent>,
    connection: &mut PodConnection,
    deadline: Duration,
    event: TimerEvent,
) {
    let timer = timers.schedule(deadline, event);
    if let Some(previous) = connection.timer.replace(timer) {
        timers.cancel(previous);
    }
}

impl Service {
    pub(super) fn pod_connection(&mut self, socket: SocketId) -> Option<&mut PodConnection> {
        match self.connections.get_mut(&socket) {
            Some(ConnectionRole::Pod(connection)) => Some(connection),
            _ => None,
        }
    }

    pub(super) fn start_pod_session(&mut self, socket: SocketId) {
        let mut out = BytesMut::new();
        encode::startup_message(&mut out, &SESSION_PARAMETERS);
        self.sockets.send(socket, &out);
    }

    /// Handles the timeout of the current phase of a connection.
    pub(super) fn handle_pod_phase_timeout(&mut self, socket: SocketId) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        connection.timer = None;
        if connection.phase.is_unwritten() {
            self.handle_pod_connection_lost(socket, 0, ErrorKind::TimedOut);
            self.sockets.close(socket);
        } else {
            // The answer or ReadyForQuery is overdue.
            self.handle_protocol_violation(socket);
        }
    }

    /// Handles the loss of a connection after `written` bytes were handed to the operating system.
    pub(super) fn handle_pod_connection_lost(
        &mut self,
        socket: SocketId,
        written: u64,
        error: ErrorKind,
    ) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.remove(&socket) else {
            return;
        };
        if let Some(timer) = connection.timer {
            self.timers.cancel(timer);
        }
        let phase = &connection.phase;
        let Some(carried) = phase.attempt().copied() else {
            return self.remove_from_pool(socket, connection.pod);
        };
        if let Some(idle_time) = connection.idle_time.filter(|_| !phase.has_partial_answer()) {
            self.upstream
                .idle_timeout
                .record(idle_time, false, self.now);
        }
        let is_unwritten = phase.is_connecting() || written < carried.end_offset;
        let verdict = after_connection_loss(is_unwritten, error, carried.broken_connections);
        self.handle_failed_connection(carried, verdict);
    }

    pub(super) fn read_from_pod(&mut self, socket: SocketId) {
        loop {
            let has_ended = self.sockets.has_ended(socket);
            let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
                return;
            };
            let Some(input) = self.sockets.input(socket) else {
                return;
            };
            let reservation = &mut connection.reservation;
            // What a pod answers is counted, but always read.
            let may_buffer = |bytes| {
                if bytes > MAX_OTHER_MESSAGE {
                    reservation.resize(bytes);
                }
                true
            };
            let received = connection
                .decoder
                .next_within_memory(input, max_message, may_buffer);
            let progress = match received {
                Ok(Some(Received::Message(message))) => connection.handle_message(message),
                Ok(Some(Received::Discarded(_))) => Progress::ProtocolViolation,
                Ok(None) if has_ended => return self.handle_end_of_pod_stream(socket),
                Ok(None) => {
                    let has_input = !input.is_empty();
                    return self.await_more_from_pod(socket, has_input);
                }
                Err(_) => Progress::ProtocolViolation,
            };
            match progress {
                Progress::Pending => {}
                Progress::Ready => self.handle_ready_for_query(socket),
                Progress::Verified => self.hold_last_byte(socket),
                Progress::Answered(carried, answer) => {
                    self.handle_answer(socket, carried, &answer);
                }
                Progress::Failed(carried, outcome) => {
                    self.handle_error_response(socket, carried, outcome);
                }
                Progress::ProtocolViolation => return self.handle_protocol_violation(socket),
            }
        }
    }

    fn handle_end_of_pod_stream(&mut self, socket: SocketId) {
        let written = self.sockets.bytes_written(socket);
        self.sockets.close(socket);
        self.handle_pod_connection_lost(socket, written, ErrorKind::ConnectionReset);
    }

    /// Waits for more input after all complete messages were processed. An answer that has begun
    /// must be completed in time.
    fn await_more_from_pod(&mut self, socket: SocketId, has_input: bool) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        let has_begun = connection.phase.has_partial_answer()
            || connection.decoder.is_mid_message()
            || has_input;
        let has_timer = connection.timer.is_some();
        if connection.phase.expects_answer_only() && has_begun && !has_timer {
            let deadline = self.now + ANSWER_COMPLETION_TIMEOUT;
            let timer = self
                .timers
                .schedule(deadline, TimerEvent::PodPhaseTimeout(socket));
            connection.timer = Some(timer);
        }
        self.sockets.resume_reading(socket);
    }

    /// Handles ReadyForQuery: the connection is available for the next attempt.
    fn handle_ready_for_query(&mut self, socket: SocketId) {
        let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        if let Some(timer) = connection.timer.take() {
            self.timers.cancel(timer);
        }
        let waiting = connection.take_waiting_attempt();
        connection.phase = Phase::Idle;
        // Extra bytes after an answer would be taken for the next answer.
        let has_more = self
            .sockets
            .input(socket)
            .is_none_or(|input| !input.is_empty())
            || self.sockets.has_peer_closed(socket);
        // A connection to a former address or an earlier incarnation of the pod is not used for
        // further attempts.
        let current = self.discovery.endpoints.incarnation(connection.pod);
        let is_stale = current != Some(connection.incarnation);
        match waiting {
            Some(carried) if has_more => {
                self.close_pod_connection(socket);
                let verdict = after_protocol_violation(false, true, carried.broken_connections);
                self.handle_failed_connection(carried, verdict);
            }
            Some(carried) => self.begin_writing(socket, carried),
            None if has_more || is_stale || self.shutdown.has_stopped_accepting() => {
                self.close_pod_connection(socket);
            }
            None => self.return_to_pool(socket),
        }
    }

    /// Limits the wait for ReadyForQuery after an answer or an error, whose memory is released.
    fn await_ready_for_query(&mut self, socket: SocketId) {
        let deadline = self.now + READY_FOR_QUERY_TIMEOUT;
        let Some(ConnectionRole::Pod(connection)) = self.connections.get_mut(&socket) else {
            return;
        };
        connection.reservation.resize(0);
        let event = TimerEvent::PodPhaseTimeout(socket);
        replace_phase_timer(&mut self.timers, connection, deadline, event);
    }

    fn handle_answer(&mut self, socket: SocketId, carried: CarriedAttempt, answer: &Answer) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        if let Some(idle_time) = connection.idle_time.take() {
            self.upstream.idle_timeout.record(idle_time, true, self.now);
        }
        self.await_ready_for_query(socket);
        let messages: [(u8, &Bytes); 3] = [
            (backend::ROW_DESCRIPTION, &answer.row_description),
            (backend::DATA_ROW, &answer.data_row),
            (backend::COMMAND_COMPLETE, &answer.command_complete),
        ];
        let length: usize = messages.iter().map(|(_, body)| body.len()).sum();
        let mut out = BytesMut::with_capacity(length + ANSWER_OVERHEAD);
        for (kind, body) in messages {
            encode::message_with_body(&mut out, kind, body);
        }
        self.complete_request(carried.request, out);
        self.end_attempt(carried.request, carried.index, AttemptOutcome::Succeeded);
    }

    /// Handles an error from a pod, or its refusal of further connections.
    fn handle_error_response(
        &mut self,
        socket: SocketId,
        carried: Option<CarriedAttempt>,
        outcome: AttemptOutcome,
    ) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        if carried.is_some() && !connection.phase.is_connecting() {
            self.await_ready_for_query(socket);
        } else {
            self.close_pod_connection(socket);
        }
        if let Some(carried) = carried {
            self.end_attempt(carried.request, carried.index, outcome);
        }
    }

    /// Handles invalid bytes from a pod: the request may have run, and the connection is closed.
    fn handle_protocol_violation(&mut self, socket: SocketId) {
        let Some(connection) = self.pod_connection(socket) else {
            return;
        };
        let is_connecting = connection.phase.is_connecting();
        let is_unwritten = connection.phase.is_unwritten();
        let carried = connection.phase.attempt().copied();
        self.close_pod_connection(socket);
        let Some(carried) = carried else { return };
        let verdict =
            after_protocol_violation(is_connecting, is_unwritten, carried.broken_connections);
        self.handle_failed_connection(carried, verdict);
    }
}
