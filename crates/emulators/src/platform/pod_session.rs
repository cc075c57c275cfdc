//! One connection of a sidecar to a scripted pod.

use super::messages::{error, write_answer, write_empty_answer};
use super::pod::Does;
use super::Link;
use crate::locks::lock;
use bytes::{BufMut, BytesMut};
use limewing_postgres_protocol::{decode, encode};
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Mutex;
use std::time::Duration;

/// How long a pod waits for a signal from the test.
const WORD_TIMEOUT: Duration = Duration::from_secs(20);
/// The length of the ReadyForQuery message, which ends an answer.
const READY_FOR_QUERY_LENGTH: usize = 6;

/// The script of a pod, shared by all its connections; the last entry is repeated.
#[derive(Debug)]
pub(super) struct PodScript(Mutex<Vec<Does>>);

impl PodScript {
    pub(super) fn new(script: Vec<Does>) -> Self {
        Self(Mutex::new(script))
    }

    fn first(&self) -> Option<Does> {
        lock(&self.0).first().cloned()
    }

    fn remove_first(&self) {
        lock(&self.0).remove(0);
    }

    fn next(&self) -> Does {
        let mut script = lock(&self.0);
        if script.len() > 1 {
            script.remove(0)
        } else {
            script[0].clone()
        }
    }

