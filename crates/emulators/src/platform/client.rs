//! A client of the PostgreSQL protocol that sends one statement after the other on a connection.

use super::{Connection, READ_TIMEOUT};
use bytes::BytesMut;
use limewing_postgres_protocol::{decode, encode, Message};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{self, AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

// Message types of the protocol.
const COMMAND_COMPLETE: u8 = b'C';
const DATA_ROW: u8 = b'D';
const EMPTY_QUERY_RESPONSE: u8 = b'I';
const ERROR_RESPONSE: u8 = b'E';
const READY_FOR_QUERY: u8 = b'Z';

// Field types of the protocol's ErrorResponse.
const SQLSTATE: u8 = b'C';
const DETAIL: u8 = b'D';
const SEVERITY: u8 = b'S';

/// The answer to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row with this single value.
    Row(String),
    /// An error, with its SQLSTATE and detail.
    Error(String, Option<String>),
    /// The answer to an empty query.
    Empty,
    /// No row; the tag of the completed command.
    CommandComplete(String),
    /// The connection ended without an answer.
    ConnectionClosed,
}

/// A client on one connection.
pub struct Client {
    connection: Connection,
    /// The time at which it sent the last statement.
    sent_at: Instant,
    /// The read timeout.
    read_timeout: Duration,
}

impl Client {
    /// Connects and waits until the session has started.
    ///
    /// # Panics
    /// Panics if the connection is refused or the session does not start.
    #[must_use]
    pub fn new(to: SocketAddr) -> Self {
        let mut client = Self::without_session(to);
        client.send_startup_message();
        client.await_session().expect("the session starts");
        client
    }

    /// Like `new`, with a receive buffer of this size in bytes: what the peer sends beyond it waits at the peer.
    ///
    /// # Panics
    /// Panics if the connection is refused or the session does not start.
    #[must_use]
    pub fn with_receive_buffer(to: SocketAddr, bytes: usize) -> Self {
        let socket =
            net::socket(AddressFamily::INET, SocketType::STREAM, None).expect("a file descriptor");
        set_socket_recv_buffer_size(&socket, bytes).expect("the socket option can be set");
        net::connect(&socket, &to).expect("the address accepts connections");
        let mut client = Self::with_stream(TcpStream::from(socket));
        client.send_startup_message();
        client.await_session().expect("the session starts");
        client
    }

    /// Like `new`, but returns `None` if the connection is refused or the session does not start; `read_timeout` is the read timeout.
    #[must_use]
    pub fn try_new(to: SocketAddr, read_timeout: Duration) -> Option<Self> {
        let connection = Connection::new(TcpStream::connect(to).ok()?).ok()?;
        connection
            .stream
            .set_read_timeout(Some(read_timeout))
            .ok()?;
        let mut client = Self {
            connection,
            sent_at: Instant::now(),
            read_timeout,
        };
        if !client.send_bytes(&startup_message()) {
            return None;
        }
        client.await_session()?;
        Some(client)
    }

    /// Whether the last answer did not arrive within the read timeout.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        self.sent_at.elapsed() >= self.read_timeout
    }

    /// Connects without sending the startup message.
    ///
    /// # Panics
    /// Panics if the connection is refused.
    #[must_use]
    pub fn without_session(to: SocketAddr) -> Self {
        Self::with_stream(TcpStream::connect(to).expect("the address accepts connections"))
    }

    fn with_stream(stream: TcpStream) -> Self {
        Self {
            connection: Connection::new(stream).expect("the socket options can be set"),
            sent_at: Instant::now(),
            read_timeout: READ_TIMEOUT,
        }
    }

    /// Sends the startup message without waiting for the start of the session.
    pub fn send_startup_message(&mut self) {
        self.send_bytes(&startup_message());
    }

    fn await_session(&mut self) -> Option<()> {
        while self.connection.read_message()?.kind != READY_FOR_QUERY {}
        Some(())
    }

    /// Sends these bytes; returns whether all of them could be written.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.connection.stream.write_all(bytes).is_ok()
    }

    /// Sends a statement; returns whether it could be written.
    pub fn send_query(&mut self, statement: &str) -> bool {
        let mut out = BytesMut::new();
        encode::query(&mut out, statement);
        self.sent_at = Instant::now();
        self.send_bytes(&out)
    }

    /// Sends the first `length` bytes of the message for a statement; returns whether they could be written.
    ///
    /// # Panics
    /// Panics if the message is shorter.
    pub fn send_part_of_query(&mut self, statement: &str, length: usize) -> bool {
        let mut out = BytesMut::new();
        encode::query(&mut out, statement);
        self.send_bytes(&out[..length])
    }

    /// Reads the next answer, up to ReadyForQuery.
    ///
    /// # Panics
    /// Panics if the messages are no answer to a statement.
    pub fn read_answer(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let Some(message) = self.connection.read_message() else {
                return answer.unwrap_or(Answer::ConnectionClosed);
            };
            match message.kind {
                DATA_ROW => answer = Some(row(&message)),
                ERROR_RESPONSE => {
                    let (error, fatal) = error(&message);
                    if fatal {
                        return error;
                    }
                    answer = Some(error);
                }
                EMPTY_QUERY_RESPONSE => answer = Some(Answer::Empty),
                COMMAND_COMPLETE if answer.is_none() => {
                    let command = decode::string(&message.body).expect("a valid command tag");
                    answer = Some(Answer::CommandComplete(command.to_owned()));
                }
                READY_FOR_QUERY => return answer.expect("an answer before ReadyForQuery"),
                _ => {}
            }
        }
    }

    /// Whether the first bytes of an answer arrive within that time.
    #[must_use]
    pub fn has_input_within(&self, within: Duration) -> bool {
        let stream = &self.connection.stream;
        // The next read shows whether the connection has ended.
        let _ = stream.set_read_timeout(Some(within));
        let has_input = !self.connection.input.is_empty() || stream.peek(&mut [0]).is_ok();
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        has_input
    }

    /// Like `read_answer`, for a client that has not waited for the start of its session yet.
    ///
    /// # Panics
    /// Panics if the session does not start, or if the messages are no answer to a statement.
    pub fn read_first_answer(&mut self) -> Answer {
        self.await_session().expect("the session starts");
        self.read_answer()
    }

    /// Whether the peer closed the connection and sent nothing more.
    pub fn reads_end_of_stream(&mut self) -> bool {
        matches!(self.connection.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

fn startup_message() -> BytesMut {
    let mut out = BytesMut::new();
    encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
    out
}

fn row(message: &Message) -> Answer {
    let value = decode::single_value(&message.body).expect("a row with a single value");
    Answer::Row(String::from_utf8(value.to_vec()).expect("a value in UTF-8"))
}

/// Parses an error; also returns whether it ends the connection.
fn error(message: &Message) -> (Answer, bool) {
    let fields = decode::error_fields(&message.body).expect("valid error fields");
    let field = |wanted: u8| {
        let found = fields.iter().find(|(letter, _)| *letter == wanted);
        found.map(|(_, text)| (*text).to_owned())
    };
    let code = field(SQLSTATE).expect("an error with an SQLSTATE");
    let fatal = field(SEVERITY).as_deref() == Some("FATAL");
    (Answer::Error(code, field(DETAIL)), fatal)
}
