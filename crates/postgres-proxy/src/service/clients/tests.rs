//! Steps the event loop turn by turn, with clients on real sockets.

use super::MAX_MESSAGES_PER_TURN;
use crate::config;
use crate::service::{ConnectionRole, Service};
use bytes::BytesMut;
use limewing_decision::interface::{Event, PodId, RequestId};
use limewing_emulators::platform::SidecarConfigFile;
use limewing_net::sockets::{SocketId, MAX_INPUT};
use limewing_postgres_protocol::encode;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

/// An SSLRequest, which may precede the startup message.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

fn start_service() -> Service {
    let config = SidecarConfigFile::new(Vec::new()).json();
    let config = config::parse(config.as_bytes()).unwrap();
    Service::start_with_config(PathBuf::from("none"), config).unwrap()
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

fn startup_message() -> BytesMut {
    let mut out = BytesMut::new();
    encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
    out
}

fn query(text: &str) -> BytesMut {
    let mut out = BytesMut::new();
    encode::query(&mut out, text);
    out
}

/// One client sends small messages that need no pod, as many as are read ahead. Another is answered in the same turn, before most of these
/// messages are handled. Guards against a turn that handles all input of one connection (operators' picture b).
#[rstest]
#[case::empty_queries(&startup_message(), &query(""))]
#[case::session_settings(&startup_message(), &query("SET x = 1"))]
#[case::ssl_requests(&[], &SSL_REQUEST)]
fn a_flood_of_one_client_does_not_delay_others(#[case] first: &[u8], #[case] message: &[u8]) {
    let mut service = start_service();
    let (mut flooding, flooding_id) = connect(&mut service);
    let (mut usual, _) = connect(&mut service);
    let count = (MAX_INPUT - first.len()) / message.len();
    flooding
        .write_all(&[first, &message.repeat(count)].concat())
        .unwrap();
    usual.write_all(&startup_message()).unwrap();
    service.turn().unwrap();
    assert!(usual.read(&mut [0; 1]).unwrap() > 0);
    let left = service.sockets.input(flooding_id).unwrap().len() / message.len();
    assert!(left >= count - MAX_MESSAGES_PER_TURN, "{left} of {count}");
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
    let request = "SELECT blob FROM rows WHERE handle = '7f3a' /* id=a1,c=look,t=acme,d=5000 */";
    client
        .write_all(&[&startup_message()[..], &query(request)].concat())
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
