//! Listeners, TCP connections and datagram sockets on one `mio` poll. It reports what happened and holds the bytes; it
//! knows no protocol.
//!
//! Reading stops while a connection's input is full and goes on with [`Sockets::resume_reading`], so that a peer is not
//! read faster than its bytes are used. When the process has no file descriptor left, accepting pauses and is tried
//! again: further connections stay in the backlog.

mod closing;
mod connection;
mod datagrams;
mod event;
mod listener;
mod polling;
mod resource_limits;
mod socket_table;
#[cfg(test)]
mod tests;

pub use connection::MAX_INPUT;
pub use event::{SocketEvent, SocketId};
pub use resource_limits::{is_resource_exhaustion, resource_limits};

use bytes::BytesMut;
use connection::Connection;
use listener::ConnectionLimits;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll};
use polling::SIGNALS;
use signal_hook_mio::v1_0::Signals;
use socket_table::{Socket, SocketTable};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// Reports of the system that are taken in one round.
const EVENTS_PER_ROUND: usize = 1024;
/// The size of the buffer that all sockets read through, in bytes.
const READ_BUFFER: usize = 16 * 1024;

/// All sockets of a process, driven by one thread: [`wait`](Self::wait) reports what happened, the other methods act at
/// once. Ids of sockets that were closed are ignored.
pub struct Sockets {
    poll: Poll,
    system_events: Events,
    table: SocketTable,
    /// What the next round reports.
    events: VecDeque<SocketEvent>,
    /// Connections that are closing, in the order of their timeouts. Some may be closed already.
    lingering: VecDeque<SocketId>,
    lingering_count: usize,
    /// Connections lost in this round, whose input is reported with it.
    newly_lost: Vec<SocketId>,
    /// Connections lost in an earlier round, which are reported as lost next.
    lost: Vec<SocketId>,
    /// Open connections that came through a listener.
    accepted_count: usize,
    limits: ConnectionLimits,
    /// When listeners that had to stop accept again.
    accept_at: Option<Instant>,
    signals: Option<Signals>,
    read_buffer: Box<[u8]>,
    /// Where more datagrams wait than one round reads.
    unread_datagrams: Vec<SocketId>,
}

impl Sockets {
    /// A poll without sockets and without limits on connections.
    ///
    /// # Errors
    ///
    /// The system gives no poll.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            system_events: Events::with_capacity(EVENTS_PER_ROUND),
            table: SocketTable::new(),
            events: VecDeque::new(),
            lingering: VecDeque::new(),
            lingering_count: 0,
            newly_lost: Vec::new(),
            lost: Vec::new(),
            accepted_count: 0,
            limits: ConnectionLimits {
                accepted: usize::MAX,
                all: usize::MAX,
            },
            accept_at: None,
            signals: None,
            read_buffer: vec![0; READ_BUFFER].into_boxed_slice(),
            unread_datagrams: Vec::new(),
        })
    }

    /// Reports these signals as [`SocketEvent::Signal`] from now on.
    ///
    /// # Errors
    ///
    /// A signal can't be watched.
    pub fn watch_signals(&mut self, signals: &[i32]) -> io::Result<()> {
        let mut watched = Signals::new(signals)?;
        self.poll
            .registry()
            .register(&mut watched, SIGNALS, Interest::READABLE)?;
        self.signals = Some(watched);
        Ok(())
    }

    /// Begins a connection; [`SocketEvent::Connected`] or [`SocketEvent::ConnectionLost`] follows.
    ///
    /// # Errors
    ///
    /// No descriptor is left, or there is no route to the address; see also [`is_resource_exhaustion`].
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<SocketId> {
        let stream = TcpStream::connect(to)?;
        self.insert(Socket::Connection(Box::new(Connection::connecting(stream))))
    }

    fn insert(&mut self, socket: Socket) -> io::Result<SocketId> {
        self.table.insert(self.poll.registry(), socket)
    }

    /// What has come in on a connection and was not taken yet; none once the connection is closed.
    pub fn input(&mut self, id: SocketId) -> Option<&mut BytesMut> {
        self.table
            .connection(id)
            .filter(|connection| !connection.is_lingering())
            .map(|connection| &mut connection.input)
    }

    /// Goes on reading after input was taken.
    pub fn resume_reading(&mut self, id: SocketId) {
        let can_read_on = self
            .table
            .connection(id)
            .is_some_and(|connection| connection.can_read_on());
        if can_read_on {
            self.read(id);
        }
    }

    /// Reads what the system holds, and reports it.
    fn read(&mut self, id: SocketId) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        let progress = connection.read_available(&mut self.read_buffer);
        if progress.has_news {
            self.events.push_back(SocketEvent::Readable(id));
        }
        if let Some(error) = progress.error {
            self.lose(id, error);
        }
    }

    /// Queues bytes and gives the system what it takes now. Those for a connection that is closed or lost are dropped.
    pub fn send(&mut self, id: SocketId, bytes: &[u8]) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.is_lingering() || connection.lost.is_some() {
            return;
        }
        if let Err(error) = connection.send(bytes) {
            self.lose(id, error.kind());
        }
    }

    /// Whether the peer has closed its side and all input before was read, or the connection is closed.
    pub fn has_ended(&mut self, id: SocketId) -> bool {
        self.table
            .connection(id)
            .is_none_or(|connection| connection.input_ended)
    }

    /// Whether the peer has closed its side or the connection is gone, though input may be left to read before it.
    pub fn has_peer_closed(&mut self, id: SocketId) -> bool {
        self.table.connection(id).is_none_or(|connection| {
            connection.input_ended || connection.peer_hung_up || connection.lost.is_some()
        })
    }

    /// Whether nothing has come in, neither a byte nor the end. Asks the system, which may know more than was reported.
    pub fn is_silent(&mut self, id: SocketId) -> bool {
        let Some(connection) = self.table.connection(id) else {
            return false;
        };
        connection.input.is_empty()
            && !connection.input_ended
            && connection.lost.is_none()
            && connection.is_system_input_empty()
    }

    /// Whether the system holds input that was not read yet.
    pub fn has_unread_input(&mut self, id: SocketId) -> bool {
        self.table
            .connection(id)
            .is_some_and(|connection| connection.has_system_input())
    }

    /// Bytes of a connection given to the system so far.
    pub fn bytes_written(&mut self, id: SocketId) -> u64 {
        self.table
            .connection(id)
            .map_or(0, |connection| connection.written)
    }

    /// Bytes of a connection that wait to be sent.
    pub fn unsent_bytes(&mut self, id: SocketId) -> usize {
        self.table
            .connection(id)
            .map_or(0, |connection| connection.output.len())
    }

    /// Bytes that wait to be sent on all connections together. It visits every socket, so it is not for each round.
    #[must_use]
    pub fn total_unsent_bytes(&self) -> usize {
        self.table
            .connections()
            .map(|connection| connection.output.len())
            .sum()
    }

    /// Sockets of all kinds that are open now.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.table.len()
    }
}
