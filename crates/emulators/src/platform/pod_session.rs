//! One connection of a sidecar to a scripted pod.

use super::messages::{error, write_answer, write_empty_answer};
use super::pod::PodBehavior;
use super::Connection;
use crate::locks::lock;
use bytes::{BufMut, BytesMut};
use limewing_postgres_protocol::{decode, encode};
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

/// How long a pod waits for a signal from the test.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(20);
/// The length of the ReadyForQuery message, which ends an answer.
const READY_FOR_QUERY_LENGTH: usize = 6;

/// The script of a pod, shared by all its connections; the last entry is repeated.
#[derive(Debug)]
pub(super) struct PodScript(Mutex<Vec<PodBehavior>>);

impl PodScript {
    pub(super) fn new(script: Vec<PodBehavior>) -> Self {
        Self(Mutex::new(script))
    }

    fn first(&self) -> Option<PodBehavior> {
        lock(&self.0).first().cloned()
    }

    fn remove_first(&self) {
        lock(&self.0).remove(0);
    }

    fn next(&self) -> PodBehavior {
        let mut script = lock(&self.0);
        if script.len() > 1 {
            script.remove(0)
        } else {
            script[0].clone()
        }
    }

    /// Takes the next entry if it concerns the empty query before a statement.
    fn next_early(&self) -> Option<PodBehavior> {
        let mut script = lock(&self.0);
        let is_early = |entry: &&PodBehavior| {
            matches!(
                entry,
                PodBehavior::CloseOnFirstBytes
                    | PodBehavior::IgnoreFirstBytes
                    | PodBehavior::AnswerEmptyQueryAfterSignal(_)
            )
        };
        let early = script.first().filter(is_early).cloned();
        if early.is_some() && script.len() > 1 {
            script.remove(0);
        }
        early
    }
}

/// Serves one connection to its end.
pub(super) fn serve(
    stream: TcpStream,
    report: &Sender<String>,
    script: &PodScript,
    signal: &Mutex<Receiver<()>>,
) {
    let first = script.first();
    let Some(connection) = read_startup(stream) else {
        return;
    };
    let mut session = PodSession {
        connection,
        report,
        script,
        signal,
        reserved_entry: None,
        unsent: &[],
        last_answer: BytesMut::new(),
    };
    // `None` means that the connection has ended.
    let _ = session.run(first.as_ref());
}

struct PodSession<'a> {
    connection: Connection,
    report: &'a Sender<String>,
    script: &'a PodScript,
    signal: &'a Mutex<Receiver<()>>,
    /// The entry that the empty query has set for the statement after it.
    reserved_entry: Option<PodBehavior>,
    /// Bytes to send before the next answer.
    unsent: &'static [u8],
    last_answer: BytesMut,
}

