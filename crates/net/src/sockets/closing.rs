//! Closing of connections: immediately, after pending output is sent, or because they were lost.

use super::connection::LingerProgress;
use super::event::{SocketEvent, SocketId};
use super::output_queue::OutputQueue;
use super::socket_table::Socket;
use super::Sockets;
use bytes::BytesMut;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// How long a closing connection may take to send its pending output and to be closed by the peer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

impl Sockets {
    /// Closes a socket immediately; it causes no further events.
    pub fn close(&mut self, id: SocketId) {
        let Some(socket) = self.table.remove(self.poll.registry(), id) else {
            return;
        };
        if let Socket::Connection(connection) = &socket {
            self.accepted_count -= usize::from(connection.accepted);
            self.lingering_count -= usize::from(connection.is_lingering());
            self.buffered_bytes -= connection.counted_bytes;
        }
        // There is now room for a connection waiting in a backlog.
        if self.accept_at.is_some() {
            self.accept_at = Some(Instant::now());
        }
    }

    /// Closes a connection once its output is sent; it causes no further events. Its input is read and discarded until the
    /// peer closes too: the system would respond to unread input with a reset, which can destroy the output sent last.
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
        self.count_buffered(id);
        self.lingering_count += 1;
        self.lingering.push_back(id);
        self.linger(id);
    }

    /// Whether connections closed with [`close_when_sent`](Self::close_when_sent) still have output to send or wait for
    /// their peers to close.
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

    /// Closes connections whose linger timeout has expired; returns the time until the next timeout.
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

    /// Marks a connection as lost. Its remaining input is read first: a complete response can precede a reset and still be
    /// in the system's receive buffer when a write fails.
    pub(super) fn mark_lost(&mut self, id: SocketId, error: ErrorKind) {
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
        connection.output = OutputQueue::default();
        let was_established = !connection.connecting;
        self.count_buffered(id);
        self.newly_lost.push(id);
        if was_established {
            self.read(id);
        }
    }

    /// Reports connections lost in an earlier round, whose owners have had a chance to read their input.
    pub(super) fn report_lost(&mut self) {
        for id in std::mem::take(&mut self.lost) {
            let Some(connection) = self.table.connection(id) else {
                continue;
            };
            if connection.can_resume_reading() {
                // The owner has taken input and more is available, so the loss is reported a round later.
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
