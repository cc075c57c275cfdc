use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

type Streams = Arc<Mutex<Vec<TcpStream>>>;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

fn say(streams: &Streams, text: &str) {
    for link in streams.lock().unwrap().iter_mut() {
        let _ = link.write_all(text.as_bytes());
    }
}

fn cut(streams: &Streams) {
    for link in streams.lock().unwrap().drain(..) {
        let _ = link.shutdown(std::net::Shutdown::Both);
    }
}

fn read_request(link: &mut TcpStream) -> String {
    let (mut text, mut some) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") || (text.starts_with("POST") && !text.ends_with('}')) {
        match link.read(&mut some) {
            Ok(length @ 1..) => text.push_str(&String::from_utf8_lossy(&some[..length])),
            _ => break,
        }
    }
    text
}

/// Discovery: answers each watch with an object, and says more when told.
pub struct Discovery {
    pub at: SocketAddr,
    /// The head of each call that came.
    pub calls: Receiver<String>,
    streams: Streams,
}

impl Discovery {
    /// Begins each watch with these bytes: an object, or whatever else.
    pub fn new(first: String) -> Self {
        Self::at(SocketAddr::from(([127, 0, 0, 1], 0)), first)
    }

    /// One at this address, which may have had nobody before.
    pub fn at(at: SocketAddr, first: String) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let at = listener.local_addr().unwrap();
        let (tell, calls) = channel();
        let streams = Streams::default();
        let kept = streams.clone();
        std::thread::spawn(move || {
            for mut link in listener.incoming().map_while(Result::ok) {
                let asked = read_request(&mut link);
                let _ = link.write_all(format!("{STREAM}{}", chunk(&first)).as_bytes());
                kept.lock().unwrap().push(link);
                let _ = tell.send(asked);
            }
        });
        Self { at, calls, streams }
    }

    pub fn is_asked(&self) -> String {
        self.calls.recv_timeout(super::PATIENCE).expect("a watch")
    }

    pub fn says(&self, object: &str) {
        say(&self.streams, &chunk(object));
    }

    /// Says these bytes, with no end of a line.
    pub fn says_part(&self, bytes: &str) {
        say(&self.streams, &format!("{:x}\r\n{bytes}\r\n", bytes.len()));
    }

    /// Ends all watches.
    pub fn cuts(&self) {
        cut(&self.streams);
    }
}

/// What rollouts do with a vote.
#[derive(Clone, Debug)]
pub enum Vote {
    /// Answers with this status and body.
    Says(u16, String),
    /// Answers with these bytes and closes.
    Raw(&'static [u8]),
    Waits,
}

pub struct Rollouts {
    pub at: SocketAddr,
    /// A word for each stream that was asked for.
    streamed: Receiver<()>,
    votes: Receiver<String>,
    streams: Streams,
}

impl Rollouts {
    /// Says this on each stream; does these with votes in turn, and the last of them ever after.
    pub fn new(first: &str, script: Vec<Vote>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let ((tell, votes), (tell_stream, streamed)) = (channel(), channel());
        let streams = Streams::default();
        let (kept, first) = (streams.clone(), first.to_owned());
        std::thread::spawn(move || {
            let mut script = script.into_iter().peekable();
            let mut waiting = Vec::new();
            for mut link in listener.incoming().map_while(Result::ok) {
                let asked = read_request(&mut link);
                if asked.starts_with("GET /v1/events") {
                    let _ = link.write_all(format!("{STREAM}{}", chunk(&first)).as_bytes());
                    kept.lock().unwrap().push(link);
                    let _ = tell_stream.send(());
                } else if !asked.is_empty() {
                    let does = if script.len() > 1 {
                        script.next()
                    } else {
                        script.peek().cloned()
                    };
                    match does.expect("a script") {
                        Vote::Says(status, body) => {
                            let length = body.len();
                            let head =
                                format!("HTTP/1.1 {status} S\r\nContent-Length: {length}\r\n\r\n");
                            let _ = link.write_all(format!("{head}{body}").as_bytes());
                        }
                        Vote::Raw(bytes) => drop(link.write_all(bytes)),
                        Vote::Waits => waiting.push(link),
                    }
                    let _ = tell.send(asked);
                }
            }
        });
        Self {
            at,
            streamed,
            votes,
            streams,
        }
    }

    /// Waits until a stream has been asked for.
    pub fn is_asked(&self) {
        self.streamed
            .recv_timeout(super::PATIENCE)
            .expect("a stream");
    }

    pub fn vote(&self, within: Duration) -> Option<String> {
        self.votes.recv_timeout(within).ok()
    }

    pub fn says(&self, line: &str) {
        say(&self.streams, &chunk(line));
    }

    pub fn cuts(&self) {
        cut(&self.streams);
    }
}
