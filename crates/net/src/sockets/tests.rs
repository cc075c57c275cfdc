//! Connections that end while something else goes on, and what the poll refuses.

use super::closing::LINGER_TIMEOUT;
use super::connection::Connection;
use super::listener::ACCEPT_BATCH;
use super::socket_table::Socket;
use super::{SocketEvent, SocketId, Sockets, MAX_INPUT};
use mio::net::TcpStream;
use std::fs::File;
use std::io::Write;
use std::net::{TcpListener as Listener, TcpStream as Stream};
use std::os::fd::OwnedFd;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// A connection that stands: its number here, and the other side.
fn pair(sockets: &mut Sockets) -> (SocketId, Stream) {
    let listener = Listener::bind("127.0.0.1:0").unwrap();
    let id = sockets.connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    until(
        sockets,
        |what| matches!(what, SocketEvent::Connected(at) if *at == id),
    );
    (id, peer)
}

/// Goes on until this happens; all that happened up to then.
fn until(sockets: &mut Sockets, wanted: impl Fn(&SocketEvent) -> bool) -> Vec<SocketEvent> {
    let end = Instant::now() + PATIENCE;
    let mut all = Vec::new();
    while !all.iter().any(&wanted) {
        assert!(Instant::now() < end, "only {all:?}");
        all.extend(sockets.wait(Some(PATIENCE)).unwrap());
    }
    all
}

/// The peer answers and resets at once: it closes with bytes unread.
fn answers_and_resets(sockets: &mut Sockets, id: SocketId, mut peer: Stream, answer: &[u8]) {
    sockets.send(id, b"ask");
    peer.peek(&mut [0]).unwrap();
    peer.write_all(answer).unwrap();
}