    /// Takes the next entry if it concerns the empty query before a statement.
    fn next_early(&self) -> Option<Does> {
        let mut script = lock(&self.0);
        let is_early = |does: &&Does| {
            matches!(
                does,
                Does::ClosesEarly | Does::WaitsEarly | Does::LivesLater(_)
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
    tell: &Sender<String>,
    script: &PodScript,
    word: &Mutex<Receiver<()>>,
) {
    let first = script.first();
    let Some(link) = read_startup(stream) else {
        return;
    };
    let mut session = PodSession {
        link,
        tell,
        script,
        word,
        own: None,
        unsent: &[],
        last_answer: BytesMut::new(),
    };
    // `None` means that the connection has ended.
    let _ = session.run(first.as_ref());
}

struct PodSession<'a> {
    link: Link,
    tell: &'a Sender<String>,
    script: &'a PodScript,
    word: &'a Mutex<Receiver<()>>,
    /// The entry that the empty query has set for the statement after it.
    own: Option<Does>,
    /// Bytes to send before the next answer.
    unsent: &'static [u8],
    last_answer: BytesMut,
}

impl PodSession<'_> {
    /// Serves until either side ends the connection; `first` is the first entry of the script when the connection was accepted.
    fn run(&mut self, first: Option<&Does>) -> Option<()> {
        self.start(first)?;
        loop {
            let message = self.link.hear()?;
            let text = decode::string(&message.body)?.to_owned();
            let unsent = std::mem::take(&mut self.unsent);
            self.send(unsent)?;
            if text.is_empty() {
                self.answer_empty()?;
                continue;
            }
            let does = self.own.take().unwrap_or_else(|| self.script.next());
            self.tell(text);
            let answer = self.answer(does)?;
            self.send(&answer)?;
            self.last_answer = answer;
        }
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.link.stream.write_all(bytes).ok()
    }

    fn tell(&self, what: impl Into<String>) {
        // The test may have ended.
        let _ = self.tell.send(what.into());
    }

    fn await_word(&self) {
        // If none arrives, the test reports the failure.
        let _ = lock(self.word).recv_timeout(WORD_TIMEOUT);
    }

    /// Starts the session. The startup message has been read before, so that a test can let the session start while the sidecar is
    /// suspended.
    fn start(&mut self, first: Option<&Does>) -> Option<()> {
        match first {
            Some(Does::WelcomesWithMore) => {
                self.script.remove_first();
                write_session_start(&mut self.link, &[b'T', 0])?;
                while self.link.hear().is_some() {}
                None
            }
            Some(Does::WelcomesLater) => {
                self.script.remove_first();
                self.tell("came");
                self.await_word();
                write_session_start(&mut self.link, &[])?;
                self.tell("welcomed");
                Some(())
            }
            _ => write_session_start(&mut self.link, &[]),
        }
    }

    /// Handles the empty query before the statement, to which the early entries of the script apply.
    fn answer_empty(&mut self) -> Option<()> {
        match self.script.next_early() {
            Some(Does::ClosesEarly) => return None,
            Some(Does::LivesLater(value)) => {
                self.tell("empty");
                self.await_word();
                self.own = Some(Does::Serves(value));
            }
            Some(_) => return Some(()),
            None => {}
        }
        let mut out = BytesMut::new();
        write_empty_answer(&mut out);
        self.send(&out)
    }

    /// Returns the answer, or the part of it that is still to be sent; `None` if the pod closes the connection.
    fn answer(&mut self, does: Does) -> Option<BytesMut> {
        let mut out = BytesMut::new();
        match does {
            Does::Serves(value) | Does::LivesLater(value) => write_answer(&mut out, value),
            Does::ServesThenSays(value, first, then) => {
                self.serve_then_say(value, first)?;
                self.unsent = then;
            }
            Does::CopiesFirst(value) => {
                out.extend_from_slice(&self.last_answer);
                write_answer(&mut out, value);
            }
            Does::ServesTwice(value) => {
                write_answer(&mut out, value);
                write_answer(&mut out, value);
            }
            Does::ServesSlowly(value) => {
                write_answer(&mut out, value);
                let ready = out.split_off(out.len() - READY_FOR_QUERY_LENGTH);
                self.send(&out)?;
                self.await_word();
                return Some(ready);
            }
            Does::ServesLater(value) => {
                self.await_word();
                write_answer(&mut out, value);
            }
            Does::Halves(value) => {
                write_answer(&mut out, value);
                let rest = out.split_off(out.len() / 2);
                self.send(&out)?;
                self.tell("half");
                self.await_word();
                return Some(rest);
            }
            Does::Errs(code) => out.put_slice(&error(code)),
            Does::Says(bytes) => out.put_slice(&bytes),
            Does::SaysAndCloses(bytes) => {
                self.send(&bytes)?;
                return None;
            }
            Does::Closes => return None,
            Does::Waits
            | Does::ClosesEarly
            | Does::WaitsEarly
            | Does::WelcomesLater
            | Does::WelcomesWithMore => {}
        }
        Some(out)
    }

    fn serve_then_say(&mut self, value: &str, first: &[u8]) -> Option<()> {
        let mut out = BytesMut::new();
        write_answer(&mut out, value);
        self.send(&out)?;
        self.await_word();
        self.send(first)?;
        self.tell("said");
        Some(())
    }
}

/// Reads the startup message of a connection and starts its session.
pub(super) fn accept_session(stream: TcpStream) -> Option<Link> {
    let mut link = read_startup(stream)?;
    write_session_start(&mut link, &[])?;
    Some(link)
}

/// Reads the startup message of a connection.
fn read_startup(stream: TcpStream) -> Option<Link> {
    let mut link = Link::new(stream).ok()?;
    while decode::startup_packet(&mut link.input).ok()?.is_none() {
        link.fill()?;
    }
    Some(link)
}

/// Starts the session of a connection, with these bytes appended in the same write.
fn write_session_start(link: &mut Link, more: &[u8]) -> Option<()> {
    let mut out = BytesMut::new();
    encode::session_start(&mut out, &[("server_version", "16.0")]);
    out.extend_from_slice(more);
    link.stream.write_all(&out).ok()
}

/// Reads the next statement; answers empty queries before it.
pub(super) fn read_statement(link: &mut Link) -> Option<String> {
    loop {
        let message = link.hear()?;
        let text = decode::string(&message.body)?;
        if !text.is_empty() {
            return Some(text.to_owned());
        }
        let mut out = BytesMut::new();
        write_empty_answer(&mut out);
        link.stream.write_all(&out).ok()?;
    }
}
