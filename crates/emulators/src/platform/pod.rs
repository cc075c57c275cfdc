use super::Link;
use bytes::{BufMut, BytesMut};
use limewing_postgres_protocol::encode::{ErrorResponse, Severity};
use limewing_postgres_protocol::{decode, encode};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a pod does with a statement.
#[derive(Clone, Debug)]
pub enum Does {
    /// Answers with this value.
    Serves(&'static str),
    /// Answers, and sends the same again right after.
    ServesTwice(&'static str),
    /// Answers; where the connection has served before, that answer comes once more first.
    CopiesFirst(&'static str),
    /// Answers, but says that the next may come only after a word of the test.
    ServesSlowly(&'static str),
    /// Answers after a word of the test.
    ServesLater(&'static str),
    /// Answers half, and the rest after a word of the test.
    Halves(&'static str),
    /// Answers with this code.
    Errs(&'static str),
    /// Sends these bytes and keeps the connection.
    Says(Vec<u8>),
    /// Sends these bytes and closes.
    SaysAndCloses(Vec<u8>),
    Closes,
    /// Says nothing until the sidecar closes.
    Waits,
    /// Closes as soon as the first bytes come.
    ClosesEarly,
    /// Says nothing from the first bytes on.
    WaitsEarly,
    /// Tells `came` once a connection's startup message is here, and welcomes it only after a word of the test; then tells `welcomed`.
    WelcomesLater,
    /// Welcomes a connection with half a message behind it, in one piece, and then says nothing.
    WelcomesWithMore,
    /// Answers the empty query before the statement only after a word of the test, of which it is asked by `empty`; then
    /// the statement, if it comes.
    LivesLater(&'static str),
    /// Answers; after a word of the test says the first bytes unasked and tells `said`, and the rest before its next answer.
    ServesThenSays(&'static str, &'static [u8], &'static [u8]),
}

pub struct Pod {
    pub at: SocketAddr,
    /// Each statement that came, and `gone` when a connection ended.
    pub seen: Receiver<String>,
    pub go_on: Sender<()>,
    links: Arc<AtomicUsize>,
}

impl Pod {
    /// A pod that does these in turn, one for each statement, and the last of them ever after.
    pub fn new(script: Vec<Does>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let ((tell, seen), (go_on, word)) = (channel(), channel());
        let links = Arc::new(AtomicUsize::new(0));
        let count = links.clone();
        let script = Arc::new(Mutex::new(script));
        let word = Arc::new(Mutex::new(word));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                count.fetch_add(1, Ordering::SeqCst);
                let (tell, script, word) = (tell.clone(), script.clone(), word.clone());
                std::thread::spawn(move || {
                    serve(stream, &tell, &script, &word);
                    let _ = tell.send("gone".into());
                });
            }
        });
        Self {
            at,
            seen,
            go_on,
            links,
        }
    }

    pub fn hears(&self) -> String {
        self.seen
            .recv_timeout(super::PATIENCE)
            .expect("the pod hears something")
    }

    pub fn heard_nothing(&self) -> bool {
        self.seen.try_recv().is_err()
    }

    /// Connections that were made so far.
    pub fn links(&self) -> usize {
        self.links.load(Ordering::SeqCst)
    }
}

fn serve(
    stream: TcpStream,
    tell: &Sender<String>,
    script: &Mutex<Vec<Does>>,
    word: &Mutex<Receiver<()>>,
) -> Option<()> {
    let first = script.lock().unwrap().first().cloned();
    if matches!(first, Some(Does::WelcomesWithMore)) {
        script.lock().unwrap().remove(0);
        let mut link = read_startup(stream)?;
        write_welcome(&mut link, &[b'T', 0])?;
        while link.hear().is_some() {}
        return None;
    }
    // Only with the sidecar's first message here can it be welcomed while the sidecar stands still.
    let mut link = read_startup(stream)?;
    let later = matches!(first, Some(Does::WelcomesLater));
    if later {
        script.lock().unwrap().remove(0);
        let _ = tell.send("came".into());
        let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
    }
    write_welcome(&mut link, &[])?;
    if later {
        let _ = tell.send("welcomed".into());
    }
    let (mut own, mut rest): (Option<Does>, &[u8]) = (None, &[]);
    let mut last = BytesMut::new();
    loop {
        let frame = link.hear()?;
        let text = decode::string(&frame.body)?.to_owned();
        link.stream.write_all(std::mem::take(&mut rest)).ok()?;
        if text.is_empty() {
            // What is done early is done to the empty query before the statement.
            let mut script = script.lock().unwrap();
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
            drop(script);
            match early {
                Some(Does::ClosesEarly) => return None,
                Some(Does::LivesLater(value)) => {
                    let _ = tell.send("empty".into());
                    let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
                    own = Some(Does::Serves(value));
                }
                Some(_) => continue,
                None => {}
            }
            let mut out = BytesMut::new();
            encode::empty_query_response(&mut out);
            encode::ready_for_query(&mut out);
            link.stream.write_all(&out).ok()?;
            continue;
        }
        let next = || {
            let mut script = script.lock().unwrap();
            if script.len() > 1 {
                script.remove(0)
            } else {
                script[0].clone()
            }
        };
        let does = own.take().unwrap_or_else(next);
        let _ = tell.send(text);
        let mut out = BytesMut::new();
        match does {
            Does::Serves(value) | Does::LivesLater(value) => write_answer(&mut out, value),
            Does::ServesThenSays(value, first, then) => {
                write_answer(&mut out, value);
                link.stream.write_all(&out).ok()?;
                out.clear();
                let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
                link.stream.write_all(first).ok()?;
                let _ = tell.send("said".into());
                rest = then;
            }
            Does::CopiesFirst(value) => {
                out.extend_from_slice(&last);
                write_answer(&mut out, value);
            }
            Does::ServesTwice(value) => {
                write_answer(&mut out, value);
                write_answer(&mut out, value);
            }
            Does::ServesSlowly(value) => {
                write_answer(&mut out, value);
                out.truncate(out.len() - 6);
                link.stream.write_all(&out).ok()?;
                out.clear();
                let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
                encode::ready_for_query(&mut out);
            }
            Does::ServesLater(value) => {
                let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
                write_answer(&mut out, value);
            }
            Does::Halves(value) => {
                write_answer(&mut out, value);
                let rest = out.split_off(out.len() / 2);
                link.stream.write_all(&out).ok()?;
                let _ = tell.send("half".into());
                let _ = word.lock().unwrap().recv_timeout(Duration::from_secs(20));
                out = rest;
            }
            Does::Errs(code) => {
                encode::error_response(
                    &mut out,
                    &ErrorResponse {
                        severity: Severity::Error,
                        sqlstate: code,
                        message: "as told",
                        detail: None,
                    },
                );
                encode::ready_for_query(&mut out);
            }
            Does::Says(bytes) => out.put_slice(&bytes),
            Does::SaysAndCloses(bytes) => {
                let _ = link.stream.write_all(&bytes);
                return None;
            }
            Does::Closes => return None,
            Does::Waits
            | Does::ClosesEarly
            | Does::WaitsEarly
            | Does::WelcomesLater
            | Does::WelcomesWithMore => {}
        }
        link.stream.write_all(&out).ok()?;
        last = out;
    }
}

/// A connection that is welcomed.
pub(super) fn welcome(stream: TcpStream) -> Option<Link> {
    let mut link = read_startup(stream)?;
    write_welcome(&mut link, &[])?;
    Some(link)
}

/// A connection whose startup message has come.
fn read_startup(stream: TcpStream) -> Option<Link> {
    let mut link = Link::new(stream).ok()?;
    while decode::startup_packet(&mut link.input).ok()?.is_none() {
        link.fill()?;
    }
    Some(link)
}

/// Welcomes a connection, with these bytes right behind.
fn write_welcome(link: &mut Link, more: &[u8]) -> Option<()> {
    let mut out = BytesMut::new();
    encode::session_start(&mut out, &[("server_version", "16.0")]);
    out.extend_from_slice(more);
    link.stream.write_all(&out).ok()
}

/// The next statement; empty queries before it are answered.
pub(super) fn read_statement(link: &mut Link) -> Option<String> {
    loop {
        let frame = link.hear()?;
        let text = decode::string(&frame.body)?;
        if !text.is_empty() {
            return Some(text.to_owned());
        }
        let mut out = BytesMut::new();
        encode::empty_query_response(&mut out);
        encode::ready_for_query(&mut out);
        link.stream.write_all(&out).ok()?;
    }
}

/// The bytes of an error.
pub(super) fn error(code: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    encode::error_response(
        &mut out,
        &ErrorResponse {
            severity: Severity::Error,
            sqlstate: code,
            message: "as told",
            detail: None,
        },
    );
    encode::ready_for_query(&mut out);
    out.to_vec()
}

/// An answer with a row, and the word that the next statement may come.
fn write_answer(out: &mut BytesMut, value: &str) {
    encode::row_description(out, "blob");
    encode::data_row(out, value.as_bytes());
    encode::command_complete(out, "SELECT 1");
    encode::parameter_status(out, "load", "inflight=1");
    encode::ready_for_query(out);
}

/// The bytes of an answer.
pub fn answer(value: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_answer(&mut out, value);
    out.to_vec()
}
