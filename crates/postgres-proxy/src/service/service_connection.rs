//! The connection to one of the platform's services, which may move while the connection is open.

use limewing_net::sockets::SocketId;

/// The connections to a service that sends all the time. After a move the one to the former address is read to its end
/// beside the new one.
#[derive(Default)]
pub(super) struct ServiceConnections {
    current: Option<SocketId>,
    former: Option<SocketId>,
}

/// Which of a service's connections has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndedConnection {
    Current,
    /// The one to the former address.
    Former,
    /// One that was given up before.
    Unknown,
}

impl ServiceConnections {
    pub(super) fn is_open(&self) -> bool {
        self.current.is_some()
    }

    pub(super) fn set_current(&mut self, socket: SocketId) {
        self.current = Some(socket);
    }

    /// The service has moved: the current connection becomes the former one. Returns the one that was the former one until
    /// now, which the caller has to close.
    pub(super) fn begin_move(&mut self) -> Option<SocketId> {
        let current = self.current.take();
        std::mem::replace(&mut self.former, current)
    }

    /// Forgets a connection that has ended.
    pub(super) fn remove(&mut self, socket: SocketId) -> EndedConnection {
        if self.former == Some(socket) {
            self.former = None;
            EndedConnection::Former
        } else if self.current == Some(socket) {
            self.current = None;
            EndedConnection::Current
        } else {
            EndedConnection::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
