//! A pod starts draining while an attempt is being sent to it: its connection is being established, or both events arrive in
//! the same turn of the event loop. The tests pause the loop inside a decision, as if the process were stopped.

use crate::support::{
    settings, spawn, state_file, Client, Pod, PodAction, GET_QUOTE, OK_RESPONSE, POST_CHARGE,
};
use crate::unaccepting_pod::{accept_within_timeout, UnacceptingPod, TIMEOUT};
use limewing_decision::interface::{Action, AttemptIndex, Event, RequestId};
use limewing_decision::DecisionEngine;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use limewing_settings::{Seconds, SidecarSettings};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Number of served requests that add one attempt to the retry budget.
const REQUESTS_FOR_ONE_RETRY: usize = 40;

/// Signals of the event loop under test.
#[derive(Debug, PartialEq)]
enum LoopSignal {
    AttemptStarted,
    LoopHeld,
}

/// A decision engine that signals the start of attempts. On request it pauses the event loop before the loop executes the
/// actions of a call.
struct HoldableDecisions {
    engine: DecisionEngine,
    signal_sender: Sender<LoopSignal>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    deny_permits: Arc<AtomicBool>,
    resume: Receiver<()>,
}

impl HoldableDecisions {
    fn pause_if_requested(&self, actions: Vec<Action>) -> Vec<Action> {
        // Read before signalling: a hold that the test requests in response to the signal applies to the next call.
        let hold_requested = self.hold.swap(false, Ordering::SeqCst);
        let starts_attempt = actions
            .iter()
            .any(|action| matches!(action, Action::StartAttempt { .. }));
        if starts_attempt {
            let _ = self.signal_sender.send(LoopSignal::AttemptStarted);
        }
        if hold_requested || starts_attempt && self.hold_at_attempt.swap(false, Ordering::SeqCst) {
            let _ = self.signal_sender.send(LoopSignal::LoopHeld);
            let _ = self.resume.recv();
        }
        actions
    }
}

impl SendAuthority for HoldableDecisions {
    fn may_send_first_byte(
        &self,
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        !self.deny_permits.load(Ordering::SeqCst)
            && self.engine.may_send_first_byte(now, request, attempt)
    }
}

impl Decisions for HoldableDecisions {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let actions = self.engine.apply_events(now, events);
        self.pause_if_requested(actions)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let actions = self.engine.handle(now, events);
        self.pause_if_requested(actions)
    }
}

/// A sidecar with a [`HoldableDecisions`].
struct HoldableSidecar {
    address: SocketAddr,
    signals: Receiver<LoopSignal>,
    hold: Arc<AtomicBool>,
    hold_at_attempt: Arc<AtomicBool>,
    deny_permits: Arc<AtomicBool>,
    resume: Sender<()>,
}

impl HoldableSidecar {
    fn start(settings: &SidecarSettings) -> Self {
        let ((signal_sender, signals), (resume, resume_receiver)) = (channel(), channel());
        let hold = Arc::new(AtomicBool::new(false));
        let hold_at_attempt = Arc::new(AtomicBool::new(false));
        let deny_permits = Arc::new(AtomicBool::new(false));
        let (engine_hold, engine_hold_at_attempt, engine_deny_permits) =
            (hold.clone(), hold_at_attempt.clone(), deny_permits.clone());
        let service = Service::start_with(settings, move |now, config| {
            let engine = DecisionEngine::new(now, config);
            Box::new(HoldableDecisions {
                engine,
                signal_sender,
                hold: engine_hold,
                hold_at_attempt: engine_hold_at_attempt,
                deny_permits: engine_deny_permits,
                resume: resume_receiver,
            })
        });
        Self {
            address: spawn(service.unwrap()),
            signals,
            hold,
            hold_at_attempt,
            deny_permits,
            resume,
        }
    }

    fn wait_for(&self, expected: &LoopSignal) {
        while self
            .signals
            .recv_timeout(TIMEOUT)
            .expect("a signal of the event loop")
            != *expected
        {}
    }
}

