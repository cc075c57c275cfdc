//! Reports of wrong answers, which identify a response by the token sent with it.

use crate::support::{settings, spawn, Client, Pod, PodAction, GET_QUOTE, OK_RESPONSE};
use limewing_decision::interface::{Action, AttemptIndex, Event, RequestId, SidecarConfig};
use limewing_http_proxy::endpoint_directory::EndpointDirectory;
use limewing_http_proxy::service::{Decisions, Service};
use limewing_proxy_core::send_permit::SendAuthority;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// Decisions that start one attempt per request at one pod, and pass reported pods to the test.
struct SendToOnePod {
    pod: SocketAddr,
    flagged: Sender<SocketAddr>,
}

impl SendAuthority for SendToOnePod {
    fn may_send_first_byte(&self, _: Duration, _: RequestId, _: AttemptIndex) -> bool {
        true
    }
}

impl Decisions for SendToOnePod {
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
        Box::new(SendToOnePod { pod, flagged })
    };
    let service = Service::start_with(&settings(), decisions).unwrap();
    (spawn(service), reports)
}

fn report(sidecar: SocketAddr, body: &str) -> String {
    let mut client = Client::new(sidecar);
    client.send(&format!(
        "POST /limewing/reports HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    client.read_response().0
}

#[test]
fn a_reported_response_flags_its_pod_once() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let (sidecar_address, flagged) = sidecar(pod.address);
    let mut client = Client::new(sidecar_address);
    client.send(GET_QUOTE);
    let (head, _) = client.read_response();
    let token = head
        .lines()
        .find_map(|line| line.strip_prefix("limewing-forward: "))
        .unwrap();
    let body = format!(r#"{{"forward": "{token}"}}"#);
    assert!(report(sidecar_address, &body).starts_with("HTTP/1.1 202"));
    assert_eq!(
        flagged.recv_timeout(Duration::from_secs(20)),
        Ok(pod.address)
    );
    assert!(report(sidecar_address, &body).starts_with("HTTP/1.1 404"));
}

#[test]
fn a_report_without_a_known_response_is_rejected() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let (sidecar_address, _flagged) = sidecar(pod.address);
    let unknown = report(sidecar_address, r#"{"forward": "other.1.0.0"}"#);
    assert!(unknown.starts_with("HTTP/1.1 404"), "{unknown}");
    let malformed = report(sidecar_address, r#"{"attempt": "other.1.0.0"}"#);
    assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
}
