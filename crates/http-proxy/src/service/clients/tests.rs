//! Steps the event loop turn by turn, with clients on real sockets.

use super::requests::MAX_REQUESTS_PER_TURN;
use crate::service::{ConnectionRole, Service};
use limewing_decision::interface::{Event, PodId, RequestId};
use limewing_net::sockets::{SocketId, MAX_INPUT};
use limewing_settings::{read_text, SidecarSettings};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const SETTINGS: &str = include_str!("../../../../../deploy/sidecar.example.json");

fn start_service() -> Service {
    let mut settings: SidecarSettings = read_text("settings", SETTINGS).unwrap();
    settings.listen.set_port(0);
    settings.state_file = None;
    settings.rollout_service = None;
    Service::start(&settings).unwrap()
}

/// Connects a client, and runs turns until the service has accepted it.
fn connect(service: &mut Service) -> (TcpStream, SocketId) {
    let known: Vec<SocketId> = client_ids(service).collect();
    let stream = TcpStream::connect(service.address()).unwrap();
    loop {
        service.turn().unwrap();
        if let Some(id) = client_ids(service).find(|id| !known.contains(id)) {
            return (stream, id);
        }
    }
}

fn client_ids(service: &Service) -> impl Iterator<Item = SocketId> + '_ {
    let is_client = |role: &ConnectionRole| matches!(role, ConnectionRole::Client(_));
    let clients = service.connections.iter();
    clients
        .filter(move |(_, role)| is_client(role))
        .map(|(id, _)| *id)
}

/// One client sends small requests that need no pod, as many as are read ahead. Another is answered in the same turn, before most of these
/// requests are handled. Guards against a turn that handles all input of one connection (operators' picture b).
#[rstest]
#[case::unknown_path("GET /x HTTP/1.1\r\nHost:\r\n\r\n")]
#[case::status_page("GET /limewing/status HTTP/1.1\r\nHost:\r\n\r\n")]
fn a_flood_of_one_client_does_not_delay_others(#[case] request: &str) {
    let mut service = start_service();
    let (mut flooding, flooding_id) = connect(&mut service);
    let (mut usual, _) = connect(&mut service);
    let count = MAX_INPUT / request.len();
    flooding
        .write_all(request.repeat(count).as_bytes())
        .unwrap();
    usual.write_all(request.as_bytes()).unwrap();
    service.turn().unwrap();
    assert!(usual.read(&mut [0; 1]).unwrap() > 0);
    let left = service.sockets.input(flooding_id).unwrap().len() / request.len();
    assert!(left >= count - MAX_REQUESTS_PER_TURN, "{left} of {count}");
    // The rest is handled in further turns, without more input.
    while !service.sockets.input(flooding_id).unwrap().is_empty() {
        service.turn().unwrap();
    }
}

/// A client sends a request and closes its connection before the request is read. Guards against a request that is sent on although its
/// client does not wait for the response, and against records of it that stay for good (operators' pictures b and c).
#[test]
fn a_request_of_a_client_that_has_closed_is_not_accepted() {
    let mut service = start_service();
    let (mut client, _) = connect(&mut service);
    client
        .write_all(b"GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    drop(client);
    while service.clients.connected > 0 {
        service.turn().unwrap();
    }
    assert_eq!(service.requests.total_accepted(), 0);
}

/// The client of a request is gone when the decision to start an attempt is executed: the engine is told. Guards against an attempt that
/// it counts at its pod for good.
#[test]
fn an_attempt_without_a_request_is_reported() {
    let mut service = start_service();
    service.events.clear();
    service.start_attempt(RequestId(7), PodId(0), Duration::ZERO);
    assert!(matches!(
        service.events[..],
        [Event::RequestUnknown(RequestId(7))]
    ));
}