/// A list service that responds when the test calls `send`.
struct EndpointListService {
    listener: TcpListener,
    connection: Option<TcpStream>,
}

impl EndpointListService {
    fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            connection: None,
        }
    }

    /// Waits for a query. The sidecar has then applied the previous response.
    fn wait_for_query(&mut self) {
        loop {
            if self.connection.is_none() {
                self.connection = Some(accept_within_timeout(&self.listener));
            }
            let mut query = [0; 1000];
            let length = self
                .connection
                .as_mut()
                .map_or(0, |connection| connection.read(&mut query).unwrap_or(0));
            if length > 0 && query[..length].ends_with(b"\r\n\r\n") {
                return;
            }
            self.connection = None;
        }
    }

    /// Responds with these pods, each with whether it is draining.
    fn send(&mut self, index: u64, pods: &[(SocketAddr, bool)]) {
        let entry = |(address, draining): &(SocketAddr, bool)| {
            let status = if *draining { "critical" } else { "passing" };
            format!(
                r#"{{"Service":{{"ID":"{address}","Address":"{}","Port":{},"Meta":{{"build":"1"}}}},"Checks":[{{"Status":"{status}"}}]}}"#,
                address.ip(),
                address.port()
            )
        };
        let body = format!("[{}]", pods.iter().map(entry).collect::<Vec<_>>().join(","));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.connection
            .as_mut()
            .unwrap()
            .write_all((head + &body).as_bytes())
            .unwrap();
    }
}

/// Reads until the sidecar closes the connection.
fn read_until_closed(connection: &mut TcpStream) -> String {
    let mut text = String::new();
    connection.read_to_string(&mut text).unwrap();
    text
}

fn settings_with_long_connect_timeout(
    list: &EndpointListService,
    grace_period: f64,
) -> SidecarSettings {
    let seconds = |value| Seconds::try_from(value).unwrap();
    let mut settings = settings();
    settings.endpoint_list.address = list.listener.local_addr().unwrap();
    settings.limits.connect_timeout = seconds(30.0);
    // An unused connection is closed after this timeout, which shows the test that nothing was written to it.
    settings.limits.idle_timeout = seconds(0.2);
    settings.safety.drain_grace = seconds(grace_period);
    settings
}

/// A sidecar with one pod, to which an attempt cannot connect, and with a retry budget that allows another attempt.
struct ConnectingAttempt {
    draining_pod: UnacceptingPod,
    other_pod: Pod,
    list: EndpointListService,
    sidecar: HoldableSidecar,
    client: Client,
}

impl ConnectingAttempt {
    fn start(grace_period: f64) -> Self {
        let (first_pod, other_pod) = (
            Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
            Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
        );
        let (draining_pod, mut list) = (UnacceptingPod::new(), EndpointListService::new());
        let sidecar =
            HoldableSidecar::start(&settings_with_long_connect_timeout(&list, grace_period));
        list.wait_for_query();
        list.send(1, &[(first_pod.address, false)]);
        list.wait_for_query();
        let mut client = Client::new(sidecar.address);
        // Fills the retry budget.
        for _ in 0..REQUESTS_FOR_ONE_RETRY {
            client.send(GET_QUOTE);
            assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
        }
        list.send(2, &[(draining_pod.address, false)]);
        list.wait_for_query();
        sidecar.signals.try_iter().for_each(drop);
        client.send(GET_QUOTE);
        sidecar.wait_for(&LoopSignal::AttemptStarted);
        Self {
            draining_pod,
            other_pod,
            list,
            sidecar,
            client,
        }
    }

    /// Lists the pod of the connecting attempt as draining, and adds another pod.
    fn drain(&mut self) {
        self.list.send(
            3,
            &[
                (self.draining_pod.address, true),
                (self.other_pod.address, false),
            ],
        );
    }

    fn expect_response_of_other_pod(&mut self) {
        let (head, _) = self.client.read_response();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(self.other_pod.request_count(), 1);
    }
}

