//! A client in PostgreSQL's protocol: one statement after the other on a connection.

use super::{Link, PATIENCE};
use bytes::BytesMut;
use limewing_postgres_protocol::{decode, encode, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

// Kinds of messages, by the letters of the protocol.
const COMMAND_COMPLETE: u8 = b'C';
const DATA_ROW: u8 = b'D';
const EMPTY_QUERY_RESPONSE: u8 = b'I';
const ERROR_RESPONSE: u8 = b'E';
const READY_FOR_QUERY: u8 = b'Z';

// Fields of an error, by the letters of the protocol.
const SQLSTATE: u8 = b'C';
const DETAIL: u8 = b'D';
const SEVERITY: u8 = b'S';

/// What a statement is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row with this value.
    Row(String),
    /// The code, and the detail.
    Error(String, Option<String>),
    /// The answer to an empty query.
    Empty,
    /// No row; the command that is complete.
    Done(String),
    /// The connection ended.
    End,
}

/// A client with a connection of its own.
pub struct Client {
    link: Link,
    /// When it sent the last statement.
    asked_at: Instant,
    /// How long it waits for an answer.
    patience: Duration,
}

impl Client {
    /// A client whose session has begun.
    ///
    /// # Panics
    /// Nobody listens there, or starts the session.
    #[must_use]
    pub fn new(to: SocketAddr) -> Self {
        let mut client = Self::silent(to);
        client.begins();
        client.await_session().expect("a started session");
        client
    }

    /// As `new`, where nobody may be there or start the session; an answer is waited for so long.
    #[must_use]
    pub fn try_new(to: SocketAddr, patience: Duration) -> Option<Self> {
        let link = Link::new(TcpStream::connect(to).ok()?).ok()?;
        link.stream.set_read_timeout(Some(patience)).ok()?;
        let mut client = Self {
            link,
            asked_at: Instant::now(),
            patience,
        };
        if !client.sends(&startup_message()) {
            return None;
        }
        client.await_session()?;
        Some(client)
    }

    /// Whether the last answer did not come in the time that it was waited for.
    #[must_use]
    pub fn waited_out(&self) -> bool {
        self.asked_at.elapsed() >= self.patience
    }

    /// A client that has sent nothing.
    ///
    /// # Panics
    /// Nobody listens there.
    #[must_use]
    pub fn silent(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("a listener");
        Self {
            link: Link::new(stream).expect("a connection"),
            asked_at: Instant::now(),
            patience: PATIENCE,
        }
    }

    /// Asks for its session, and does not wait for the start.
    pub fn begins(&mut self) {
        self.sends(&startup_message());
    }

    fn await_session(&mut self) -> Option<()> {
        while self.link.hear()?.kind != READY_FOR_QUERY {}
        Some(())
    }

    /// Whether all of it could be sent.
    pub fn sends(&mut self, bytes: &[u8]) -> bool {
        self.link.stream.write_all(bytes).is_ok()
    }

    /// Sends a statement; returns whether it could be written.
    pub fn asks(&mut self, statement: &str) -> bool {
        let mut out = BytesMut::new();
        encode::query(&mut out, statement);
        self.asked_at = Instant::now();
        self.sends(&out)
    }

    /// The next answer, and that the next statement may come.
    ///
    /// # Panics
    /// What comes is no answer.
    pub fn hears(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let Some(message) = self.link.hear() else {
                return answer.unwrap_or(Answer::End);
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
                    let command = decode::string(&message.body).expect("a command");
                    answer = Some(Answer::Done(command.to_owned()));
                }
                READY_FOR_QUERY => return answer.expect("an answer before ReadyForQuery"),
                _ => {}
            }
        }
    }

    /// Whether something of an answer comes in that time.
    #[must_use]
    pub fn has_come(&self, within: Duration) -> bool {
        let stream = &self.link.stream;
        // A connection that has ended shows by the next read.
        let _ = stream.set_read_timeout(Some(within));
        let came = !self.link.input.is_empty() || stream.peek(&mut [0]).is_ok();
        let _ = stream.set_read_timeout(Some(PATIENCE));
        came
    }

    /// As `hears`, of a client that did not wait for the start of its session.
    ///
    /// # Panics
    /// The session does not start.
    pub fn hears_first(&mut self) -> Answer {
        self.await_session().expect("a started session");
        self.hears()
    }

    /// Whether nothing more comes and the other side has closed.
    pub fn hears_the_end(&mut self) -> bool {
        matches!(self.link.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

fn startup_message() -> BytesMut {
    let mut out = BytesMut::new();
    encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
    out
}

fn row(message: &Message) -> Answer {
    let value = decode::single_value(&message.body).expect("a row of one value");
    Answer::Row(String::from_utf8(value.to_vec()).expect("a value in UTF-8"))
}

/// An error, and whether the connection ends with it.
fn error(message: &Message) -> (Answer, bool) {
    let fields = decode::error_fields(&message.body).expect("fields of an error");
    let field = |wanted: u8| {
        let found = fields.iter().find(|(letter, _)| *letter == wanted);
        found.map(|(_, text)| (*text).to_owned())
    };
    let code = field(SQLSTATE).expect("the error's code");
    let fatal = field(SEVERITY).as_deref() == Some("FATAL");
    (Answer::Error(code, field(DETAIL)), fatal)
}
