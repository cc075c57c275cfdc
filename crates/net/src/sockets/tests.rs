//! Tests of connections that end with unread input or unsent output, of closing listeners, and of sockets that the poll
//! can't register.

use super::closing::LINGER_TIMEOUT;
use super::connection::Connection;
use super::listener::ACCEPT_BATCH;
use super::socket_table::Socket;
use super::{SocketEvent, SocketId, Sockets, MAX_INPUT, MAX_INPUT_WHEN_SHORT};
use mio::net::TcpStream;
use rstest::rstest;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener as Listener, TcpStream as Stream};
use std::os::fd::OwnedFd;
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for an event before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An established connection: its id and the peer's stream.
fn connected_pair(sockets: &mut Sockets) -> (SocketId, Stream) {
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let id = sockets.connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    wait_until(
        sockets,
        |event| matches!(event, SocketEvent::Connected(at) if *at == id),
    );
    (id, peer)
}

/// Waits for an event that matches `wanted`; returns all events up to it.
fn wait_until(sockets: &mut Sockets, wanted: impl Fn(&SocketEvent) -> bool) -> Vec<SocketEvent> {
    let end = Instant::now() + TEST_TIMEOUT;
    let mut events = Vec::new();
    while !events.iter().any(&wanted) {
        assert!(
            Instant::now() < end,
            "expected event missing, got {events:?}"
        );
        events.extend(sockets.wait(Some(TEST_TIMEOUT)).unwrap());
    }
    events
}

/// The peer sends a response and closes with unread input, which resets the connection.
fn peer_responds_and_resets(
    sockets: &mut Sockets,
    id: SocketId,
    mut peer: Stream,
    response: &[u8],
) {
    sockets.send(id, b"ask");
    peer.peek(&mut [0]).unwrap();
    peer.write_all(response).unwrap();
}

/// Reads all input until the loss of the connection is reported.
fn read_until_lost(sockets: &mut Sockets, id: SocketId) -> Vec<u8> {
    let end = Instant::now() + TEST_TIMEOUT;
    let mut read = Vec::new();
    loop {
        assert!(Instant::now() < end, "the connection loss is not reported");
        for event in sockets.wait(Some(TEST_TIMEOUT)).unwrap() {
            match event {
                SocketEvent::Readable(at) if at == id => {
                    read.extend_from_slice(&sockets.input(id).unwrap().split());
                    sockets.resume_reading(id);
                }
                SocketEvent::ConnectionLost { socket, .. } if socket == id => {
                    assert_eq!(sockets.open_count(), 0);
                    return read;
                }
                _ => {}
            }
        }
    }
}

#[test]
fn input_before_a_reset_is_read_before_the_loss_is_reported() {
    for length in [6, MAX_INPUT * 3] {
        let mut sockets = Sockets::new().unwrap();
        let (id, peer) = connected_pair(&mut sockets);
        let response = vec![b'x'; length];
        peer_responds_and_resets(&mut sockets, id, peer, &response);
        assert_eq!(read_until_lost(&mut sockets, id).len(), length);
    }
}

#[test]
fn input_before_a_failed_write_is_read() {
    let mut sockets = Sockets::new().unwrap();
    let (id, peer) = connected_pair(&mut sockets);
    peer_responds_and_resets(&mut sockets, id, peer, b"answer");
    sockets.send(id, b"more");
    sockets.send(id, b"and more");
    assert_eq!(read_until_lost(&mut sockets, id), b"answer");
}

#[test]
fn a_lost_connection_is_not_silent_and_its_loss_is_not_reported_after_close() {
    let mut sockets = Sockets::new().unwrap();
    let (id, peer) = connected_pair(&mut sockets);
    peer_responds_and_resets(&mut sockets, id, peer, b"answer");
    sockets.send(id, b"more");
    assert!(!sockets.is_silent(id) && sockets.has_peer_closed(id));
    sockets.close(id);
    assert!(sockets
        .wait(Some(Duration::ZERO))
        .unwrap()
        .iter()
        .all(|event| !matches!(event, SocketEvent::ConnectionLost { .. })));
}

