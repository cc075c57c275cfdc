//! Listeners, TCP connections and datagram sockets on one `mio` poll. The module reports events and buffers bytes; it is
//! independent of any protocol.
//!
//! Reading stops while a connection's input buffer is full and continues with [`Sockets::resume_reading`], so that a peer
//! is not read faster than its input is consumed. The bytes buffered on all connections are counted; beyond a limit, reading
//! goes on in small pieces. When the process has no file descriptor left, accepting pauses and is
//! retried: further connections stay in the backlog.

mod closing;
mod connection;
mod datagrams;
mod event;
mod listener;
mod output_queue;
mod polling;
mod resource_limits;
mod socket_table;
#[cfg(test)]
mod tests;

pub use connection::{MAX_INPUT, MAX_INPUT_WHEN_SHORT};
pub use event::{SocketEvent, SocketId};
pub use resource_limits::{is_resource_exhaustion, resource_limits};

use bytes::{Bytes, BytesMut};
use connection::Connection;
use listener::ConnectionLimits;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll};
use polling::SIGNALS_TOKEN;
use signal_hook_mio::v1_0::Signals;
use socket_table::{Socket, SocketTable};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

/// The maximum number of system events handled in one round.
const EVENTS_PER_ROUND: usize = 1024;
/// The size of the read buffer shared by all sockets, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// All sockets of a process, driven by one thread: [`wait`](Self::wait) reports events, the other methods act
/// immediately. Ids of closed sockets are ignored.
pub struct Sockets {
    poll: Poll,
    system_events: Events,
    table: SocketTable,
    /// Events to be reported by the current or next round.
    events: VecDeque<SocketEvent>,
    /// Lingering connections in the order of their timeouts. Some may be closed already.
    lingering: VecDeque<SocketId>,
    lingering_count: usize,
    /// Connections lost in this round. Their input is reported in the same round.
    newly_lost: Vec<SocketId>,
    /// Connections lost in an earlier round. Their loss is reported in the next round.
    lost: Vec<SocketId>,
    /// Number of open connections accepted by a listener.
    accepted_count: usize,
    limits: ConnectionLimits,
    /// Bytes buffered on all connections together, without those that their owners share.
    buffered_bytes: usize,
    /// The number of buffered bytes from which on reading goes on in small pieces.
    max_buffered_bytes: usize,
    /// Connections whose input the owner may have taken since they were last counted.
    borrowed_inputs: Vec<SocketId>,
    /// When paused listeners accept again.
    accept_at: Option<Instant>,
    signals: Option<Signals>,
    read_buffer: Box<[u8]>,
    /// Sockets with more datagrams than one round reads.
    unread_datagrams: Vec<SocketId>,
}

