//! Discovery and the rollout service over HTTP: streams of JSON objects, and votes.

use crate::locks::lock;
use std::io::{Read, Write};
use std::iter::Peekable;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::vec::IntoIter;

/// The head of a streamed response.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The response of a service that is down.
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 4096;

/// The open streams, shared with the thread that accepts them.
#[derive(Clone, Default)]
struct Streams(Arc<Mutex<Vec<TcpStream>>>);

impl Streams {
    /// Opens a stream that begins with this object.
    fn open(&self, mut stream: TcpStream, first: &str) {
        // The sidecar may have closed the connection.
        let _ = stream.write_all(format!("{STREAM_HEAD}{}", chunk(first)).as_bytes());
        lock(&self.0).push(stream);
    }

    fn send(&self, text: &str) {
        for stream in lock(&self.0).iter_mut() {
            // The sidecar may have closed the connection.
            let _ = stream.write_all(text.as_bytes());
        }
    }

    fn close_all(&self) {
        for stream in lock(&self.0).drain(..) {
            // The sidecar may have closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Encodes a line as a chunk of a stream.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut bytes = [0; READ_BUFFER_BYTES];
    while !text.contains("\r\n\r\n") || (text.starts_with("POST") && !text.ends_with('}')) {
        match stream.read(&mut bytes) {
            Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&bytes[..length])),
            _ => break,
        }
    }
    text
}

/// Discovery: answers each watch with an object, and sends further ones on a test's request.
pub struct Discovery {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The head of each request that arrived.
    pub requests: Receiver<String>,
    streams: Streams,
}

impl Discovery {
    /// Starts discovery on any free port; each watch begins with these bytes, which need not be an object.
    #[must_use]
    pub fn new(first: String) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), first)
    }

    /// Starts discovery at this address, which must be free.
    ///
    /// # Panics
    /// Panics if the address is in use.
    #[must_use]
    pub fn bind(address: SocketAddr, first: String) -> Self {
        let listener = TcpListener::bind(address).expect("a free address");
        let address = listener.local_addr().expect("the listener's address");
        let (request_sender, requests) = channel();
        let streams = Streams::default();
        let opened = streams.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let request = read_request(&mut stream);
                opened.open(stream, &first);
                // The test may have ended.
                let _ = request_sender.send(request);
            }
        });
        Self {
            address,
            requests,
            streams,
        }
    }

    /// Starts discovery that rejects each call with 503, as one that is down.
    ///
    /// # Panics
    /// Panics if no port is free.
    #[must_use]
    pub fn unavailable() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let (request_sender, requests) = channel();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let request = read_request(&mut stream);
                // The sidecar may have closed the connection.
                let _ = stream.write_all(UNAVAILABLE.as_bytes());
                // The test may have ended.
                let _ = request_sender.send(request);
            }
        });
        Self {
            address,
            requests,
            streams: Streams::default(),
        }
    }

    /// Waits for the next request, and returns its head.
    ///
    /// # Panics
    /// Panics if none arrives in time.
    pub fn next_request(&self) -> String {
        self.requests
            .recv_timeout(super::READ_TIMEOUT)
            .expect("a watch in time")
    }

    /// Sends an object on all watches.
    pub fn send_object(&self, object: &str) {
        self.streams.send(&chunk(object));
    }

    /// Sends these bytes on all watches, without a line end.
    pub fn send_bytes(&self, bytes: &str) {
        self.streams
            .send(&format!("{:x}\r\n{bytes}\r\n", bytes.len()));
    }

    /// Ends all watches.
    pub fn close_watches(&self) {
        self.streams.close_all();
    }
}

