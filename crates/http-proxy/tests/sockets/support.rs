//! Test support: a sidecar on a thread, scripted pods and rollout service, and a client that reads one response at a time.

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
pub(crate) const GET_QUOTE: &str = "GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n";
pub(crate) const POST_CHARGE: &str =
    "POST /charges HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

/// Starts a sidecar with these pods; it runs until the test process ends.
pub(crate) fn sidecar(pods: &[SocketAddr]) -> SocketAddr {
    sidecar_with_state_file(Some(state_file(pods)))
}

/// Writes a state file with these pods.
pub(crate) fn state_file(pods: &[SocketAddr]) -> std::path::PathBuf {
    state_file_with_builds(&pods.iter().map(|address| (*address, 1)).collect::<Vec<_>>())
}

/// Writes a state file with these pods and their builds.
pub(crate) fn state_file_with_builds(pods: &[(SocketAddr, u16)]) -> std::path::PathBuf {
    let folder = tempfile::tempdir().unwrap().keep();
    let file = folder.join("state.json");
    let record = |(address, build): &(SocketAddr, u16)| EndpointRecord {
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
    endpoint_list_file::save(&file, &pods.iter().map(record).collect::<Vec<_>>()).unwrap();
    file
}

/// Returns a response of the list service with these pods.
pub(crate) fn endpoint_list_response(index: u64, pods: &[SocketAddr]) -> String {
    let entry = |address: &SocketAddr| {
        format!(
            r#"{{"Service":{{"ID":"{address}","Address":"{}","Port":{},"Meta":{{"build":"1"}}}}}}"#,
            address.ip(),
            address.port()
        )
    };
    let body = format!("[{}]", pods.iter().map(entry).collect::<Vec<_>>().join(","));
    format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn sidecar_with_state_file(state_file: Option<std::path::PathBuf>) -> SocketAddr {
    let mut settings = settings();
    settings.state_file = state_file;
    spawn(Service::start(&settings).unwrap())
}

pub(crate) fn settings() -> SidecarSettings {
    read_text("settings", SETTINGS).unwrap()
}

/// Decisions that start an attempt of each request at all of these pods at once.
struct SendToAll(Vec<SocketAddr>);

impl SendAuthority for SendToAll {
    fn may_send_first_byte(&self, _: Duration, _: RequestId, _: AttemptIndex) -> bool {
        true
    }
}

impl Decisions for SendToAll {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.handle(now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut directory = EndpointDirectory::new(&[]);
        let pods: Vec<PodId> = self
            .0
            .iter()
            .map(|address| directory.pod_id(*address))
            .collect();
        let requests = events.iter().filter_map(|event| match event {
            Event::RequestArrived(request) => Some(request.id),
            _ => None,
        });
        let attempts = requests.flat_map(|request| {
            pods.iter().map(move |pod| Action::StartAttempt {
                request,
                pod: *pod,
                timeout: Duration::ZERO,
            })
        });
        let wake_up = Action::WakeAt {
            at: now + Duration::from_millis(20),
        };
        attempts.chain([wake_up]).collect()
    }
}

/// Starts a sidecar that sends each request to all pods at once.
pub(crate) fn sidecar_that_sends_to_all(pods: &[SocketAddr]) -> SocketAddr {
    let pods = pods.to_vec();
    spawn(Service::start_with(&settings(), |_, _| Box::new(SendToAll(pods))).unwrap())
}

/// Runs a sidecar on a thread and returns its address.
pub(crate) fn spawn(service: Service) -> SocketAddr {
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// What a pod does after it has read the head of a request.
#[derive(Clone, Debug)]
pub(crate) enum PodAction {
    Respond(&'static str),
    RespondAndClose(&'static str),
    /// Sends nothing until the peer closes the connection.
    StaySilent,
    /// Sends the first part, waits for the test's signal, and sends the second part.
    RespondInTwoParts(&'static str, &'static str),
    /// Sends an endless response.
    SendForever,
    /// Responds with the length of the request body, which may be chunked.
    RespondWithBodyLength,
}

pub(crate) struct Pod {
    pub address: SocketAddr,
    /// The head of each request received, and `gone` for each connection that ended.
    pub received: Receiver<String>,
    pub resume: Sender<()>,
    request_count: Arc<AtomicUsize>,
}

impl Pod {
    /// Starts a pod that performs one action of the script per request, and repeats the last one.
    pub(crate) fn new(script: Vec<PodAction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((received_sender, received), (resume, resume_receiver)) = (channel(), channel());
        let request_count = Arc::new(AtomicUsize::new(0));
        let count = request_count.clone();
        std::thread::spawn(move || {
            let mut script = script.into_iter().peekable();
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                while let Some(head) = read_head(
                    &mut stream,
                    matches!(script.peek(), Some(PodAction::RespondWithBodyLength)),
                ) {
                    let action = if script.len() > 1 {
                        script.next()
                    } else {
                        script.peek().cloned()
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    let _ = received_sender.send(head);
                    if !perform(&mut stream, action.unwrap(), &resume_receiver) {
                        break;
                    }
                }
                let _ = received_sender.send("gone".into());
            }
        });
        Self {
            address,
            received,
            resume,
            request_count,
        }
    }

    pub(crate) fn receive(&self) -> String {
        self.received
            .recv_timeout(Duration::from_secs(10))
            .expect("the pod receives a request or the end of a connection")
    }

    /// Number of requests received since the start.
    pub(crate) fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Relaxed)
    }

    pub(crate) fn received_nothing(&self) -> bool {
        self.received.try_recv().is_err()
    }
}

fn perform(stream: &mut TcpStream, action: PodAction, resume: &Receiver<()>) -> bool {
    match action {
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
            let _ = resume.recv();
            stream.write_all(second.as_bytes()).is_ok()
        }
        PodAction::RespondWithBodyLength => unreachable!("answered by read_head"),
        PodAction::SendForever => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
            while stream.write_all(&[b'x'; 65_536]).is_ok() {}
            false
        }
    }
}

/// Reads a chunked body and returns its length; `None` if the connection ends before.
fn read_chunks(stream: &mut TcpStream) -> Option<usize> {
    let mut total = 0;
    loop {
        let (mut line, mut byte) = (Vec::new(), [0]);
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte).ok()?;
            line.push(byte[0]);
        }
        let size = usize::from_str_radix(String::from_utf8(line).ok()?.trim(), 16).ok()?;
        stream.read_exact(&mut vec![0; size + 2]).ok()?;
        total += size;
        if size == 0 {
            return Some(total);
        }
    }
}

