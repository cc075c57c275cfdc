//! A pod is told to drain while an attempt is on its way to it: over its connection's coming up, or in the same round of
//! the loop. The loop is held by its decisions, as a process that is stopped.

use crate::help::{run, settings, state_file, Client, Does, Pod, CHARGE, DONE, QUOTE};
use limewing_decision::interface::{Action, AttemptIndex, Event, RequestId};
use limewing_decision::DecisionEngine;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use limewing_settings::{Seconds, SidecarSettings};
use rstest::rstest;
use rustix::net::listen;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(10);
/// So many requests that are served earn a second attempt.
const EARNS: usize = 40;

/// What a loop under test tells, and waits for.
#[derive(Debug, PartialEq)]
enum Told {
    Forwards,
    Held,
}

/// The real decisions. They say when an attempt is decided on; and hold the loop, once it is asked for, before the actions
/// of a call are carried out.
struct Holding {
    real: DecisionEngine,
    tell: Sender<Told>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    forbids: Arc<AtomicBool>,
    go_on: Receiver<()>,
}

impl Holding {
    fn passes(&self, actions: Vec<Action>) -> Vec<Action> {
        // Looked at first: whoever asks for a hold when it hears of an attempt means the next call.
        let holds = self.hold.swap(false, Ordering::SeqCst);
        let attempts = actions
            .iter()
            .any(|action| matches!(action, Action::StartAttempt { .. }));
        if attempts {
            let _ = self.tell.send(Told::Forwards);
        }
        if holds || attempts && self.hold_at_attempt.swap(false, Ordering::SeqCst) {
            let _ = self.tell.send(Told::Held);
            let _ = self.go_on.recv();
        }
        actions
    }
}

impl SendAuthority for Holding {
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        !self.forbids.load(Ordering::SeqCst) && self.real.may_begin(now, hit, no)
    }
}

impl Decisions for Holding {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let actions = self.real.apply_events(now, events);
        self.passes(actions)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let actions = self.real.handle(now, events);
        self.passes(actions)
    }
}

/// A sidecar with such decisions.
struct Watched {
    at: SocketAddr,
    told: Receiver<Told>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    forbids: Arc<AtomicBool>,
    go_on: Sender<()>,
}

impl Watched {
    fn start(settings: &SidecarSettings) -> Self {
        let ((tell, told), (go_on, word)) = (channel(), channel());
        let hold = Arc::new(AtomicBool::new(false));
        let hold_at_attempt = Arc::new(AtomicBool::new(false));
        let forbids = Arc::new(AtomicBool::new(false));
        let (held, at_attempt, forbidden) =
            (hold.clone(), hold_at_attempt.clone(), forbids.clone());
        let service = Service::start_with(settings, move |now, terms| {
            let real = DecisionEngine::new(now, terms);
            Box::new(Holding {
                real,
                tell,
                hold: held,
                hold_at_attempt: at_attempt,
                forbids: forbidden,
                go_on: word,
            })
        });
        Self {
            at: run(service.unwrap()),
            told,
            hold,
            hold_at_attempt,
            forbids,
            go_on,
        }
    }

    fn tells(&self, what: &Told) {
        while self.told.recv_timeout(SOON).expect("a word of the loop") != *what {}
    }
}

/// The list service: each answer goes out at the test's word.
struct List {
    listener: TcpListener,
    link: Option<TcpStream>,
}