impl PodSession<'_> {
    /// Serves until either side ends the connection; `first` is the first entry of the script when the connection was accepted.
    fn run(&mut self, first: Option<&PodBehavior>) -> Option<()> {
        self.start(first)?;
        loop {
            let message = self.connection.read_message()?;
            let text = decode::string(&message.body)?.to_owned();
            let unsent = std::mem::take(&mut self.unsent);
            self.send(unsent)?;
            if text.is_empty() {
                self.answer_empty()?;
                continue;
            }
            let entry = self
                .reserved_entry
                .take()
                .unwrap_or_else(|| self.script.next());
            self.report(text);
            let answer = self.answer(entry)?;
            self.send(&answer)?;
            self.last_answer = answer;
        }
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.connection.stream.write_all(bytes).ok()
    }

    fn report(&self, what: impl Into<String>) {
        // The test may have ended.
        let _ = self.report.send(what.into());
    }

    fn await_signal(&self) {
        // If none arrives, the test reports the failure.
        let _ = lock(self.signal).recv_timeout(SIGNAL_TIMEOUT);
    }

    /// Starts the session. The startup message has been read before, so that a test can let the session start while the sidecar is
    /// suspended.
    fn start(&mut self, first: Option<&PodBehavior>) -> Option<()> {
        match first {
            Some(PodBehavior::StartSessionWithExtraBytes) => {
                self.script.remove_first();
                write_session_start(&mut self.connection, &[b'T', 0])?;
                while self.connection.read_message().is_some() {}
                None
            }
            Some(PodBehavior::StartSessionAfterSignal) => {
                self.script.remove_first();
                self.report("came");
                self.await_signal();
                write_session_start(&mut self.connection, &[])?;
                self.report("welcomed");
                Some(())
            }
            _ => write_session_start(&mut self.connection, &[]),
        }
    }

    /// Handles the empty query before the statement, to which the early entries of the script apply.
    fn answer_empty(&mut self) -> Option<()> {
        match self.script.next_early() {
            Some(PodBehavior::CloseOnFirstBytes) => return None,
            Some(PodBehavior::AnswerEmptyQueryAfterSignal(value)) => {
                self.report("empty");
                self.await_signal();
                self.reserved_entry = Some(PodBehavior::Answer(value));
            }
            Some(_) => return Some(()),
            None => {}
        }
        let mut out = BytesMut::new();
        write_empty_answer(&mut out);
        self.send(&out)
    }

    /// Returns the answer, or the part of it that is still to be sent; `None` if the pod closes the connection.
    fn answer(&mut self, entry: PodBehavior) -> Option<BytesMut> {
        let mut out = BytesMut::new();
        match entry {
            PodBehavior::Answer(value) | PodBehavior::AnswerEmptyQueryAfterSignal(value) => {
                write_answer(&mut out, value)
            }
            PodBehavior::AnswerThenSendBytes(value, first, then) => {
                self.send_unsolicited(value, first)?;
                self.unsent = then;
            }
            PodBehavior::DuplicateThenAnswer(value) => {
                out.extend_from_slice(&self.last_answer);
                write_answer(&mut out, value);
            }
            PodBehavior::AnswerTwice(value) => {
                write_answer(&mut out, value);
                write_answer(&mut out, value);
            }
            PodBehavior::DelayReadyForQuery(value) => {
                write_answer(&mut out, value);
                let ready = out.split_off(out.len() - READY_FOR_QUERY_LENGTH);
                self.send(&out)?;
                self.await_signal();
                return Some(ready);
            }
            PodBehavior::AnswerAfterSignal(value) => {
                self.await_signal();
                write_answer(&mut out, value);
            }
            PodBehavior::SplitAnswer(value) => {
                write_answer(&mut out, value);
                let rest = out.split_off(out.len() / 2);
                self.send(&out)?;
                self.report("half");
                self.await_signal();
                return Some(rest);
            }
            PodBehavior::Error(code) => out.put_slice(&error(code)),
            PodBehavior::SendBytes(bytes) => out.put_slice(&bytes),
            PodBehavior::SendBytesAndClose(bytes) => {
                self.send(&bytes)?;
                return None;
            }
            PodBehavior::Close => return None,
            PodBehavior::NoAnswer
            | PodBehavior::CloseOnFirstBytes
            | PodBehavior::IgnoreFirstBytes
            | PodBehavior::StartSessionAfterSignal
            | PodBehavior::StartSessionWithExtraBytes => {}
        }
        Some(out)
    }

    fn send_unsolicited(&mut self, value: &str, first: &[u8]) -> Option<()> {
        let mut out = BytesMut::new();
        write_answer(&mut out, value);
        self.send(&out)?;
        self.await_signal();
        self.send(first)?;
        self.report("said");
        Some(())
    }
}

/// Reads the startup message of a connection and starts its session.
pub(super) fn accept_session(stream: TcpStream) -> Option<Connection> {
    let mut connection = read_startup(stream)?;
    write_session_start(&mut connection, &[])?;
    Some(connection)
}

/// Reads the startup message of a connection.
fn read_startup(stream: TcpStream) -> Option<Connection> {
    let mut connection = Connection::new(stream).ok()?;
    while decode::startup_packet(&mut connection.input)
        .ok()?
        .is_none()
    {
        connection.read_more()?;
    }
    Some(connection)
}

/// Starts the session of a connection, with these bytes appended in the same write.
fn write_session_start(connection: &mut Connection, extra: &[u8]) -> Option<()> {
    let mut out = BytesMut::new();
    encode::session_start(&mut out, &[("server_version", "16.0")]);
    out.extend_from_slice(extra);
    connection.stream.write_all(&out).ok()
}

/// Reads the next statement; answers empty queries before it.
pub(super) fn read_statement(connection: &mut Connection) -> Option<String> {
    loop {
        let message = connection.read_message()?;
        let text = decode::string(&message.body)?;
        if !text.is_empty() {
            return Some(text.to_owned());
        }
        let mut out = BytesMut::new();
        write_empty_answer(&mut out);
        connection.stream.write_all(&out).ok()?;
    }
}
