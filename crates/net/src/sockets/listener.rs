//! Listeners: accepting within the limits on connections, and waiting when descriptors or memory have run out.

use super::connection::Connection;
use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// Connections accepted in a row before other sockets have their turn.
pub(super) const ACCEPT_BATCH: usize = 64;
/// How long a listener waits before it tries again when it could not accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A listening TCP socket.
pub(super) struct Listener {
    pub(super) socket: TcpListener,
    /// Connections may be left in the backlog.
    pub(super) has_backlog: bool,
}

/// How many connections may be open before accepting pauses.
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
    /// Other sockets have their turn first.
    BatchDone,
    /// There is no room for another connection, or the system refuses one.
    Exhausted,
}

impl Sockets {
    /// Opens a listener; returns its id and the address that it is bound to.
    ///
    /// # Errors
    ///
    /// The address is in use or not one of this machine's, or no descriptor is left.
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

    /// Accepts no connection while `accepted` accepted ones are open, or `all` sockets of any kind: further ones stay in
    /// the listeners' backlogs.
    pub fn limit_connections(&mut self, accepted: usize, all: usize) {
        self.limits = ConnectionLimits { accepted, all };
    }

    /// Accepts what waits at a listener, then closes it, as what is left in a backlog would be reset. Returns whether it
    /// is closed: when there is no room for a connection that may wait, it stays open.
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

    /// Accepts on all listeners that had to stop, once it is time.
    pub(super) fn resume_accepting(&mut self) {
        if self.accept_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.accept_at = None;
        for id in self.table.listeners_with_backlog() {
            self.accept(id);
        }
    }

    /// Accepts what waits at a listener that became readable.
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
            // Its peer sees it closed without an answer; the others stay in the backlog.
            Err(e) => self.pause_accepting(listener, e.kind()),
        }
    }

    /// The poll is edge-triggered and does not report again what waits, so a later round has to try again.
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
