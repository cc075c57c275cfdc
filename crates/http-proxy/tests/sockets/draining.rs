//! A pod starts draining while an attempt is on its way to it: its connection is being established, or both happen in the same
//! turn of the loop. The loop is held by its decisions, as a process that is stopped.

use crate::support::{
    run, settings, state_file, Client, Pod, PodAction, CHARGE, OK_RESPONSE, QUOTE,
};
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

const TIMEOUT: Duration = Duration::from_secs(10);
/// So many served requests earn the retry budget for one attempt more.
const REQUESTS_FOR_ONE_RETRY: usize = 40;

/// What the event loop under test signals.
#[derive(Debug, PartialEq)]
enum LoopSignal {
    AttemptStarted,
    LoopHeld,
}

/// The decision engine. Signals when an attempt is started; on request it holds the loop before the actions of a call are
/// carried out.
struct HoldableDecisions {
    real: DecisionEngine,
    tell: Sender<LoopSignal>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    forbids: Arc<AtomicBool>,
    resume: Receiver<()>,
}

impl HoldableDecisions {
    fn passes(&self, actions: Vec<Action>) -> Vec<Action> {
        // Read first: a test that asks for a hold when it is signalled an attempt means the next call.
        let holds = self.hold.swap(false, Ordering::SeqCst);
        let attempts = actions
            .iter()
            .any(|action| matches!(action, Action::StartAttempt { .. }));
        if attempts {
            let _ = self.tell.send(LoopSignal::AttemptStarted);
        }
        if holds || attempts && self.hold_at_attempt.swap(false, Ordering::SeqCst) {
            let _ = self.tell.send(LoopSignal::LoopHeld);
            let _ = self.resume.recv();
        }
        actions
    }
}

impl SendAuthority for HoldableDecisions {
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        !self.forbids.load(Ordering::SeqCst) && self.real.may_begin(now, hit, no)
    }
}

impl Decisions for HoldableDecisions {
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
struct HoldableSidecar {
    at: SocketAddr,
    told: Receiver<LoopSignal>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    forbids: Arc<AtomicBool>,
    resume: Sender<()>,
}

impl HoldableSidecar {
    fn start(settings: &SidecarSettings) -> Self {
        let ((tell, told), (resume, word)) = (channel(), channel());
        let hold = Arc::new(AtomicBool::new(false));
        let hold_at_attempt = Arc::new(AtomicBool::new(false));
        let forbids = Arc::new(AtomicBool::new(false));
        let (held, at_attempt, forbidden) =
            (hold.clone(), hold_at_attempt.clone(), forbids.clone());
        let service = Service::start_with(settings, move |now, terms| {
            let real = DecisionEngine::new(now, terms);
            Box::new(HoldableDecisions {
                real,
                tell,
                hold: held,
                hold_at_attempt: at_attempt,
                forbids: forbidden,
                resume: word,
            })
        });
        Self {
            at: run(service.unwrap()),
            told,
            hold,
            hold_at_attempt,
            forbids,
            resume,
        }
    }