/// How the rollout service handles a vote.
#[derive(Clone, Debug)]
pub enum VoteReplyScript {
    /// Answers with this status and body.
    Reply(u16, String),
    /// Answers with these bytes and closes the connection.
    Raw(&'static [u8]),
    /// Answers with this status and body when the test releases the replies.
    Hold(u16, String),
    /// Never answers.
    NoReply,
}

/// A reply that waits for its release.
struct HeldReply {
    stream: TcpStream,
    status: u16,
    body: String,
}

/// The rollout service: stage updates and votes.
pub struct RolloutService {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// One message for each stream that was opened.
    opened_streams: Receiver<()>,
    votes: Receiver<String>,
    held: Arc<Mutex<Vec<HeldReply>>>,
    streams: Streams,
}

impl RolloutService {
    /// Starts the service; each stream begins with `first`, and each vote takes the next entry of the script, of which the last is repeated.
    ///
    /// # Panics
    /// Panics if no port is free.
    #[must_use]
    pub fn new(first: &str, script: Vec<VoteReplyScript>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let (vote_sender, votes) = channel();
        let (stream_sender, opened_streams) = channel();
        let streams = Streams::default();
        let held = Arc::default();
        let mut service = RolloutThread {
            first: first.to_owned(),
            script: script.into_iter().peekable(),
            unanswered: Vec::new(),
            held: Arc::clone(&held),
            streams: streams.clone(),
            vote_sender,
            stream_sender,
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                service.serve(stream);
            }
        });
        Self {
            address,
            opened_streams,
            votes,
            held,
            streams,
        }
    }

    /// Sends the held replies, and waits until the sidecar has read them and closed the connections.
    ///
    /// # Panics
    /// Panics if no reply is held, or if the sidecar did not wait for one.
    pub fn release_replies(&self) {
        let held = std::mem::take(&mut *lock(&self.held));
        assert!(!held.is_empty(), "no reply is held");
        for mut reply in held {
            send_reply(&mut reply.stream, reply.status, &reply.body).expect("an open connection");
            let end = reply.stream.read(&mut [0]);
            assert_eq!(end.ok(), Some(0), "the sidecar did not read the reply");
        }
    }

    /// Waits until a stream is opened.
    ///
    /// # Panics
    /// Panics if none is opened in time.
    pub fn await_stream_request(&self) {
        self.opened_streams
            .recv_timeout(super::READ_TIMEOUT)
            .expect("a stream in time");
    }

    /// The next vote, if one arrives within that time.
    #[must_use]
    pub fn next_vote(&self, within: Duration) -> Option<String> {
        self.votes.recv_timeout(within).ok()
    }

    /// Sends a line on all streams.
    pub fn send_line(&self, line: &str) {
        self.streams.send(&chunk(line));
    }

    /// Ends all streams.
    pub fn close_streams(&self) {
        self.streams.close_all();
    }
}

fn send_reply(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} S\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{body}").as_bytes())
}

struct RolloutThread {
    first: String,
    script: Peekable<IntoIter<VoteReplyScript>>,
    /// The connections of votes that are never answered.
    unanswered: Vec<TcpStream>,
    held: Arc<Mutex<Vec<HeldReply>>>,
    streams: Streams,
    vote_sender: Sender<String>,
    stream_sender: Sender<()>,
}

impl RolloutThread {
    fn serve(&mut self, mut stream: TcpStream) {
        let request = read_request(&mut stream);
        if request.starts_with("GET /v1/events") {
            self.streams.open(stream, &self.first);
            // The test may have ended.
            let _ = self.stream_sender.send(());
        } else if !request.is_empty() {
            self.answer_vote(stream);
            // The test may have ended.
            let _ = self.vote_sender.send(request);
        }
    }

    fn next_answer(&mut self) -> VoteReplyScript {
        let answer = if self.script.len() > 1 {
            self.script.next()
        } else {
            self.script.peek().cloned()
        };
        answer.expect("a script with at least one entry")
    }

    fn answer_vote(&mut self, mut stream: TcpStream) {
        // The sidecar may have closed the connection, so that write errors are ignored.
        match self.next_answer() {
            VoteReplyScript::Reply(status, body) => {
                let _ = send_reply(&mut stream, status, &body);
            }
            VoteReplyScript::Hold(status, body) => lock(&self.held).push(HeldReply {
                stream,
                status,
                body,
            }),
            VoteReplyScript::Raw(bytes) => {
                let _ = stream.write_all(bytes);
            }
            VoteReplyScript::NoReply => self.unanswered.push(stream),
        }
    }
}