/// What is read up to the loss.
fn read_until_lost(sockets: &mut Sockets, id: SocketId) -> Vec<u8> {
    let end = Instant::now() + PATIENCE;
    let mut read = Vec::new();
    loop {
        assert!(Instant::now() < end, "no loss is told");
        for what in sockets.wait(Some(PATIENCE)).unwrap() {
            match what {
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

/// An answer that stands before a reset is read, however long it is, and the loss is told behind it.
#[test]
fn what_came_before_a_reset_is_read() {
    for length in [6, MAX_INPUT * 3] {
        let mut sockets = Sockets::new().unwrap();
        let (id, peer) = pair(&mut sockets);
        let answer = vec![b'x'; length];
        answers_and_resets(&mut sockets, id, peer, &answer);
        assert_eq!(read_until_lost(&mut sockets, id).len(), length);
    }
}

/// A write that fails takes nothing from the answer that waits with the system.
#[test]
fn what_came_before_a_failed_write_is_read() {
    let mut sockets = Sockets::new().unwrap();
    let (id, peer) = pair(&mut sockets);
    answers_and_resets(&mut sockets, id, peer, b"answer");
    sockets.send(id, b"more");
    sockets.send(id, b"and more");
    assert_eq!(read_until_lost(&mut sockets, id), b"answer");
}

/// One that was lost is not used again, and its owner may close it before it is told.
#[test]
fn a_lost_connection_is_neither_quiet_nor_told_after_its_close() {
    let mut sockets = Sockets::new().unwrap();
    let (id, peer) = pair(&mut sockets);
    answers_and_resets(&mut sockets, id, peer, b"answer");
    sockets.send(id, b"more");
    assert!(!sockets.is_silent(id) && sockets.has_peer_closed(id));
    sockets.close(id);
    assert!(sockets
        .wait(Some(Duration::ZERO))
        .unwrap()
        .iter()
        .all(|what| !matches!(what, SocketEvent::ConnectionLost { .. })));
}

/// A peer that closes is known to have, though its end stands behind more than is read ahead.
#[test]
fn an_end_behind_a_full_buffer_is_told() {
    let mut sockets = Sockets::new().unwrap();
    let (id, mut peer) = pair(&mut sockets);
    let writes = thread::spawn(move || {
        peer.write_all(&vec![b'x'; MAX_INPUT + 10]).unwrap();
        peer
    });
    let readable = |what: &SocketEvent| matches!(what, SocketEvent::Readable(at) if *at == id);
    until(&mut sockets, readable);
    let peer = writes.join().unwrap();
    // All of it has come, and what there is room for was read.
    while sockets.input(id).unwrap().len() < MAX_INPUT {
        sockets.wait(Some(PATIENCE)).unwrap();
    }
    assert!(!sockets.has_peer_closed(id));
    drop(peer);
    until(&mut sockets, readable);
    assert!(sockets.has_peer_closed(id) && !sockets.has_ended(id));
    assert_eq!(sockets.input(id).unwrap().split().len(), MAX_INPUT);
    sockets.resume_reading(id);
    assert_eq!(sockets.input(id).unwrap().len(), 10);
    assert!(sockets.has_ended(id));
}

/// Connections that wait at a listener are let in before it closes, more than one turn lets in too.
#[test]
fn nobody_is_left_at_a_listener_that_closes() {
    let mut sockets = Sockets::new().unwrap();
    let (listener, at) = sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let came: Vec<Stream> = (0..ACCEPT_BATCH + 36)
        .map(|_| Stream::connect(at).unwrap())
        .collect();
    assert!(sockets.stop_listening(listener));
    let accepted = |what: &SocketEvent| matches!(what, SocketEvent::Accepted { .. });
    assert_eq!(
        sockets
            .wait(Some(PATIENCE))
            .unwrap()
            .iter()
            .filter(|what| accepted(what))
            .count(),
        came.len()
    );
    assert!(Stream::connect(at).is_err());
}

/// Where there is no room for all of them it stays open until there is.
#[test]
fn a_listener_without_room_stays_open() {
    let mut sockets = Sockets::new().unwrap();
    let (listener, at) = sockets.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    sockets.limit_connections(2, usize::MAX);
    let _came: Vec<Stream> = (0..3).map(|_| Stream::connect(at).unwrap()).collect();
    assert!(!sockets.stop_listening(listener));
    let accepted = |what: &SocketEvent| match what {
        SocketEvent::Accepted { socket, .. } => Some(*socket),
        _ => None,
    };
    let first: Vec<SocketId> = sockets
        .wait(Some(PATIENCE))
        .unwrap()
        .iter()
        .filter_map(accepted)
        .collect();
    assert_eq!(first.len(), 2);
    first.into_iter().for_each(|id| sockets.close(id));
    assert!(sockets.stop_listening(listener));
    assert!(sockets
        .wait(Some(PATIENCE))
        .unwrap()
        .iter()
        .filter_map(accepted)
        .next()
        .is_some());
}

/// A peer that sends without end does not hold a connection that closes.
#[test]
fn a_closing_connection_hears_its_peer_out_in_bounds() {
    let mut sockets = Sockets::new().unwrap();
    let (id, mut peer) = pair(&mut sockets);
    sockets.close_when_sent(id);
    assert!(sockets.has_lingering());
    let sends = thread::spawn(move || while peer.write_all(&[0; 4096]).is_ok() {});
    let end = Instant::now() + LINGER_TIMEOUT;
    while sockets.has_lingering() {
        sockets.wait(Some(PATIENCE)).unwrap();
    }
    assert!(Instant::now() < end && sockets.open_count() == 0);
    sends.join().unwrap();
}

/// What the poll refuses to watch, here a file in place of a socket, leaves nothing behind.
#[test]
fn a_connection_that_cannot_be_registered_is_let_go() {
    let mut sockets = Sockets::new().unwrap();
    let file = OwnedFd::from(File::open("/dev/null").unwrap());
    let stream = TcpStream::from_std(std::net::TcpStream::from(file));
    let refused = sockets.insert(Socket::Connection(Box::new(Connection::accepted(stream))));
    assert!(refused.is_err() && sockets.open_count() == 0 && sockets.accepted_count == 0);
}