#[test]
fn peer_close_after_a_full_input_buffer_is_reported() {
    let mut sockets = Sockets::new().unwrap();
    let (id, mut peer) = connected_pair(&mut sockets);
    let writer = thread::spawn(move || {
        peer.write_all(&vec![b'x'; MAX_INPUT + 10]).unwrap();
        peer
    });
    let readable = |event: &SocketEvent| matches!(event, SocketEvent::Readable(at) if *at == id);
    wait_until(&mut sockets, readable);
    let peer = writer.join().unwrap();
    // All bytes have arrived; waits until the input buffer is full.
    while sockets.input(id).unwrap().len() < MAX_INPUT {
        sockets.wait(Some(TEST_TIMEOUT)).unwrap();
    }
    assert!(!sockets.has_peer_closed(id));
    drop(peer);
    wait_until(&mut sockets, readable);
    assert!(sockets.has_peer_closed(id) && !sockets.has_ended(id));
    assert_eq!(sockets.input(id).unwrap().split().len(), MAX_INPUT);
    sockets.resume_reading(id);
    assert_eq!(sockets.input(id).unwrap().len(), 10);
    assert!(sockets.has_ended(id));
}

#[test]
fn a_closing_listener_accepts_more_than_one_batch_of_its_backlog() {
    let mut sockets = Sockets::new().unwrap();
    let (listener, at) = sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let peers: Vec<Stream> = (0..ACCEPT_BATCH + 36)
        .map(|_| Stream::connect(at).unwrap())
        .collect();
    assert!(sockets.stop_listening(listener));
    let accepted = |event: &SocketEvent| matches!(event, SocketEvent::Accepted { .. });
    assert_eq!(
        sockets
            .wait(Some(TEST_TIMEOUT))
            .unwrap()
            .iter()
            .filter(|event| accepted(event))
            .count(),
        peers.len()
    );
    assert!(Stream::connect(at).is_err());
}

#[test]
fn a_closing_listener_stays_open_until_its_backlog_fits_the_limit() {
    let mut sockets = Sockets::new().unwrap();
    let (listener, at) = sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    sockets.limit_connections(2, usize::MAX);
    let _peers: Vec<Stream> = (0..3).map(|_| Stream::connect(at).unwrap()).collect();
    assert!(!sockets.stop_listening(listener));
    let accepted = |event: &SocketEvent| match event {
        SocketEvent::Accepted { socket, .. } => Some(*socket),
        _ => None,
    };
    let first: Vec<SocketId> = sockets
        .wait(Some(TEST_TIMEOUT))
        .unwrap()
        .iter()
        .filter_map(accepted)
        .collect();
    assert_eq!(first.len(), 2);
    for id in first {
        sockets.close(id);
    }
    assert!(sockets.stop_listening(listener));
    assert!(sockets
        .wait(Some(TEST_TIMEOUT))
        .unwrap()
        .iter()
        .filter_map(accepted)
        .next()
        .is_some());
}

#[test]
fn a_closing_connection_discards_a_bounded_amount_of_input() {
    let mut sockets = Sockets::new().unwrap();
    let (id, mut peer) = connected_pair(&mut sockets);
    sockets.close_when_sent(id);
    assert!(sockets.has_lingering());
    let sender = thread::spawn(move || while peer.write_all(&[0; 4096]).is_ok() {});
    let end = Instant::now() + LINGER_TIMEOUT;
    while sockets.has_lingering() {
        sockets.wait(Some(TEST_TIMEOUT)).unwrap();
    }
    assert!(Instant::now() < end && sockets.open_count() == 0);
    sender.join().unwrap();
}

