//! Connections to a service of the platform, whose address may change while a connection is open.

use limewing_net::sockets::SocketId;

/// The connections to a service that streams updates. After a change of address, the connection to
/// the former address is read to its end beside the new one.
#[derive(Default)]
pub(super) struct ServiceConnections {
    current: Option<SocketId>,
    former: Option<SocketId>,
}

/// Which connection to a service has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndedConnection {
    Current,
    /// The connection to the former address.
    Former,
    /// A connection that was abandoned before.
    Unknown,
}

impl ServiceConnections {
    pub(super) fn is_open(&self) -> bool {
        self.current.is_some()
    }

    pub(super) fn is_current(&self, socket: SocketId) -> bool {
        self.current == Some(socket)
    }

    pub(super) fn set_current(&mut self, socket: SocketId) {
        self.current = Some(socket);
    }

    /// Handles a change of address: the current connection becomes the former one. Returns the
    /// previous former connection, which the caller must close.
    pub(super) fn begin_move(&mut self) -> Option<SocketId> {
        let current = self.current.take();
        std::mem::replace(&mut self.former, current)
    }

    /// Removes a connection that has ended.
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
