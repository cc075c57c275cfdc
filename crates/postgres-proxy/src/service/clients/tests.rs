//! Steps the event loop turn by turn, with clients on real sockets.

use super::MAX_MESSAGES_PER_TURN;
use crate::config;
use crate::service::{ConnectionRole, Service};
use bytes::BytesMut;
use limewing_emulators::platform::SidecarConfigFile;
use limewing_net::sockets::{SocketId, MAX_INPUT};
use limewing_postgres_protocol::encode;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;

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
