//! Reports of wrong answers, by the token that came with the response.

use crate::support::{run, settings, Client, Pod, PodAction, OK_RESPONSE, QUOTE};
use limewing_decision::interface::{Action, AttemptIndex, Event, RequestId, SidecarConfig};
use limewing_http_proxy::endpoint_directory::EndpointDirectory;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Starts one attempt for each request at one pod, and tells of reported pods.
struct ToOne {
    pod: SocketAddr,
    flagged: Sender<SocketAddr>,
}

impl SendAuthority for ToOne {
    fn may_begin(&self, _: Duration, _: RequestId, _: AttemptIndex) -> bool {
        true
    }
}

impl Decisions for ToOne {
    fn apply_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.handle(now, events)
    }

    fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut directory = EndpointDirectory::new(&[]);
        let mut actions = vec![Action::WakeAt {
            at: now + Duration::from_millis(20),
        }];
        for event in events {
            match event {
                Event::RequestArrived(request) => actions.push(Action::StartAttempt {
                    request: request.id,
                    pod: directory.pod_id(self.pod),
                    timeout: Duration::ZERO,
                }),
                Event::Flagged { pod, .. } => {
                    let address = directory.address(pod).unwrap();
                    self.flagged.send(address).unwrap();
                }
                _ => {}
            }
        }
        actions
    }
}

fn sidecar(pod: SocketAddr) -> (SocketAddr, Receiver<SocketAddr>) {
    let (flagged, reports) = channel();
    let decisions = |_: Duration, _: SidecarConfig| -> Box<dyn Decisions + Send> {
        Box::new(ToOne { pod, flagged })
    };
    let service = Service::start_with(&settings(), decisions).unwrap();
    (run(service), reports)
}

fn report(to: SocketAddr, body: &str) -> String {
    let mut client = Client::new(to);
    client.send(&format!(
        "POST /limewing/reports HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    client.read_response().0
}

#[test]
fn a_reported_response_flags_its_pod_once() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let (to, flagged) = sidecar(pod.at);
    let mut client = Client::new(to);
    client.send(QUOTE);
    let (head, _) = client.read_response();
    let token = head
        .lines()
        .find_map(|line| line.strip_prefix("limewing-forward: "))
        .unwrap();
    let body = format!(r#"{{"forward": "{token}"}}"#);
    assert!(report(to, &body).starts_with("HTTP/1.1 202"));
    assert_eq!(flagged.recv_timeout(Duration::from_secs(20)), Ok(pod.at));
    assert!(report(to, &body).starts_with("HTTP/1.1 404"));
}

#[test]
fn a_report_that_names_no_response_is_refused() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let (to, _flagged) = sidecar(pod.at);
    let unknown = report(to, r#"{"forward": "other.1.0.0"}"#);
    assert!(unknown.starts_with("HTTP/1.1 404"), "{unknown}");
    let malformed = report(to, r#"{"attempt": "other.1.0.0"}"#);
    assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
}