#[test]
fn a_connection_that_the_poll_cannot_register_is_removed() {
    let mut sockets = Sockets::new().unwrap();
    // epoll can't watch a regular file or /dev/null.
    let file = OwnedFd::from(File::open("/dev/null").unwrap());
    let stream = TcpStream::from_std(std::net::TcpStream::from(file));
    let refused = sockets.insert(Socket::Connection(Box::new(Connection::accepted(stream))));
    assert!(refused.is_err() && sockets.open_count() == 0 && sockets.accepted_count == 0);
}

/// While the limit on buffered bytes is reached, input is still read, in small pieces. Guards against peers that are not read because
/// others hold the memory.
#[test]
fn input_is_read_in_small_pieces_while_memory_is_short() {
    let mut sockets = Sockets::new().unwrap();
    sockets.limit_buffered_bytes(MAX_INPUT);
    let (holder, mut holder_peer) = connected_pair(&mut sockets);
    let (id, mut peer) = connected_pair(&mut sockets);
    let writer = thread::spawn(move || {
        holder_peer.write_all(&[b'x'; MAX_INPUT]).unwrap();
        holder_peer
    });
    while sockets.buffered_bytes() < MAX_INPUT {
        sockets.wait(Some(TEST_TIMEOUT)).unwrap();
    }
    let _holder_peer = writer.join().unwrap();
    peer.write_all(&[b'y'; 3 * MAX_INPUT_WHEN_SHORT]).unwrap();
    let mut read = 0;
    let end = Instant::now() + TEST_TIMEOUT;
    while read < 3 * MAX_INPUT_WHEN_SHORT {
        assert!(Instant::now() < end, "{read} bytes read");
        sockets.wait(Some(TEST_TIMEOUT)).unwrap();
        assert!(sockets.buffered_bytes() <= MAX_INPUT + MAX_INPUT_WHEN_SHORT);
        read += sockets.input(id).unwrap().split().len();
        sockets.resume_reading(id);
    }
    sockets.input(holder).unwrap().clear();
    sockets.wait(Some(Duration::ZERO)).unwrap();
    assert_eq!(sockets.buffered_bytes(), 0);
}

/// A connection keeps no space of input that was taken, whether or not the peer has begun another message. Guards against connections
/// that each keep a full input buffer.
#[rstest]
#[case::all_taken(0)]
#[case::begun_message_left(10)]
fn space_of_taken_input_is_freed(#[case] left: usize) {
    let mut sockets = Sockets::new().unwrap();
    let (id, mut peer) = connected_pair(&mut sockets);
    peer.write_all(&[b'x'; MAX_INPUT + 10]).unwrap();
    while sockets.input(id).unwrap().len() < MAX_INPUT {
        sockets.wait(Some(TEST_TIMEOUT)).unwrap();
    }
    sockets.input(id).unwrap().clear();
    sockets.resume_reading(id);
    let input = sockets.input(id).unwrap();
    assert_eq!(input.len(), 10);
    input.truncate(left);
    sockets.wait(Some(Duration::ZERO)).unwrap();
    assert_eq!(sockets.input(id).unwrap().capacity(), left);
}

/// Unsent output is counted until it is sent or dropped, unless it is shared.
#[test]
fn unsent_output_is_counted_while_it_is_held() {
    /// More than the buffers of the system hold for one connection.
    const OUTPUT: usize = 64 * 1024 * 1024;
    let mut sockets = Sockets::new().unwrap();
    let (id, _peer) = connected_pair(&mut sockets);
    let (other, _other_peer) = connected_pair(&mut sockets);
    sockets.send_shared(other, vec![b'x'; OUTPUT].into());
    assert!(sockets.unsent_bytes(other) > 0);
    assert_eq!(sockets.buffered_bytes(), 0);
    sockets.send(id, &vec![b'x'; OUTPUT]);
    assert!(sockets.unsent_bytes(id) > 0);
    assert_eq!(sockets.buffered_bytes(), sockets.unsent_bytes(id));
    sockets.close(id);
    assert_eq!(sockets.buffered_bytes(), 0);
}
