//! Socket ids and the events that [`Sockets`](super::Sockets) reports.

use mio::Token;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// The bit position of the generation in a [`SocketId`].
const GENERATION_SHIFT: u32 = 32;

/// The id of a socket: the slot index in the low half, the slot's generation in the high half. An id is not reused for
/// another socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(u64);

impl SocketId {
    pub(super) fn new(generation: u32, index: usize) -> Self {
        Self(u64::from(generation) << GENERATION_SHIFT | index as u64)
    }

    pub(super) fn generation(self) -> u32 {
        (self.0 >> GENERATION_SHIFT) as u32
    }

    pub(super) fn index(self) -> usize {
        self.0 as u32 as usize
    }

    pub(super) fn token(self) -> Token {
        Token(self.0 as usize)
    }

    pub(super) fn from_token(token: Token) -> Self {
        Self(token.0 as u64)
    }
}

/// An event on a socket, or a signal to the process.
#[derive(Debug)]
pub enum SocketEvent {
    /// A listener accepted a connection.
    Accepted {
        /// The listener.
        listener: SocketId,
        /// The connection.
        socket: SocketId,
        /// The peer's address.
        from: SocketAddr,
    },
    /// A connection started with [`Sockets::connect`](super::Sockets::connect) is established.
    Connected(SocketId),
    /// Input is available, or it has ended (see [`Sockets::has_ended`](super::Sockets::has_ended)), or the peer has closed
    /// its side after input that has not been read yet (see
    /// [`Sockets::has_peer_closed`](super::Sockets::has_peer_closed)).
    Readable(SocketId),
    /// All queued output of [`Sockets::send`](super::Sockets::send) has been written to the socket.
    Flushed(SocketId),
    /// The connection was refused, reset or failed. Input received before is reported in an earlier round and can be read
    /// until this event.
    ConnectionLost {
        /// The connection.
        socket: SocketId,
        /// Bytes written to the socket before the loss.
        written: u64,
        /// The cause.
        error: ErrorKind,
    },
    /// A listener could not accept because of a lack of connections, file descriptors or memory. It retries after a short
    /// delay.
    AcceptFailed {
        /// The listener.
        listener: SocketId,
        /// The cause; [`ErrorKind::QuotaExceeded`] if the connection limit was reached.
        error: ErrorKind,
    },
    /// A datagram was received.
    Datagram {
        /// The receiving socket.
        socket: SocketId,
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// A watched signal was received; its number.
    Signal(i32),
}