/// If a pod starts draining before an attempt is written to it, the request goes to another pod. No byte is sent to the
/// draining pod once its connection is established, neither after nor within the grace period.
#[rstest]
#[case::after_the_grace_period(0.1)]
#[case::within_the_grace_period(60.0)]
fn an_attempt_that_is_connecting_is_not_sent_to_a_draining_pod(#[case] grace_period: f64) {
    let mut test = ConnectingAttempt::start(grace_period);
    test.drain();
    test.list.wait_for_query();
    if grace_period < 1.0 {
        // The sidecar knows that the pod is draining; the sleep is the grace period.
        std::thread::sleep(Duration::from_secs_f64(grace_period));
    }
    // The response does not wait for the connection.
    let responded = test
        .client
        .0
        .set_read_timeout(Some(Duration::from_secs(3)))
        .is_ok()
        && matches!(test.client.0.peek(&mut [0]), Ok(1));
    let received = read_until_closed(&mut test.draining_pod.accept_sidecar());
    assert_eq!((responded, received.as_str()), (true, ""));
    test.expect_response_of_other_pod();
}

/// After a pause, the event loop processes the list and the established connection in the same turn.
#[test]
fn nothing_is_sent_on_a_connection_established_in_the_same_turn_as_the_drain() {
    let mut test = ConnectingAttempt::start(60.0);
    test.sidecar.hold.store(true, Ordering::SeqCst);
    test.sidecar.wait_for(&LoopSignal::LoopHeld);
    test.drain();
    let mut connection = test.draining_pod.accept_sidecar();
    test.sidecar.resume.send(()).unwrap();
    assert_eq!(read_until_closed(&mut connection), "");
    test.expect_response_of_other_pod();
}

/// A send permit is also requested when the connection is established. An attempt without a permit never runs, and the
/// connection stays open for the next request.
#[test]
fn nothing_is_written_without_a_permit() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    // The list service gets a query and does not respond, so that no endpoint list triggers a check of the attempts.
    let mut list = EndpointListService::new();
    let mut settings = settings_with_long_connect_timeout(&list, 60.0);
    settings.limits.idle_timeout = Seconds::try_from(30.0).unwrap();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = HoldableSidecar::start(&settings);
    list.wait_for_query();
    sidecar.deny_permits.store(true, Ordering::SeqCst);
    let mut client = Client::new(sidecar.address);
    client.send(POST_CHARGE);
    let mut connection = accept_within_timeout(&pod);
    let (head, _) = client.read_response();
    assert!(
        head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
        "{head}"
    );
    sidecar.deny_permits.store(false, Ordering::SeqCst);
    client.send(POST_CHARGE);
    serve(&mut connection);
    assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
}

/// A pod closes an idle connection after the sidecar has polled its sockets and before it writes a request. The request has
/// to use a new connection, because on the old one it would be unknown whether the request ran.
#[test]
fn an_idle_connection_that_closes_in_the_same_turn_is_not_used() {
    let pod = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.state_file = Some(state_file(&[pod.local_addr().unwrap()]));
    let sidecar = HoldableSidecar::start(&settings);
    let mut client = Client::new(sidecar.address);
    client.send(POST_CHARGE);
    let first = accept_and_serve(&pod);
    assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
    sidecar.signals.try_iter().for_each(drop);
    // Pauses the loop at the call that starts the attempt of the second request.
    sidecar.hold_at_attempt.store(true, Ordering::SeqCst);
    client.send(POST_CHARGE);
    sidecar.wait_for(&LoopSignal::LoopHeld);
    drop(first);
    sidecar.resume.send(()).unwrap();
    let _second = accept_and_serve(&pod);
    let (head, _) = client.read_response();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}

/// Accepts a connection, responds to the request on it, and returns it.
fn accept_and_serve(pod: &TcpListener) -> TcpStream {
    let mut connection = accept_within_timeout(pod);
    serve(&mut connection);
    connection
}

/// Reads one request and responds to it.
fn serve(connection: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\nhi") {
        let mut bytes = [0; 1000];
        let length = connection.read(&mut bytes).unwrap();
        assert!(length > 0, "the connection ended within a request");
        request.extend_from_slice(&bytes[..length]);
    }
    connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
}