impl List {
    fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            link: None,
        }
    }

    /// Waits until it is asked. What it told before is known to the sidecar then.
    fn is_asked(&mut self) {
        loop {
            if self.link.is_none() {
                self.link = Some(accepts(&self.listener));
            }
            let mut asked = [0; 1000];
            let length = self
                .link
                .as_mut()
                .map_or(0, |link| link.read(&mut asked).unwrap_or(0));
            if length > 0 && asked[..length].ends_with(b"\r\n\r\n") {
                return;
            }
            self.link = None;
        }
    }

    /// Tells these pods, each whether it drains.
    fn says(&mut self, index: u64, pods: &[(SocketAddr, bool)]) {
        let entry = |(at, drains): &(SocketAddr, bool)| {
            let status = if *drains { "critical" } else { "passing" };
            format!(
                r#"{{"Service":{{"ID":"{at}","Address":"{}","Port":{},"Meta":{{"build":"1"}}}},"Checks":[{{"Status":"{status}"}}]}}"#,
                at.ip(),
                at.port()
            )
        };
        let body = format!("[{}]", pods.iter().map(entry).collect::<Vec<_>>().join(","));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.link
            .as_mut()
            .unwrap()
            .write_all((head + &body).as_bytes())
            .unwrap();
    }
}

/// A pod to which no connection comes up, as its backlog is full: until it lets one in.
struct Full {
    listener: TcpListener,
    at: SocketAddr,
}

impl Full {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        // Room for one connection that is not accepted.
        listen(&listener, 0).unwrap();
        TcpStream::connect(at).unwrap();
        let full = TcpStream::connect_timeout(&at, Duration::from_millis(300));
        assert!(full.is_err(), "the backlog is not full");
        Self { listener, at }
    }

    /// Lets the connection of a sidecar come up: the system dials again, a second or some after the first time.
    fn lets_in(&self) -> TcpStream {
        drop(accepts(&self.listener));
        accepts(&self.listener)
    }
}

