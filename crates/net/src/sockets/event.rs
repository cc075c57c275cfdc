//! What the facade tells its owner.

use mio::Token;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Where the generation stands in a [`SocketId`].
const GENERATION_SHIFT: u32 = 32;

/// One socket: the index of its slot in the low half, the slot's generation in the high half. It is not reused for
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

/// What happened to a socket, or to the process.
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
    /// A connection that was begun with [`Sockets::connect`](super::Sockets::connect) is established.
    Connected(SocketId),
    /// There is input, or it has ended (see [`Sockets::has_ended`](super::Sockets::has_ended)), or the peer has closed
    /// its side behind input that was not read yet (see [`Sockets::has_peer_closed`](super::Sockets::has_peer_closed)).
    Readable(SocketId),
    /// All that was given to [`Sockets::send`](super::Sockets::send) is with the system, after some of it had to wait.
    Flushed(SocketId),
    /// The connection is gone: refused, reset or failed. Input that came before is reported in an earlier round and can
    /// be read until this event.
    ConnectionLost {
        /// The connection.
        socket: SocketId,
        /// Bytes given to the system before.
        written: u64,
        /// How it failed.
        error: ErrorKind,
    },
    /// A listener could not accept, as connections, descriptors or memory have run out. It tries again soon.
    AcceptFailed {
        /// The listener.
        listener: SocketId,
        /// How it failed; [`ErrorKind::QuotaExceeded`] if the limit on connections was reached.
        error: ErrorKind,
    },
    /// A datagram came.
    Datagram {
        /// The socket that it came to.
        socket: SocketId,
        /// The sender's address.
        from: SocketAddr,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A signal that is watched, by its number.
    Signal(i32),
}
