//! Client sessions: connections, startup packets and messages.

use super::{ConnectionRole, Service, TimerEvent, MAX_UNCOUNTED_STATEMENT, MAX_UNSENT};
use crate::statement::{StatementParser, MAX_STATEMENT};
use crate::timeouts::CLIENT_MESSAGE_TIMEOUT;
use bytes::BytesMut;
use limewing_decision::interface::RequestId;
use limewing_net::sockets::SocketId;
use limewing_net::timer_wheel::TimerKey;
use limewing_postgres_protocol::decode::StartupPacket;
use limewing_postgres_protocol::{
    count_complete_messages, decode, encode, frontend, Message, MessageDecoder, Received,
};
use limewing_proxy_core::memory_budget::{MemoryBudget, MemoryReservation};
use limewing_proxy_core::request_ids::RequestIds;
use limewing_proxy_core::shutdown::ClientListener;
use std::ops::ControlFlow;
use std::time::Duration;

/// Maximum length of a client message other than a Query, in bytes.
const MAX_OTHER_MESSAGE: usize = 4 * 1024;
/// Maximum number of messages of one client that are handled in a turn of the event loop, so that a client that sends many
/// does not delay others.
const MAX_MESSAGES_PER_TURN: usize = 8;
/// Maximum number of statements that may be queued behind the one being served. A client that sends
/// more is not waiting for its responses, and would fill its buffers here.
const MAX_PIPELINED_STATEMENTS: usize = 8;
/// Reply to an SSLRequest or a GSSENCRequest: encryption is refused.
const ENCRYPTION_REFUSED: &[u8] = b"N";
/// Parameters reported to a client at the start of its session.
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
/// Length of the messages that start a session, in bytes, rounded up.
const SESSION_START_CAPACITY: usize = 256;

/// State shared by all clients.
pub(super) struct ClientState {
    pub(super) listener: ClientListener,
    /// Number of connected clients.
    pub(super) connected: usize,
    /// Whether connections could not be accepted in this turn because of a lack of resources.
    pub(super) needs_room: bool,
    pub(super) parser: StatementParser,
    /// Limits the memory for statements and for bytes buffered on connections.
    pub(super) memory: MemoryBudget,
    /// The ids that clients gave to their requests.
    pub(super) request_ids: RequestIds,
}

impl ClientState {
    pub(super) fn new(
        listener: ClientListener,
        parser: StatementParser,
        memory: MemoryBudget,
    ) -> Self {
        Self {
            listener,
            connected: 0,
            needs_room: false,
            parser,
            memory,
            request_ids: RequestIds::default(),
        }
    }
}

/// The connection of a client.
pub(super) struct Client {
    pub(super) decoder: MessageDecoder,
    /// The memory for the message that it is sending.
    pub(super) reservation: MemoryReservation,
    /// Whether its session has started.
    has_session: bool,
    /// Whether it has received a response to a request.
    pub(super) was_served: bool,
    /// Its pending request.
    pub(super) request: Option<RequestId>,
    /// When it last had a request or a message, on the monotonic clock of the sidecar.
    pub(super) idle_since: Duration,
    /// Limits the wait for a complete message, or delays the error that ends the session.
    pub(super) timer: Option<TimerKey>,
    /// The error that ends its session, until it is sent.
    pub(super) fatal_error: Option<FatalError>,
}

/// An error that ends a client's session.
pub(super) struct FatalError {
    pub(super) sqlstate: &'static str,
    pub(super) message: String,
}

impl FatalError {
    /// `protocol_violation`.
    fn protocol_violation(message: impl Into<String>) -> Self {
        Self::new("08P01", message)
    }

    /// `feature_not_supported`.
    fn not_supported(message: impl Into<String>) -> Self {
        Self::new("0A000", message)
    }

    /// `syntax_error`: the statement is not a request.
    pub(super) fn invalid_statement(message: impl Into<String>) -> Self {
        Self::new("42601", message)
    }

    /// `program_limit_exceeded`: the client has sent more statements than may be queued.
    pub(super) fn too_many_statements() -> Self {
        Self::new("54000", "too many statements at once")
    }

    fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { sqlstate, message }
    }
}

