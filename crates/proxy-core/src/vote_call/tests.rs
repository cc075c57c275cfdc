//! Tests the outcome of a vote when the service replies, replies in part, or does not reply.

use super::*;
use limewing_net::sockets::SocketEvent;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const REQUEST: &[u8] = b"POST /v1/votes HTTP/1.1\r\n\r\n";

fn parse(status: u16, body: &[u8]) -> VoteReply<Vec<u8>> {
    assert_eq!(status, 200);
    VoteReply {
        answer: VoteAnswer::Counted,
        state: Some(body.to_vec()),
    }
}

/// Sends a vote to a service that writes `reply` and closes the connection, and returns the
/// outcome.
fn vote_with_reply(reply: &'static [u8]) -> VoteReply<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let service = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![0; REQUEST.len()];
        stream.read_exact(&mut request).unwrap();
        assert_eq!(request, REQUEST);
        stream.write_all(reply).unwrap();
    });
    let mut sockets = Sockets::new().unwrap();
    let mut timers = TimerWheel::default();
    let socket = sockets.connect(address).unwrap();
    let timer = timers.schedule(Duration::from_secs(5), ());
    let mut vote = VoteCall::new(BytesMut::from(REQUEST), timer);
    let started = Instant::now();
    let reply = loop {
        assert!(started.elapsed() < Duration::from_secs(5), "no reply");
        let mut reply = None;
        for event in sockets.wait(Some(Duration::from_millis(100))).unwrap() {
            match event {
                SocketEvent::Connected(_) => vote.send(socket, &mut sockets),
                SocketEvent::Readable(_) => {
                    reply = vote.read_reply(socket, &mut sockets, parse);
                }
                SocketEvent::ConnectionLost { written, .. } => {
                    reply = Some(VoteReply::connection_lost(written));
                }
                _ => {}
            }
        }
        if let Some(reply) = reply {
            break reply;
        }
    };
    vote.close(socket, &mut sockets, &mut timers);
    assert!(timers.is_empty());
    assert_eq!(sockets.open_count(), 0);
    service.join().unwrap();
    reply
}

#[test]
fn complete_reply_is_parsed() {
    let reply = vote_with_reply(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstate");
    assert_eq!(reply.answer, VoteAnswer::Counted);
    assert_eq!(reply.state.as_deref(), Some(&b"state"[..]));
}

#[rstest]
#[case::nothing(b"")]
#[case::half(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nst")]
#[case::no_http(b"\r\n\r\nstate\r\n\r\n")]
fn vote_may_have_been_counted_without_a_complete_reply(#[case] reply: &'static [u8]) {
    let reply = vote_with_reply(reply);
    assert_eq!(reply, VoteReply::without_state(VoteAnswer::Unanswered));
}

#[rstest]
#[case::nothing_sent(0, VoteAnswer::Failed)]
#[case::sent_in_part(1, VoteAnswer::Unanswered)]
fn lost_connection_proves_no_effect_if_nothing_was_sent(
    #[case] written: u64,
    #[case] answer: VoteAnswer,
) {
    assert_eq!(VoteReply::<()>::connection_lost(written).answer, answer);
}
