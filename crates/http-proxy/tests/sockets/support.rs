//! A sidecar on a thread, scripted pods and rollout service, and a client that reads response by response.

use limewing_decision::interface::{Action, AttemptIndex, Event, PodId, RequestId};
use limewing_http_proxy::endpoint_directory::EndpointDirectory;
use limewing_http_proxy::endpoint_list::EndpointRecord;
use limewing_http_proxy::endpoint_list_file;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use limewing_settings::{read_text, SidecarSettings};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{
  "name": "sidecar-0", "listen": "127.0.0.1:0", "seed": 1,
  "list": {"address": "127.0.0.1:1", "service": "none"},
  "fleet": {"sidecars": 3, "own_number": 0, "zones": ["east"], "zone": "east"},
  "headers": {"deadline_ms": "wait-ms"},
  "path_groups": [
    {"name": "quote", "routes": [{"method": "GET", "path": "/quotes/{id}"}, {"method": "PUT", "path": "/quotes/{id}"},
       {"method": "HEAD", "path": "/quotes/{id}"}],
     "repeat": "repeatable", "target_latency": 5, "client_timeout": 10, "benefit": 1},
    {"name": "charge", "routes": [{"method": "POST", "path": "/charges"}],
     "repeat": "mutating", "target_latency": 5, "client_timeout": 10, "benefit": 1},
    {"name": "feed", "routes": [{"method": "GET", "path": "/feed"}],
     "repeat": "repeatable", "target_latency": 5, "client_timeout": 10, "benefit": 1, "streamed": true}
  ],
  "limits": {"max_forwards": 6, "second_copies": false, "may_cancel": true, "connect_timeout": 1, "idle_close": 30,
    "retry_after": 0.5, "deadline_margin": 0.02, "body_kept": 1000, "request_within": 0.5, "stall": 0.5},
  "rules": {"answer_slack": 0.02, "drain_grace": 1, "cold_from": 0.35, "cold_for": 3, "fall_multiple": 2,
    "fall_within": 3},
  "releases": {"control": "clock", "stages": [{"share": 1, "cap": 1}], "cap_window": 2, "cap_free": 1,
    "step_after": 4, "vote_life": 4, "vote_answer_within": 1, "back_votes": 1}
}"#;

pub(crate) const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
pub(crate) const QUOTE: &str = "GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n";
pub(crate) const CHARGE: &str = "POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

/// Starts a sidecar that knows these pods; it runs until the test's process ends.
pub(crate) fn sidecar(pods: &[SocketAddr]) -> SocketAddr {
    sidecar_with(Some(state_file(pods)))
}

/// A state file that holds these pods.
pub(crate) fn state_file(pods: &[SocketAddr]) -> std::path::PathBuf {
    state_file_of(&pods.iter().map(|at| (*at, 1)).collect::<Vec<_>>())
}

/// A state file that holds these pods, each with its build.
pub(crate) fn state_file_of(pods: &[(SocketAddr, u16)]) -> std::path::PathBuf {
    let folder = tempfile::tempdir().unwrap().keep();
    let file = folder.join("state.json");
    let row = |(address, build): &(SocketAddr, u16)| EndpointRecord {
        machine: address.to_string(),
        address: *address,
        draining: false,
        build: *build,
        weight: 1.0,
        started: None,
        zone: "east".into(),
        cell: 0,
        machine_type: "plain".into(),
    };
    endpoint_list_file::save(&file, &pods.iter().map(row).collect::<Vec<_>>()).unwrap();
    file
}