/// The next connection; none for long is a failure, not a wait without end.
fn accepts(listener: &TcpListener) -> TcpStream {
    let end = Instant::now() + 2 * SOON;
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((link, _)) => {
                link.set_nonblocking(false).unwrap();
                link.set_read_timeout(Some(SOON)).unwrap();
                return link;
            }
            Err(_) => assert!(Instant::now() < end, "no connection came"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// All that comes on a connection until the sidecar closes it.
fn all_of(link: &mut TcpStream) -> String {
    let mut text = String::new();
    link.read_to_string(&mut text).unwrap();
    text
}

fn patient(list: &List, grace: f64) -> SidecarSettings {
    let seconds = |s| Seconds::try_from(s).unwrap();
    let mut settings = settings();
    settings.list.address = list.listener.local_addr().unwrap();
    settings.limits.connect_timeout = seconds(30.0);
    // A connection that carries nothing is closed: that nothing was written is known then.
    settings.limits.idle_close = seconds(0.2);
    settings.rules.drain_grace = seconds(grace);
    settings
}

/// A sidecar that knows one pod, to which an attempt dials in vain, and that may afford a second attempt.
struct Dialling {
    leaving: Full,
    other: Pod,
    list: List,
    sidecar: Watched,
    client: Client,
}

impl Dialling {
    fn start(grace: f64) -> Self {
        let (earlier, other) = (
            Pod::new(vec![Does::Says(DONE)]),
            Pod::new(vec![Does::Says(DONE)]),
        );
        let (leaving, mut list) = (Full::new(), List::new());
        let sidecar = Watched::start(&patient(&list, grace));
        list.is_asked();
        list.says(1, &[(earlier.at, false)]);
        list.is_asked();
        let mut client = Client::new(sidecar.at);
        // Attempts after the first are earned.
        for _ in 0..EARNS {
            client.says(QUOTE);
            assert!(client.hears().0.starts_with("HTTP/1.1 200"));
        }
        list.says(2, &[(leaving.at, false)]);
        list.is_asked();
        sidecar.told.try_iter().for_each(drop);
        client.says(QUOTE);
        sidecar.tells(&Told::Forwards);
        Self {
            leaving,
            other,
            list,
            sidecar,
            client,
        }
    }

    /// The pod on which it dials drains, and there is another.
    fn drains(&mut self) {
        self.list
            .says(3, &[(self.leaving.at, true), (self.other.at, false)]);
    }

    fn is_served_by_the_other(&mut self) {
        let (head, _) = self.client.hears();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(self.other.count(), 1);
    }
}

/// What has not gone out to a pod when the list tells that it drains goes out to another: no byte of it goes to the
/// draining one when its connection comes up, neither after the grace nor within it.
#[rstest]
#[case::after_the_grace(0.1)]
#[case::within_the_grace(60.0)]
fn an_attempt_that_still_dials_does_not_go_to_a_pod_that_drains(#[case] grace: f64) {
    let mut run = Dialling::start(grace);
    run.drains();
    run.list.is_asked();
    if grace < 1.0 {
        // From here on the sidecar has been told; what is waited for is the grace itself.
        std::thread::sleep(Duration::from_secs_f64(grace));
    }
    // It does not wait for the connection.
    let answered = run
        .client
        .0
        .set_read_timeout(Some(Duration::from_secs(3)))
        .is_ok()
        && matches!(run.client.0.peek(&mut [0]), Ok(1));
    let came = all_of(&mut run.leaving.lets_in());
    assert_eq!((answered, came.as_str()), (true, ""));
    run.is_served_by_the_other();
}

/// After a standstill the list's word and the connection's coming up are found in one round of the loop.
#[test]
fn a_connection_that_comes_up_with_the_word_to_drain_carries_nothing() {
    let mut run = Dialling::start(60.0);
    run.sidecar.hold.store(true, Ordering::SeqCst);
    run.sidecar.tells(&Told::Held);
    run.drains();
    let mut link = run.leaving.lets_in();
    run.sidecar.go_on.send(()).unwrap();
    assert_eq!(all_of(&mut link), "");
    run.is_served_by_the_other();
}

/// Permission is asked when the connection has come up, too. An attempt without it never runs, and its connection is kept:
/// the next request goes on it.
#[test]
fn nothing_is_written_without_permission() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    // It is asked and does not answer: no word of a list has attempts looked at.
    let mut list = List::new();
    let mut settings = patient(&list, 60.0);
    settings.limits.idle_close = Seconds::try_from(30.0).unwrap();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = Watched::start(&settings);
    list.is_asked();
    sidecar.forbids.store(true, Ordering::SeqCst);
    let mut client = Client::new(sidecar.at);
    client.says(CHARGE);
    let mut link = accepts(&pod);
    let (head, _) = client.hears();
    assert!(
        head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
        "{head}"
    );
    sidecar.forbids.store(false, Ordering::SeqCst);
    client.says(CHARGE);
    serves(&mut link);
    assert!(client.hears().0.starts_with("HTTP/1.1 200"));
}

/// A pod closes a kept connection after the sidecar has looked at its sockets and before it writes to it: the request goes
/// on a new connection. On the old one it may have run for all that would be known.
#[test]
fn a_kept_connection_that_closes_in_the_same_round_is_not_used() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = Watched::start(&settings);
    let mut client = Client::new(sidecar.at);
    client.says(CHARGE);
    let first = serves_one(&pod);
    assert!(client.hears().0.starts_with("HTTP/1.1 200"));
    sidecar.told.try_iter().for_each(drop);
    // Held at the call that decides on the second request.
    sidecar.hold_at_attempt.store(true, Ordering::SeqCst);
    client.says(CHARGE);
    sidecar.tells(&Told::Held);
    drop(first);
    sidecar.go_on.send(()).unwrap();
    let _second = serves_one(&pod);
    let (head, _) = client.hears();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}

/// Accepts a connection, answers the request on it, and hands it on.
fn serves_one(pod: &TcpListener) -> TcpStream {
    let mut link = accepts(pod);
    serves(&mut link);
    link
}

/// Reads one request, and answers it.
fn serves(link: &mut TcpStream) {
    let mut asked = Vec::new();
    while !asked.ends_with(b"\r\n\r\nhi") {
        let mut bytes = [0; 1000];
        let length = link.read(&mut bytes).unwrap();
        assert!(length > 0, "the connection ended within a request");
        asked.extend_from_slice(&bytes[..length]);
    }
    link.write_all(DONE.as_bytes()).unwrap();
}