/// Reads a request and returns its head; `None` if the connection ends before. With `responds_with_length`, it responds
/// with the length of the body and reads the next request.
fn read_head(stream: &mut TcpStream, responds_with_length: bool) -> Option<String> {
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
    if responds_with_length {
        let body = length.to_string();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
        return read_head(stream, responds_with_length);
    }
    Some(text)
}

pub(crate) struct Client(pub TcpStream);

impl Client {
    pub(crate) fn new(sidecar: SocketAddr) -> Self {
        let stream = TcpStream::connect(sidecar).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self(stream)
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next response and returns its head and body; the body is empty without a Content-Length.
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

    /// Returns whether the sidecar has closed the connection without sending more.
    pub(crate) fn is_closed_by_sidecar(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// How the rollout service handles a vote.
#[derive(Clone, Debug)]
pub(crate) enum VoteAction {
    Counted,
    Moot,
    Close,
    Respond(&'static str),
    RespondAndClose(&'static str),
    StaySilent,
    /// Replies that the vote is counted, once the test signals it.
    CountOnSignal,
    /// Replies that the vote is counted and that the rollout is in this state, once the test signals it.
    CountWithStateOnSignal(&'static str),
}

pub(crate) struct RolloutService {
    address: SocketAddr,
    votes: Receiver<(Instant, String)>,
    pub resume: Sender<()>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl RolloutService {
    /// Starts a rollout service that sends this state on each stream. It performs one action of the script per vote, and
    /// repeats the last one.
    pub(crate) fn new(state: &'static str, script: Vec<VoteAction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((vote_sender, votes), (resume, resume_receiver)) = (channel(), channel());
        let resume_receiver = Arc::new(Mutex::new(resume_receiver));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let open_streams = streams.clone();
        std::thread::spawn(move || {
            let mut script = script.into_iter().peekable();
            for mut connection in listener.incoming().map_while(Result::ok) {
                let mut request = vec![0; 2000];
                let length = connection.read(&mut request).unwrap_or(0);
                let text = String::from_utf8_lossy(&request[..length]).into_owned();
                if text.starts_with("GET") {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    let _ = write!(connection, "{head}data: {state}\n\n");
                    open_streams.lock().unwrap().push(connection);
                } else if !text.is_empty() {
                    let _ = vote_sender.send((Instant::now(), text));
                    let action = if script.len() > 1 {
                        script.next()
                    } else {
                        script.peek().cloned()
                    };
                    let resume_receiver = resume_receiver.clone();
                    std::thread::spawn(move || {
                        reply_to_vote(connection, action.unwrap(), &resume_receiver)
                    });
                }
            }
        });
        Self {
            address,
            votes,
            resume,
            streams,
        }
    }

    pub(crate) fn settings(&self) -> limewing_settings::RolloutService {
        let silence_timeout = limewing_settings::Seconds::try_from(30.0).unwrap();
        limewing_settings::RolloutService {
            address: self.address,
            silence_timeout,
        }
    }

    /// Waits for the first vote, which shows that the sidecar has read the stage message.
    pub(crate) fn wait_for_first_vote(&self) {
        self.next_vote(Duration::from_secs(10)).expect("a vote");
    }

    /// Sends a stage message on all open streams.
    pub(crate) fn send(&self, state: &str) {
        for connection in self.streams.lock().unwrap().iter_mut() {
            let _ = write!(connection, "data: {state}\n\n");
        }
    }

    /// Waits for the next vote; returns its time of arrival and its text.
    pub(crate) fn next_vote(&self, timeout: Duration) -> Option<(Instant, String)> {
        self.votes.recv_timeout(timeout).ok()
    }
}

fn reply_to_vote(mut connection: TcpStream, action: VoteAction, resume: &Mutex<Receiver<()>>) {
    let send = |connection: &mut TcpStream, answer: &str| {
        let body = format!(r#"{{"answer":"{answer}"}}"#);
        write!(
            connection,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let _ = match action {
        VoteAction::Counted => send(&mut connection, "counted"),
        VoteAction::Moot => send(&mut connection, "moot"),
        VoteAction::Close => return,
        VoteAction::Respond(text) => connection.write_all(text.as_bytes()),
        VoteAction::RespondAndClose(text) => return drop(connection.write_all(text.as_bytes())),
        VoteAction::StaySilent => Ok(()),
        VoteAction::CountOnSignal => {
            let _ = resume.lock().unwrap().recv();
            send(&mut connection, "counted")
        }
        VoteAction::CountWithStateOnSignal(state) => {
            let _ = resume.lock().unwrap().recv();
            let body = format!(r#"{{"answer":"counted","stage":{state}}}"#);
            write!(
                connection,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        }
    };
    let _ = connection.read(&mut [0; 100]);
}
