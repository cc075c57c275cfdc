//! Connections that end: closed by their owner, at once or after their last bytes, or lost.

use super::connection::LingerProgress;
use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use bytes::BytesMut;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// How long a closing connection may take to send its last bytes and to be closed by the peer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

impl Sockets {
    /// Closes a socket at once; no more events of it follow.
    pub fn close(&mut self, id: SocketId) {
        let Some(socket) = self.table.remove(self.poll.registry(), id) else {
            return;
        };
        if let Socket::Connection(connection) = &socket {
            self.accepted_count -= usize::from(connection.accepted);
            self.lingering_count -= usize::from(connection.is_lingering());
        }
        // There is room now for a connection that waits to be accepted.
        if self.accept_at.is_some() {
            self.accept_at = Some(Instant::now());
        }
    }

    /// Closes a connection once all is sent; no more events of it follow. Until the peer closes too, its input is read and
    /// discarded: the system would answer unread input with a reset, which can destroy what was sent last.
    pub fn close_when_sent(&mut self, id: SocketId) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.is_lingering() {
            return;
        }
        if connection.lost.is_some() {
            return self.close(id);
        }
        connection.linger_until = Some(Instant::now() + LINGER_TIMEOUT);
        connection.input = BytesMut::new();
        self.lingering_count += 1;
        self.lingering.push_back(id);
        self.linger(id);
    }

    /// Whether connections that were closed with [`close_when_sent`](Self::close_when_sent) still send their last bytes
    /// or wait for their peers to close.
    #[must_use]
    pub fn has_lingering(&self) -> bool {
        self.lingering_count > 0
    }

    pub(super) fn linger(&mut self, id: SocketId) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.linger() == LingerProgress::Finished {
            self.close(id);
        }
    }

    /// Closes connections that linger for too long; returns how long until the next one is due.
    pub(super) fn close_overdue(&mut self) -> Option<Duration> {
        let now = Instant::now();
        while let Some(id) = self.lingering.front().copied() {
            let linger_until = self
                .table
                .connection(id)
                .and_then(|connection| connection.linger_until);
            match linger_until {
                Some(until) if until > now => return Some(until - now),
                _ => {
                    self.lingering.pop_front();
                    self.close(id);
                }
            }
        }
        None
    }

    /// Notes that a connection is gone. Its last input is read first: a complete response can stand before a reset, and
    /// still be with the system when a write fails.
    pub(super) fn lose(&mut self, id: SocketId, error: ErrorKind) {
        let Some(connection) = self.table.connection(id) else {
            return;
        };
        if connection.lost.is_some() {
            return;
        }
        if connection.is_lingering() {
            return self.close(id);
        }
        connection.lost = Some(error);
        connection.output = BytesMut::new();
        let was_established = !connection.connecting;
        self.newly_lost.push(id);
        if was_established {
            self.read(id);
        }
    }

    /// Reports connections that were lost in an earlier round, whose owners could read their input since.
    pub(super) fn report_lost(&mut self) {
        for id in std::mem::take(&mut self.lost) {
            let Some(connection) = self.table.connection(id) else {
                continue;
            };
            if connection.can_read_on() {
                // Its owner has taken input, and there is more: it has another round.
                self.read(id);
                self.newly_lost.push(id);
                continue;
            }
            let written = connection.written;
            let error = connection.lost.unwrap_or(ErrorKind::Other);
            self.close(id);
            self.events.push_back(SocketEvent::ConnectionLost {
                socket: id,
                written,
                error,
            });
        }
    }
}