/// Returns the maximum body length for a type byte, in bytes, or `None` if clients do not send this
/// type.
fn max_message(kind: u8) -> Option<usize> {
    match kind {
        frontend::QUERY => Some(MAX_STATEMENT),
        frontend::TERMINATE
        | frontend::PARSE
        | frontend::BIND
        | frontend::EXECUTE
        | frontend::DESCRIBE
        | frontend::CLOSE
        | frontend::FLUSH
        | frontend::SYNC
        | frontend::FUNCTION_CALL
        | frontend::COPY_DATA
        | frontend::COPY_DONE
        | frontend::COPY_FAIL
        | frontend::PASSWORD_MESSAGE => Some(MAX_OTHER_MESSAGE),
        _ => None,
    }
}

impl Service {
    pub(super) fn accept_client(&mut self, id: SocketId) {
        self.clients.connected += 1;
        let deadline = self.now + CLIENT_MESSAGE_TIMEOUT;
        let timer = self
            .timers
            .schedule(deadline, TimerEvent::ClientTimeout(id));
        let client = Client {
            decoder: MessageDecoder::default(),
            reservation: self.clients.memory.reservation(),
            has_session: false,
            was_served: false,
            request: None,
            idle_since: self.now,
            timer: Some(timer),
            fatal_error: None,
        };
        self.connections
            .insert(id, ConnectionRole::Client(Box::new(client)));
    }

    pub(super) fn client(&mut self, id: SocketId) -> Option<&mut Client> {
        match self.connections.get_mut(&id) {
            Some(ConnectionRole::Client(client)) => Some(client),
            _ => None,
        }
    }