/// A response of the list service with these pods.
pub(crate) fn listing(index: u64, pods: &[SocketAddr]) -> String {
    let entry = |at: &SocketAddr| {
        format!(
            r#"{{"Service":{{"ID":"{at}","Address":"{}","Port":{},"Meta":{{"build":"1"}}}}}}"#,
            at.ip(),
            at.port()
        )
    };
    let body = format!("[{}]", pods.iter().map(entry).collect::<Vec<_>>().join(","));
    format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn sidecar_with(state_file: Option<std::path::PathBuf>) -> SocketAddr {
    let mut settings = settings();
    settings.state_file = state_file;
    run(Service::start(&settings).unwrap())
}

pub(crate) fn settings() -> SidecarSettings {
    read_text("settings", SETTINGS).unwrap()
}

/// Starts an attempt of each request at all of these pods at once, and decides nothing else.
struct SendToAll(Vec<SocketAddr>);

impl SendAuthority for SendToAll {
    fn may_begin(&self, _: Duration, _: RequestId, _: AttemptIndex) -> bool {
        true
    }
}

impl Decisions for SendToAll {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.handle(now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut directory = EndpointDirectory::new(&[]);
        let pods: Vec<PodId> = self.0.iter().map(|at| directory.pod_id(*at)).collect();
        let forwards = events.iter().filter_map(|event| match event {
            Event::RequestArrived(hit) => Some(hit.id),
            _ => None,
        });
        let forwards = forwards.flat_map(|hit| {
            pods.iter().map(move |pod| Action::StartAttempt {
                request: hit,
                pod: *pod,
                timeout: Duration::ZERO,
            })
        });
        let beat = Action::WakeAt {
            at: now + Duration::from_millis(20),
        };
        forwards.chain([beat]).collect()
    }
}

/// A sidecar that sends each request to all pods at once.
pub(crate) fn sidecar_that_sends_to_all(pods: &[SocketAddr]) -> SocketAddr {
    let pods = pods.to_vec();
    run(Service::start_with(&settings(), |_, _| Box::new(SendToAll(pods))).unwrap())
}

pub(crate) fn run(service: Service) -> SocketAddr {
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// What a pod does on each connection after it has read a request's head.
#[derive(Clone, Debug)]
pub(crate) enum PodAction {
    Respond(&'static str),
    RespondAndClose(&'static str),
    /// Says nothing until the peer closes.
    StaySilent,
    /// Says the first part, waits for a word of the test, and says the second.
    RespondInTwoParts(&'static str, &'static str),
    /// Sends without an end.
    SendForever,
    /// Says how long the body was, which may come in chunks.
    RespondWithBodyLength,
}

pub(crate) struct Pod {
    pub at: SocketAddr,
    /// The head of each request that came, and `gone` when a connection ended.
    pub received: Receiver<String>,
    pub resume: Sender<()>,
    heads: Arc<AtomicUsize>,
}

impl Pod {
    /// A pod that does these in turn, one for each request, and the last of them ever after.
    pub(crate) fn new(script: Vec<PodAction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let ((tell, received), (resume, word)) = (channel(), channel());
        let heads = Arc::new(AtomicUsize::new(0));
        let count = heads.clone();
        std::thread::spawn(move || {
            let mut script = script.into_iter().peekable();
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                while let Some(head) = read_head(
                    &mut stream,
                    matches!(script.peek(), Some(PodAction::RespondWithBodyLength)),
                ) {
                    let does = if script.len() > 1 {
                        script.next()
                    } else {
                        script.peek().cloned()
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    let _ = tell.send(head);
                    if !perform(&mut stream, does.unwrap(), &word) {
                        break;
                    }
                }
                let _ = tell.send("gone".into());
            }
        });
        Self {
            at,
            received,
            resume,
            heads,
        }
    }

    pub(crate) fn read_response(&self) -> String {
        self.received
            .recv_timeout(Duration::from_secs(10))
            .expect("the pod hears something")
    }

    /// Requests heard since the start.
    pub(crate) fn count(&self) -> usize {
        self.heads.load(Ordering::Relaxed)
    }

    pub(crate) fn received_nothing(&self) -> bool {
        self.received.try_recv().is_err()
    }
}

fn perform(stream: &mut TcpStream, does: PodAction, word: &Receiver<()>) -> bool {
    match does {
        PodAction::Respond(text) => stream.write_all(text.as_bytes()).is_ok(),
        PodAction::RespondAndClose(text) => {
            let _ = stream.write_all(text.as_bytes());
            false
        }
        PodAction::StaySilent => {
            let _ = stream.read(&mut [0; 100]);
            false
        }
        PodAction::RespondInTwoParts(first, second) => {
            let _ = stream.write_all(first.as_bytes());
            let _ = word.recv();
            stream.write_all(second.as_bytes()).is_ok()
        }
        PodAction::RespondWithBodyLength => unreachable!("answered as it was read"),
        PodAction::SendForever => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
            while stream.write_all(&[b'x'; 65_536]).is_ok() {}
            false
        }
    }
}

fn read_chunks(stream: &mut TcpStream) -> Option<usize> {
    let mut whole = 0;
    loop {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = usize::from_str_radix(String::from_utf8(line).ok()?.trim(), 16).ok()?;
        stream.read_exact(&mut vec![0; size + 2]).ok()?;
        whole += size;
        if size == 0 {
            return Some(whole);
        }
    }
}

fn read_head(stream: &mut TcpStream, counts: bool) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(head).unwrap();
    let length = text
        .to_ascii_lowercase()
        .split("content-length: ")
        .nth(1)
        .map_or(0, |rest| {
            rest.split("\r\n").next().unwrap().parse::<usize>().unwrap()
        });
    let length = if text.contains("chunked") {
        read_chunks(stream)?
    } else {
        length
    };
    if !text.contains("chunked") {
        stream.read_exact(&mut vec![0; length]).ok()?;
    }
    if counts {
        let body = length.to_string();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        return read_head(stream, counts);
    }
    Some(text)
}

pub(crate) struct Client(pub TcpStream);

impl Client {
    pub(crate) fn new(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self(stream)
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// The next answer: its head and its body, which must have a length.
    pub(crate) fn read_response(&mut self) -> (String, String) {
        let mut head = self.read_until("\r\n\r\n");
        let length = head.split("content-length: ").nth(1).map_or(0, |rest| {
            rest.split("\r\n").next().unwrap().parse().unwrap()
        });
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        head.truncate(head.len() - 4);
        (head, String::from_utf8(body).unwrap())
    }

    pub(crate) fn read_until(&mut self, end: &str) -> String {
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(end.as_bytes()) {
            match self.0.read(&mut byte) {
                Ok(1) => text.push(byte[0]),
                other => panic!("{other:?} after {:?}", String::from_utf8_lossy(&text)),
            }
        }
        String::from_utf8(text).unwrap()
    }

    /// Whether nothing more comes and the other side has closed.
    pub(crate) fn is_closed_by_sidecar(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// What the rollout service does with a vote.
#[derive(Clone, Debug)]
pub(crate) enum VoteAction {
    Counted,
    Moot,
    Close,
    Respond(&'static str),
    RespondAndClose(&'static str),
    StaySilent,
    /// Counts it, and says so at a word of the test.
    CountOnSignal,
}

pub(crate) struct RolloutService {
    at: SocketAddr,
    votes: Receiver<(Instant, String)>,
    pub resume: Sender<()>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl RolloutService {
    /// Says this state on each stream; does these with votes in turn, and the last of them ever after.
    pub(crate) fn new(state: &'static str, script: Vec<VoteAction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let ((tell_vote, votes), (resume, word)) = (channel(), channel());
        let word = Arc::new(Mutex::new(word));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let kept = streams.clone();
        std::thread::spawn(move || {
            let mut script = script.into_iter().peekable();
            for mut link in listener.incoming().map_while(Result::ok) {
                let mut asked = vec![0; 2000];
                let length = link.read(&mut asked).unwrap_or(0);
                let text = String::from_utf8_lossy(&asked[..length]).into_owned();
                if text.starts_with("GET") {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    let _ = write!(link, "{head}data: {state}\n\n");
                    kept.lock().unwrap().push(link);
                } else if !text.is_empty() {
                    let _ = tell_vote.send((Instant::now(), text));
                    let does = if script.len() > 1 {
                        script.next()
                    } else {
                        script.peek().cloned()
                    };
                    let word = word.clone();
                    std::thread::spawn(move || reply_to_vote(link, does.unwrap(), &word));
                }
            }
        });
        Self {
            at,
            votes,
            resume,
            streams,
        }
    }

    pub(crate) fn settings(&self) -> limewing_settings::RolloutService {
        let silence_timeout = limewing_settings::Seconds::try_from(30.0).unwrap();
        limewing_settings::RolloutService {
            address: self.at,
            silence_timeout,
        }
    }

    /// Waits until stage news have been read: the first vote on them comes.
    pub(crate) fn wait_for_first_vote(&self) {
        self.vote(Duration::from_secs(10)).expect("a vote");
    }

    pub(crate) fn send(&self, state: &str) {
        for link in self.streams.lock().unwrap().iter_mut() {
            let _ = write!(link, "data: {state}\n\n");
        }
    }

    pub(crate) fn vote(&self, timeout: Duration) -> Option<(Instant, String)> {
        self.votes.recv_timeout(timeout).ok()
    }
}

fn reply_to_vote(mut link: TcpStream, does: VoteAction, word: &Mutex<Receiver<()>>) {
    let send = |link: &mut TcpStream, what: &str| {
        let body = format!(r#"{{"answer":"{what}"}}"#);
        write!(
            link,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let _ = match does {
        VoteAction::Counted => send(&mut link, "counted"),
        VoteAction::Moot => send(&mut link, "moot"),
        VoteAction::Close => return,
        VoteAction::Respond(text) => link.write_all(text.as_bytes()),
        VoteAction::RespondAndClose(text) => return drop(link.write_all(text.as_bytes())),
        VoteAction::StaySilent => Ok(()),
        VoteAction::CountOnSignal => {
            let _ = word.lock().unwrap().recv();
            send(&mut link, "counted")
        }
    };
    let _ = link.read(&mut [0; 100]);
}