    fn wait_for(&self, what: &LoopSignal) {
        while self.told.recv_timeout(TIMEOUT).expect("a word of the loop") != *what {}
    }
}

/// The list service: each response is sent when the test says so.
struct EndpointListService {
    listener: TcpListener,
    link: Option<TcpStream>,
}

impl EndpointListService {
    fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            link: None,
        }
    }

    /// Waits until it is asked. What it told before is known to the sidecar then.
    fn wait_for_query(&mut self) {
        loop {
            if self.link.is_none() {
                self.link = Some(accept_within_timeout(&self.listener));
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
    fn send(&mut self, index: u64, pods: &[(SocketAddr, bool)]) {
        let entry = |(at, drain): &(SocketAddr, bool)| {
            let status = if *drain { "critical" } else { "passing" };
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

/// A pod to which no connection is established, as its backlog is full, until it accepts one.
struct UnacceptingPod {
    listener: TcpListener,
    at: SocketAddr,
}

impl UnacceptingPod {
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
    fn accept_sidecar(&self) -> TcpStream {
        drop(accept_within_timeout(&self.listener));
        accept_within_timeout(&self.listener)
    }
}

/// The next connection; none for long is a failure, not a wait without end.
fn accept_within_timeout(listener: &TcpListener) -> TcpStream {
    let end = Instant::now() + 2 * TIMEOUT;
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((link, _)) => {
                link.set_nonblocking(false).unwrap();
                link.set_read_timeout(Some(TIMEOUT)).unwrap();
                return link;
            }
            Err(_) => assert!(Instant::now() < end, "no connection came"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// All that arrives on a connection until the sidecar closes it.
fn read_to_end_of(link: &mut TcpStream) -> String {
    let mut text = String::new();
    link.read_to_string(&mut text).unwrap();
    text
}

fn settings_with_long_connect_timeout(list: &EndpointListService, grace: f64) -> SidecarSettings {
    let seconds = |s| Seconds::try_from(s).unwrap();
    let mut settings = settings();
    settings.endpoint_list.address = list.listener.local_addr().unwrap();
    settings.limits.connect_timeout = seconds(30.0);
    // A connection that carries nothing is closed: that nothing was written is known then.
    settings.limits.idle_timeout = seconds(0.2);
    settings.safety.drain_grace = seconds(grace);
    settings
}

/// A sidecar that knows one pod, to which an attempt is connecting in vain, and whose retry budget allows another attempt.
struct ConnectingAttempt {
    leaving: UnacceptingPod,
    other: Pod,
    list: EndpointListService,
    sidecar: HoldableSidecar,
    client: Client,
}

impl ConnectingAttempt {
    fn start(grace: f64) -> Self {
        let (earlier, other) = (
            Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
            Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        );
        let (leaving, mut list) = (UnacceptingPod::new(), EndpointListService::new());
        let sidecar = HoldableSidecar::start(&settings_with_long_connect_timeout(&list, grace));
        list.wait_for_query();
        list.send(1, &[(earlier.at, false)]);
        list.wait_for_query();
        let mut client = Client::new(sidecar.at);
        // Fills the retry budget.
        for _ in 0..REQUESTS_FOR_ONE_RETRY {
            client.send(QUOTE);
            assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
        }
        list.send(2, &[(leaving.at, false)]);
        list.wait_for_query();
        sidecar.told.try_iter().for_each(drop);
        client.send(QUOTE);
        sidecar.wait_for(&LoopSignal::AttemptStarted);
        Self {
            leaving,
            other,
            list,
            sidecar,
            client,
        }
    }

    /// The pod on which it dials drains, and there is another.
    fn drain(&mut self) {
        self.list
            .send(3, &[(self.leaving.at, true), (self.other.at, false)]);
    }

    fn expect_response_of_other_pod(&mut self) {
        let (head, _) = self.client.read_response();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(self.other.count(), 1);
    }
}

/// An attempt that is not written when the list says that its pod drains goes to another pod: no byte of it goes to the
/// draining one when its connection is established, neither after the grace period nor within it.
#[rstest]
#[case::after_the_grace(0.1)]
#[case::within_the_grace(60.0)]
fn an_attempt_that_is_connecting_is_not_sent_to_a_draining_pod(#[case] grace: f64) {
    let mut run = ConnectingAttempt::start(grace);
    run.drain();
    run.list.wait_for_query();
    if grace < 1.0 {
        // The sidecar knows of the draining from here on; the sleep is the grace period itself.
        std::thread::sleep(Duration::from_secs_f64(grace));
    }
    // It does not wait for the connection.
    let answered = run
        .client
        .0
        .set_read_timeout(Some(Duration::from_secs(3)))
        .is_ok()
        && matches!(run.client.0.peek(&mut [0]), Ok(1));
    let came = read_to_end_of(&mut run.leaving.accept_sidecar());
    assert_eq!((answered, came.as_str()), (true, ""));
    run.expect_response_of_other_pod();
}

/// After a standstill the list and the established connection are found in one turn of the loop.
#[test]
fn a_connection_established_in_the_turn_of_the_drain_carries_nothing() {
    let mut run = ConnectingAttempt::start(60.0);
    run.sidecar.hold.store(true, Ordering::SeqCst);
    run.sidecar.wait_for(&LoopSignal::LoopHeld);
    run.drain();
    let mut link = run.leaving.accept_sidecar();
    run.sidecar.resume.send(()).unwrap();
    assert_eq!(read_to_end_of(&mut link), "");
    run.expect_response_of_other_pod();
}

/// A permit is requested when the connection is established, too. An attempt without it never runs, and the connection stays
/// open for the next request.
#[test]
fn nothing_is_written_without_a_permit() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    // It gets a query and does not respond: no list has the attempts checked.
    let mut list = EndpointListService::new();
    let mut settings = settings_with_long_connect_timeout(&list, 60.0);
    settings.limits.idle_timeout = Seconds::try_from(30.0).unwrap();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = HoldableSidecar::start(&settings);
    list.wait_for_query();
    sidecar.forbids.store(true, Ordering::SeqCst);
    let mut client = Client::new(sidecar.at);
    client.send(CHARGE);
    let mut link = accept_within_timeout(&pod);
    let (head, _) = client.read_response();
    assert!(
        head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
        "{head}"
    );
    sidecar.forbids.store(false, Ordering::SeqCst);
    client.send(CHARGE);
    serve(&mut link);
    assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
}

/// A pod closes an idle connection after the sidecar has polled its sockets and before it writes to it: the request goes on a
/// new connection. On the old one it may have run for all that would be known.
#[test]
fn an_idle_connection_that_closes_in_the_same_turn_is_not_used() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = HoldableSidecar::start(&settings);
    let mut client = Client::new(sidecar.at);
    client.send(CHARGE);
    let first = accept_and_serve(&pod);
    assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
    sidecar.told.try_iter().for_each(drop);
    // Held at the call that starts the second request's attempt.
    sidecar.hold_at_attempt.store(true, Ordering::SeqCst);
    client.send(CHARGE);
    sidecar.wait_for(&LoopSignal::LoopHeld);
    drop(first);
    sidecar.resume.send(()).unwrap();
    let _second = accept_and_serve(&pod);
    let (head, _) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}

/// Accepts a connection, answers the request on it, and hands it on.
fn accept_and_serve(pod: &TcpListener) -> TcpStream {
    let mut link = accept_within_timeout(pod);
    serve(&mut link);
    link
}

/// Reads one request, and answers it.
fn serve(link: &mut TcpStream) {
    let mut asked = Vec::new();
    while !asked.ends_with(b"\r\n\r\nhi") {
        let mut bytes = [0; 1000];
        let length = link.read(&mut bytes).unwrap();
        assert!(length > 0, "the connection ended within a request");
        asked.extend_from_slice(&bytes[..length]);
    }
    link.write_all(OK_RESPONSE.as_bytes()).unwrap();
}