    /// Processes the input of a client, up to its next request or the limit for one turn.
    pub(super) fn read_from_client(&mut self, id: SocketId) {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            if self.read_client_message(id).is_break() {
                return;
            }
        }
        self.sockets.report_again(id);
    }

    /// Processes one message, if one is allowed now and complete.
    fn read_client_message(&mut self, id: SocketId) -> ControlFlow<()> {
        let has_ended = self.sockets.has_ended(id);
        let Some(client) = self.client(id) else {
            return ControlFlow::Break(());
        };
        if client.fatal_error.is_some() {
            return ControlFlow::Break(());
        }
        let has_session = client.has_session;
        if client.request.is_some() {
            self.check_waiting_client(id);
            return ControlFlow::Break(());
        }
        // Nothing more is read from a client that does not read its responses.
        let max_unsent = if self.is_memory_short() {
            0
        } else {
            MAX_UNSENT
        };
        if self.sockets.unsent_bytes(id) > max_unsent {
            return ControlFlow::Break(());
        }
        if has_session {
            self.read_session_message(id, has_ended)
        } else {
            self.read_startup_packet(id, has_ended)
        }
    }

    /// Checks a client with a pending request, whose further messages wait. A client that closed
    /// its side counts as disconnected, even if input is still unread.
    fn check_waiting_client(&mut self, id: SocketId) {
        if self.sockets.has_peer_closed(id) {
            self.disconnect_client(id);
        } else if self.has_too_many_statements(id) {
            self.abandon_flooding_client(id);
        }
    }

    pub(super) fn has_too_many_statements(&mut self, id: SocketId) -> bool {
        let limit = MAX_PIPELINED_STATEMENTS + 1;
        self.sockets
            .input(id)
            .is_some_and(|input| count_complete_messages(input, limit) == limit)
    }

    fn read_startup_packet(&mut self, id: SocketId, has_ended: bool) -> ControlFlow<()> {
        let Some(input) = self.sockets.input(id) else {
            return ControlFlow::Break(());
        };
        match decode::startup_packet(input) {
            Ok(Some(StartupPacket::StartupMessage)) => {
                self.start_client_session(id);
                return ControlFlow::Continue(());
            }
            Ok(Some(StartupPacket::SslRequest)) => {
                self.sockets.send(id, ENCRYPTION_REFUSED);
                return ControlFlow::Continue(());
            }
            Ok(Some(StartupPacket::CancelRequest)) => self.disconnect_client(id),
            Ok(None) if has_ended => self.disconnect_client(id),
            Ok(None) => self.sockets.resume_reading(id),
            Err(error) => {
                let error = FatalError::protocol_violation(error.to_string());
                self.fail_session(id, error);
            }
        }
        ControlFlow::Break(())
    }

    fn read_session_message(&mut self, id: SocketId, has_ended: bool) -> ControlFlow<()> {
        let buffered = self.sockets.buffered_bytes();
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return ControlFlow::Break(());
        };
        let Some(input) = self.sockets.input(id) else {
            return ControlFlow::Break(());
        };
        let had_input = !input.is_empty();
        let reservation = &mut client.reservation;
        let may_buffer = |bytes| {
            bytes <= MAX_UNCOUNTED_STATEMENT || reservation.resize_or_release(bytes, buffered)
        };
        let received = client
            .decoder
            .next_within_memory(input, max_message, may_buffer);
        match received {
            Ok(Some(Received::Message(message))) => {
                let reservation = reservation.take();
                return self.handle_client_message(id, &message, reservation);
            }
            Ok(Some(Received::Discarded(_))) => {
                self.reject_discarded_statement(id);
                return ControlFlow::Continue(());
            }
            Ok(None) if has_ended => self.disconnect_client(id),
            Ok(None) => self.await_more_from_client(id, had_input),
            Err(error) => {
                let error = FatalError::protocol_violation(error.to_string());
                self.fail_session(id, error);
            }
        }
        ControlFlow::Break(())
    }

    /// Handles a message, for which `reservation` holds the memory.
    fn handle_client_message(
        &mut self,
        id: SocketId,
        message: &Message,
        reservation: MemoryReservation,
    ) -> ControlFlow<()> {
        match message.kind {
            frontend::QUERY => match decode::string(&message.body) {
                Some(text) => {
                    self.handle_statement(id, text, reservation);
                    return ControlFlow::Continue(());
                }
                None => {
                    let error = FatalError::protocol_violation("a query that is no text");
                    self.fail_session(id, error);
                }
            },
            frontend::TERMINATE => self.disconnect_client(id),
            _ => {
                let error = FatalError::not_supported("only simple queries are served");
                self.fail_session(id, error);
            }
        }
        ControlFlow::Break(())
    }

    /// Waits for more input after all complete messages were processed. A message that has begun
    /// must be completed in time.
    fn await_more_from_client(&mut self, id: SocketId, had_input: bool) {
        let Some(ConnectionRole::Client(client)) = self.connections.get_mut(&id) else {
            return;
        };
        let has_begun = client.decoder.is_mid_message() || had_input;
        if client.timer.is_none() && has_begun {
            let deadline = self.now + CLIENT_MESSAGE_TIMEOUT;
            let timer = self
                .timers
                .schedule(deadline, TimerEvent::ClientTimeout(id));
            client.timer = Some(timer);
        }
        // All buffered input has been processed, and the operating system may have more.
        self.sockets.resume_reading(id);
    }

    fn start_client_session(&mut self, id: SocketId) {
        let Some(client) = self.client(id) else {
            return;
        };
        client.has_session = true;
        let mut out = BytesMut::with_capacity(SESSION_START_CAPACITY);
        encode::session_start(&mut out, &SESSION_PARAMETERS);
        self.sockets.send(id, &out);
    }

    /// Answers statements that client drivers send besides requests; any other statement is a
    /// request.
    fn handle_statement(&mut self, id: SocketId, text: &str, reservation: MemoryReservation) {
        let trimmed = text.trim().trim_end_matches(';').trim();
        let verb = trimmed.split_ascii_whitespace().next().unwrap_or_default();
        let mut out = BytesMut::new();
        match verb.to_ascii_uppercase().as_str() {
            "" => encode::empty_query_response(&mut out),
            verb @ ("SET" | "RESET" | "DISCARD") => encode::command_complete(&mut out, verb),
            _ => return self.handle_request(id, text, reservation),
        }
        encode::ready_for_query(&mut out);
        self.sockets.send(id, &out);
        self.end_wait_for_message(id);
    }

    /// Ends the wait for a message, because the client has sent a complete one.
    pub(super) fn end_wait_for_message(&mut self, id: SocketId) {
        let now = self.now;
        let Some(client) = self.client(id) else {
            return;
        };
        client.idle_since = now;
        if let Some(timer) = client.timer.take() {
            self.timers.cancel(timer);
        }
    }
}

#[cfg(test)]
mod tests;