impl Sockets {
    /// Creates a poll without sockets and without connection limits.
    ///
    /// # Errors
    ///
    /// The system can't create a poll.
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
            buffered_bytes: 0,
            max_buffered_bytes: usize::MAX,
            borrowed_inputs: Vec::new(),
            accept_at: None,
            signals: None,
            read_buffer: vec![0; READ_BUFFER_BYTES].into_boxed_slice(),
            unread_datagrams: Vec::new(),
        })
    }

    /// Starts to report these signals as [`SocketEvent::Signal`].
    ///
    /// # Errors
    ///
    /// A signal can't be watched.
    pub fn watch_signals(&mut self, signals: &[i32]) -> io::Result<()> {
        let mut watched = Signals::new(signals)?;
        self.poll
            .registry()
            .register(&mut watched, SIGNALS_TOKEN, Interest::READABLE)?;
        self.signals = Some(watched);
        Ok(())
    }

    /// Starts to connect; [`SocketEvent::Connected`] or [`SocketEvent::ConnectionLost`] follows.
    ///
    /// # Errors
    ///
    /// No file descriptor is left, or there is no route to the address; see also [`is_resource_exhaustion`].
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<SocketId> {
        let stream = TcpStream::connect(to)?;
        self.insert(Socket::Connection(Box::new(Connection::connecting(stream))))
    }

    fn insert(&mut self, socket: Socket) -> io::Result<SocketId> {
        self.table.insert(self.poll.registry(), socket)
    }

    /// Limits the bytes buffered on all connections together: from `max_bytes` on, at most [`MAX_INPUT_WHEN_SHORT`] bytes
    /// are read ahead on each connection. Output is counted, but not limited.
    pub fn limit_buffered_bytes(&mut self, max_bytes: usize) {
        self.max_buffered_bytes = max_bytes;
    }

    /// Number of bytes buffered on all connections together: input that is not taken yet, and output that is not sent yet,
    /// without shared output.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Updates the total of buffered bytes after a connection's buffers have changed.
    pub(super) fn count_buffered(&mut self, id: SocketId) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        let now = connection.buffered_bytes();
        let before = std::mem::replace(&mut connection.counted_bytes, now);
        self.buffered_bytes = self.buffered_bytes + now - before;
    }

    /// Frees the space of input that was taken, and counts the connections concerned anew.
    pub(super) fn release_taken_inputs(&mut self) {
        for id in std::mem::take(&mut self.borrowed_inputs) {
            if let Some(connection) = self.table.connection(id) {
                connection.is_input_borrowed = false;
                connection.release_taken_input();
                self.count_buffered(id);
            }
        }
    }

    /// The input received on a connection and not taken yet; `None` once the connection is closed.
    pub fn input(&mut self, id: SocketId) -> Option<&mut BytesMut> {
        let connection = self.table.connection(id)?;
        if connection.is_lingering() {
            return None;
        }
        if !connection.is_input_borrowed {
            connection.is_input_borrowed = true;
            self.borrowed_inputs.push(id);
        }
        Some(&mut connection.input)
    }

    /// Resumes reading after input was taken.
    pub fn resume_reading(&mut self, id: SocketId) {
        let can_resume_reading = self
            .table
            .connection(id)
            .is_some_and(|connection| connection.can_resume_reading());
        if can_resume_reading {
            self.read(id);
        }
    }

    /// Reports a connection as readable in the next round, so that its owner can leave input for then and serve others first.
    pub fn report_again(&mut self, id: SocketId) {
        self.events.push_back(SocketEvent::Readable(id));
    }

    /// Reads the available input and reports it.
    fn read(&mut self, id: SocketId) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        // The loss of a connection is reported only after its input is read.
        let is_short = self.buffered_bytes >= self.max_buffered_bytes && connection.lost.is_none();
        let max_input = if is_short {
            MAX_INPUT_WHEN_SHORT
        } else {
            MAX_INPUT
        };
        let progress = connection.read_available(&mut self.read_buffer, max_input);
        self.count_buffered(id);
        if progress.has_new_input {
            self.events.push_back(SocketEvent::Readable(id));
        }
        if let Some(error) = progress.error {
            self.mark_lost(id, error);
        }
    }

    /// Queues bytes and writes as many as the system accepts now. Bytes for a closed or lost connection are dropped.
    pub fn send(&mut self, id: SocketId, bytes: &[u8]) {
        self.send_with(id, |connection| connection.send(bytes));
    }

    /// Like [`send`](Self::send), but queues the bytes without copying them.
    pub fn send_shared(&mut self, id: SocketId, bytes: Bytes) {
        self.send_with(id, |connection| connection.send_shared(bytes));
    }

    fn send_with(&mut self, id: SocketId, send: impl FnOnce(&mut Connection) -> io::Result<()>) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.is_lingering() || connection.lost.is_some() {
            return;
        }
        let result = send(connection);
        self.count_buffered(id);
        if let Err(error) = result {
            self.mark_lost(id, error.kind());
        }
    }

    /// Whether the peer has closed its side and all earlier input has been read, or the connection is closed.
    pub fn has_ended(&mut self, id: SocketId) -> bool {
        self.table
            .connection(id)
            .is_none_or(|connection| connection.input_ended)
    }

    /// Whether the peer has closed its side or the connection is lost or closed, even if input is left to read.
    pub fn has_peer_closed(&mut self, id: SocketId) -> bool {
        self.table.connection(id).is_none_or(|connection| {
            connection.input_ended || connection.peer_hung_up || connection.lost.is_some()
        })
    }

    /// Whether neither input nor its end has arrived. Queries the system, which may have received more than was reported.
    pub fn is_silent(&mut self, id: SocketId) -> bool {
        let Some(connection) = self.table.connection(id) else {
            return false;
        };
        connection.input.is_empty()
            && !connection.input_ended
            && connection.lost.is_none()
            && connection.is_system_input_empty()
    }

    /// Whether the system's receive buffer contains input.
    pub fn has_unread_input(&mut self, id: SocketId) -> bool {
        self.table
            .connection(id)
            .is_some_and(|connection| connection.has_system_input())
    }

    /// Number of bytes written to a connection's socket so far.
    pub fn bytes_written(&mut self, id: SocketId) -> u64 {
        self.table
            .connection(id)
            .map_or(0, |connection| connection.written)
    }

    /// Number of bytes queued on a connection.
    pub fn unsent_bytes(&mut self, id: SocketId) -> usize {
        self.table
            .connection(id)
            .map_or(0, |connection| connection.output.len())
    }

    /// Number of bytes queued on all connections together. It visits every socket, so it is too slow for each round.
    #[must_use]
    pub fn total_unsent_bytes(&self) -> usize {
        self.table
            .connections()
            .map(|connection| connection.output.len())
            .sum()
    }

    /// Number of open sockets of all kinds.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.table.len()
    }
}
