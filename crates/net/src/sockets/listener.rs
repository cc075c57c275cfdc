//! Listeners: accepting within the connection limits, and pausing when file descriptors or memory have run out.

use super::connection::Connection;
use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// Connections accepted per listener and round, so that other sockets are not starved.
pub(super) const ACCEPT_BATCH: usize = 64;
/// How long a listener waits before it retries after a failure to accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A listening TCP socket.
pub(super) struct Listener {
    pub(super) socket: TcpListener,
    /// The backlog may contain connections.
    pub(super) has_backlog: bool,
}

/// The numbers of open sockets at which accepting pauses.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLimits {
    pub(super) accepted: usize,
    pub(super) all: usize,
}

/// Why accepting stopped.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptStop {
    /// The backlog is empty.
    BacklogEmpty,
    /// The batch limit is reached; accepting continues in the next round.
    BatchDone,
    /// A connection limit is reached, or the system failed to accept.
    Exhausted,
}

impl Sockets {
    /// Opens a listener; returns its id and bound address.
    ///
    /// # Errors
    ///
    /// The address is in use or not one of this machine's, or no file descriptor is left.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let socket = TcpListener::bind(at)?;
        let address = socket.local_addr()?;
        let listener = Listener {
            socket,
            has_backlog: false,
        };
        let id = self.insert(Socket::Listener(listener))?;
        Ok((id, address))
    }

    /// Stops accepting while `accepted` accepted connections, or `all` sockets of any kind, are open. Further connections
    /// stay in the listeners' backlogs.
    pub fn limit_connections(&mut self, accepted: usize, all: usize) {
        self.limits = ConnectionLimits { accepted, all };
    }

    /// Accepts the connections in a listener's backlog, then closes the listener, as connections left in the backlog would
    /// be reset. Returns whether it is closed: it stays open while a connection may wait for which there is no room.
    pub fn stop_listening(&mut self, id: SocketId) -> bool {
        while self.table.listener(id).is_some() {
            let accepted_before = self.accepted_count;
            match self.accept(id) {
                AcceptStop::BacklogEmpty => self.close(id),
                AcceptStop::BatchDone if self.accepted_count > accepted_before => {}
                AcceptStop::BatchDone | AcceptStop::Exhausted => return false,
            }
        }
        true
    }

    /// Resumes accepting on all listeners that had to pause, once their delay has passed.
    pub(super) fn resume_accepting(&mut self) {
        if self.accept_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.accept_at = None;
        for id in self.table.listeners_with_backlog() {
            self.accept(id);
        }
    }

    /// Accepts the connections that wait at a listener that became readable.
    pub(super) fn on_listener_readable(&mut self, id: SocketId) {
        self.accept(id);
    }

    fn accept(&mut self, id: SocketId) -> AcceptStop {
        for _ in 0..ACCEPT_BATCH {
            if let ControlFlow::Break(stop) = self.accept_one(id) {
                return stop;
            }
        }
        if let Some(listener) = self.table.listener(id) {
            listener.has_backlog = true;
            self.accept_at = Some(Instant::now());
        }
        AcceptStop::BatchDone
    }

    fn accept_one(&mut self, id: SocketId) -> ControlFlow<AcceptStop> {
        let open_count = self.table.len();
        let Some(listener) = self.table.listener(id) else {
            return ControlFlow::Break(AcceptStop::BacklogEmpty);
        };
        listener.has_backlog = false;
        if self.accepted_count >= self.limits.accepted || open_count >= self.limits.all {
            return self.pause_accepting(id, ErrorKind::QuotaExceeded);
        }
        match listener.socket.accept() {
            Ok((stream, from)) => self.add_accepted(id, stream, from),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                ControlFlow::Break(AcceptStop::BacklogEmpty)
            }
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                ) =>
            {
                ControlFlow::Continue(())
            }
            Err(e) => self.pause_accepting(id, e.kind()),
        }
    }

    fn add_accepted(
        &mut self,
        listener: SocketId,
        stream: TcpStream,
        from: SocketAddr,
    ) -> ControlFlow<AcceptStop> {
        let connection = Connection::accepted(stream);
        match self.insert(Socket::Connection(Box::new(connection))) {
            Ok(socket) => {
                self.accepted_count += 1;
                self.events.push_back(SocketEvent::Accepted {
                    listener,
                    socket,
                    from,
                });
                ControlFlow::Continue(())
            }
            // The peer sees the connection closed without a response; other connections stay in the backlog.
            Err(e) => self.pause_accepting(listener, e.kind()),
        }
    }

    /// Schedules a retry: the poll is edge-triggered and does not report waiting connections again.
    fn pause_accepting(&mut self, id: SocketId, error: ErrorKind) -> ControlFlow<AcceptStop> {
        if let Some(listener) = self.table.listener(id) {
            listener.has_backlog = true;
        }
        self.accept_at = Some(Instant::now() + ACCEPT_RETRY_DELAY);
        self.events.push_back(SocketEvent::AcceptFailed {
            listener: id,
            error,
        });
        ControlFlow::Break(AcceptStop::Exhausted)
    }
}
