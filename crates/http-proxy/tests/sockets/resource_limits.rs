//! A lack of descriptors, disk or memory is the sidecar's own and no failure of its pods; and how it recovers.

use crate::support::{
    listing, run, settings, state_file, Client, Pod, PodAction, OK_RESPONSE, QUOTE,
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

/// The decision engine; passes on each outcome that it is told.
struct ObservedDecisions(DecisionEngine, Sender<AttemptOutcome>);

impl ObservedDecisions {
    fn tell(&self, events: &[Event]) {
        for event in events {
            if let Event::AttemptFinished(outcome) = event {
                let _ = self.1.send(outcome.outcome);
            }
        }
    }
}

impl SendAuthority for ObservedDecisions {
    fn may_begin(&self, now: Duration, hit: RequestId, no: AttemptIndex) -> bool {
        self.0.may_begin(now, hit, no)
    }
}

impl Decisions for ObservedDecisions {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.tell(&events);
        self.0.apply_events(now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.tell(&events);
        self.0.handle(now, events)
    }
}

/// Runs a test of this program in a process of its own, within limits that a shell sets.
fn run_in_limited_process(limits: &str, name: &str, body: impl FnOnce()) {
    if std::env::var_os("LIMEWING_WITHIN").is_some() {
        return body();
    }
    let exe = std::env::current_exe().unwrap();
    let run = format!(
        "{limits} exec {} resource_limits::{name} --exact --nocapture",
        exe.display()
    );
    let out = Command::new("sh")
        .args(["-c", &run])
        .env("LIMEWING_WITHIN", "1")
        .output()
        .unwrap();
    let text =
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success() && text.contains("1 passed"), "{text}");
}

#[test]
fn a_lack_of_descriptors_is_no_failure_of_the_pod() {
    run_in_limited_process(
        "ulimit -n 60;",
        "a_lack_of_descriptors_is_no_failure_of_the_pod",
        || {
            let pods = [
                Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
                Pod::new(vec![PodAction::Respond(OK_RESPONSE)]),
            ];
            // A list service that accepts and does not answer: a poll that it refused would give its descriptor back while
            // all others are held.
            let list = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut settings = settings();
            settings.endpoint_list.address = list.local_addr().unwrap();
            settings.state_file = Some(state_file(&[pods[0].at, pods[1].at]));
            let (tell, told) = channel();
            let service = Service::start_with(&settings, |now, terms| {
                Box::new(ObservedDecisions(DecisionEngine::new(now, terms), tell))
                    as Box<dyn Decisions + Send>
            });
            let at = run(service.unwrap());
            let (_poll, _) = list.accept().unwrap();
            let mut client = Client::new(at);
            // After a first response the sidecar has accepted the connection.
            client.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
            assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
            let held: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
            client.send(QUOTE);
            let (head, _) = client.read_response();
            assert!(
                head.starts_with("HTTP/1.1 503") && head.contains("a retry is harmless"),
                "{head}"
            );
            let outcomes: Vec<AttemptOutcome> = told.try_iter().collect();
            assert!(
                !outcomes.is_empty()
                    && outcomes
                        .iter()
                        .all(|outcome| *outcome == AttemptOutcome::NeverSent),
                "{outcomes:?}"
            );
            drop(held);
            client.send(QUOTE);
            assert_eq!(client.read_response().1, "done");
        },
    );
}

#[test]
fn a_list_is_saved_once_its_folder_exists() {
    let folder = tempfile::tempdir().unwrap();
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.endpoint_list.address = list.local_addr().unwrap();
    let file = folder.path().join("not/yet/state.json");
    settings.state_file = Some(file.clone());
    let mut client = Client::new(run(Service::start(&settings).unwrap()));
    let (mut link, _) = list.accept().unwrap();
    let _ = link.read(&mut [0; 500]).unwrap();
    link.write_all(listing(7, &[pod.at]).as_bytes()).unwrap();
    client.send(QUOTE);
    assert_eq!(client.read_response().1, "done");
    std::fs::create_dir_all(file.parent().unwrap()).unwrap();
    // The list does not change any more.
    let kept = (0..500).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        limewing_http_proxy::endpoint_list_file::load(&file)
            .is_ok_and(|rows| rows.is_some_and(|rows| rows.len() == 1))
    });
    assert!(kept);
}

/// Responses that a client does not read are not buffered without bound.
#[rstest]
#[case::no_hits("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::status("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::hits(QUOTE)]
fn a_client_that_never_reads_gets_bounded_output(#[case] request: &str) {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let at = run(Service::start(&{
        let mut settings = settings();
        settings.state_file = Some(state_file(&[pod.at]));
        settings
    })
    .unwrap());
    let client = Client::new(at);
    client
        .0
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let text = request.repeat(1000);
    // Until nothing more is taken, or far more than buffers hold.
    let taken = (0..400)
        .take_while(|_| (&client.0).write_all(text.as_bytes()).is_ok())
        .count();
    let mut other = Client::new(at);
    other.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
    let (_, body) = other.read_response();
    let unsent = body
        .split("\"unsent\":")
        .nth(1)
        .and_then(|rest| rest.trim_end_matches('}').parse::<usize>().ok());
    assert!(
        unsent.is_some_and(|unsent| unsent < 200_000),
        "{taken} thousand taken: {body}"
    );
}

#[test]
fn a_refused_client_that_keeps_sending_delays_no_other() {
    let at = run(Service::start(&settings()).unwrap());
    for _ in 0..3 {
        std::thread::spawn(move || {
            let mut client = Client::new(at);
            client.send("no request\r\n\r\n");
            while client.0.write_all(&[b'x'; 1 << 20]).is_ok() {}
        });
    }
    let mut slowest = Duration::ZERO;
    for _ in 0..40 {
        let began = std::time::Instant::now();
        let mut client = Client::new(at);
        client.send("GET /limewing/status HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(client.read_response().0.starts_with("HTTP/1.1 200"));
        slowest = slowest.max(began.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}

/// All pods were just started, and the sidecar has no statistics: nothing tells what they bear, and hundreds of sidecars that
/// each sent a little would overload them.
#[test]
#[should_panic(expected = "finding 18")]
fn a_fleet_that_is_cold_as_a_whole_is_used_before_it_is_warm() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let file = state_file(&[pod.at]);
    let today = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(
        &file,
        text.replace("\"started\":null", &format!("\"started\":{today}")),
    )
    .unwrap();
    let mut settings = settings();
    settings.state_file = Some(file);
    let mut client = Client::new(run(Service::start(&settings).unwrap()));
    let well = (0..10).filter(|_| {
        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: 200\r\n\r\n");
        client.read_response().0.starts_with("HTTP/1.1 200")
    });
    let well = well.count();
    assert!(
        well > 0,
        "finding 18: {well} of 10 hits answered while all pods are cold"
    );
}
