//! Shortages of file descriptors, disk or memory in the sidecar: they must not count as pod failures, and the sidecar
//! recovers from them.

use crate::support::{
    endpoint_list_response, settings, spawn, state_file, Client, Pod, PodAction, GET_QUOTE,
    OK_RESPONSE,
};
use limewing_decision::interface::{Action, AttemptIndex, AttemptOutcome, Event, RequestId};
use limewing_decision::DecisionEngine;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use rstest::rstest;
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// A decision engine that reports the outcome of each attempt to the test.
struct ObservedDecisions(DecisionEngine, Sender<AttemptOutcome>);

impl ObservedDecisions {
    fn report(&self, events: &[Event]) {
        for event in events {
            if let Event::AttemptFinished(outcome) = event {
                let _ = self.1.send(outcome.outcome);
            }
        }
    }
}

impl SendAuthority for ObservedDecisions {
    fn may_send_first_byte(
        &self,
        now: Duration,
        request: RequestId,
        attempt: AttemptIndex,
    ) -> bool {
        self.0.may_send_first_byte(now, request, attempt)
    }
}

impl Decisions for ObservedDecisions {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.report(&events);
        self.0.apply_events(now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.report(&events);
        self.0.handle(now, events)
    }
}

/// Runs a test of this binary in a separate process, with resource limits set by a shell.
fn run_in_limited_process(limits: &str, name: &str, body: impl FnOnce()) {
    if std::env::var_os("LIMEWING_WITHIN").is_some() {
        return body();
    }
    let binary = std::env::current_exe().unwrap();
    let command = format!(
        "{limits} exec {} resource_limits::{name} --exact --nocapture",
        binary.display()
    );
    let output = Command::new("sh")
        .args(["-c", &command])
        .env("LIMEWING_WITHIN", "1")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success() && text.contains("1 passed"),
        "{text}"
    );
}

#[test]
fn a_shortage_of_descriptors_is_not_a_pod_failure() {
    run_in_limited_process(
        "ulimit -n 60;",
        "a_shortage_of_descriptors_is_not_a_pod_failure",
        || {
            let pods = [
                Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
                Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
            ];
            // The list service accepts and does not respond. If it refused the query, the sidecar would get a descriptor
            // back while the test holds all others.
            let list = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut settings = settings();
            settings.endpoint_list.address = list.local_addr().unwrap();
            settings.state_file = Some(state_file(&[pods[0].address, pods[1].address]));
            let (outcome_sender, outcome_receiver) = channel();
            let service = Service::start_with(&settings, |now, config| {
                Box::new(ObservedDecisions(
                    DecisionEngine::new(now, config),
                    outcome_sender,
                )) as Box<dyn Decisions + Send>
            });
            let sidecar_address = spawn(service.unwrap());
            let (_query, _) = list.accept().unwrap();
            let mut client = Client::new(sidecar_address);
            // The first response shows that the sidecar has accepted the connection.
            client.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
            assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
            let held_files: Vec<File> =
                std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
            client.send(GET_QUOTE);
            let (head, _) = client.read_response();
            assert!(
                head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
                "{head}"
            );
            let outcomes: Vec<AttemptOutcome> = outcome_receiver.try_iter().collect();
            assert!(
                !outcomes.is_empty()
                    && outcomes
                        .iter()
                        .all(|outcome| *outcome == AttemptOutcome::NeverSent),
                "{outcomes:?}"
            );
            drop(held_files);
            client.send(GET_QUOTE);
            assert_eq!(client.read_response().1, "done");
        },
    );
}

#[test]
fn a_list_is_saved_as_soon_as_its_folder_exists() {
    let folder = tempfile::tempdir().unwrap();
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.endpoint_list.address = list.local_addr().unwrap();
    let file = folder.path().join("not/yet/state.json");
    settings.state_file = Some(file.clone());
    let mut client = Client::new(spawn(Service::start(&settings).unwrap()));
    let (mut connection, _) = list.accept().unwrap();
    let _ = connection.read(&mut [0; 500]).unwrap();
    connection
        .write_all(endpoint_list_response(7, &[pod.address]).as_bytes())
        .unwrap();
    client.send(GET_QUOTE);
    assert_eq!(client.read_response().1, "done");
    std::fs::create_dir_all(file.parent().unwrap()).unwrap();
    // The list does not change again, so that only the retry can save it.
    let saved = (0..500).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        limewing_http_proxy::endpoint_list_file::load(&file)
            .is_ok_and(|saved| saved.is_some_and(|endpoints| endpoints.len() == 1))
    });
    assert!(saved);
}

/// The sidecar must not buffer an unbounded number of responses for a client that does not read them.
#[rstest]
#[case::unknown_class("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::status("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::sent_to_a_pod(GET_QUOTE)]
fn output_to_a_client_that_never_reads_is_bounded(#[case] request: &str) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let sidecar_address = spawn(
        Service::start(&{
            let mut settings = settings();
            settings.state_file = Some(state_file(&[pod.address]));
            settings
        })
        .unwrap(),
    );
    let client = Client::new(sidecar_address);
    client
        .0
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let text = request.repeat(1000);
    // Writes until the sidecar reads no more, or until far more than the buffers hold is sent.
    let written = (0..400)
        .take_while(|_| (&client.0).write_all(text.as_bytes()).is_ok())
        .count();
    let mut other = Client::new(sidecar_address);
    other.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
    let (_, body) = other.read_response();
    let unsent = body
        .split("\"unsent\":")
        .nth(1)
        .and_then(|rest| rest.trim_end_matches('}').parse::<usize>().ok());
    assert!(
        unsent.is_some_and(|unsent| unsent < 200_000),
        "{written} thousand requests written: {body}"
    );
}

#[test]
fn a_rejected_client_that_keeps_sending_does_not_delay_others() {
    let sidecar_address = spawn(Service::start(&settings()).unwrap());
    for _ in 0..3 {
        std::thread::spawn(move || {
            let mut client = Client::new(sidecar_address);
            client.send("no request\r\n\r\n");
            while client.0.write_all(&[b'x'; 1 << 20]).is_ok() {}
        });
    }
    let mut slowest = Duration::ZERO;
    for _ in 0..40 {
        let start = std::time::Instant::now();
        let mut client = Client::new(sidecar_address);
        client.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
        slowest = slowest.max(start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}

/// All pods have just started and the sidecar has no statistics, so it cannot know their capacity. Hundreds of sidecars that
/// each send a few requests would overload the pods.
#[test]
#[should_panic(expected = "finding 18")]
fn a_fleet_of_only_cold_pods_is_used_before_the_pods_are_warm() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let file = state_file(&[pod.address]);
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(
        &file,
        text.replace("\"started\":null", &format!("\"started\":{now}")),
    )
    .unwrap();
    let mut settings = settings();
    settings.state_file = Some(file);
    let mut client = Client::new(spawn(Service::start(&settings).unwrap()));
    let successes = (0..10).filter(|_| {
        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: 200\r\n\r\n");
        client.read_response().0.starts_with("HTTP/1.1 200")
    });
    let succeeded = successes.count();
    assert!(
        succeeded > 0,
        "finding 18: {succeeded} of 10 requests succeeded while all pods are cold"
    );
}
