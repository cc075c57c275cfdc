//! Datagrams: unreliable by contract, so that failures to send or to receive one are not reported.

use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Datagrams read in a row before other sockets have their turn.
const DATAGRAM_BATCH: usize = 64;

impl Sockets {
    /// Opens a socket for datagrams; returns its id and the address that it is bound to. Each datagram that comes is
    /// reported as [`SocketEvent::Datagram`].
    ///
    /// # Errors
    ///
    /// The address is in use or not one of this machine's, or no descriptor is left.
    pub fn bind_datagrams(&mut self, at: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        let address = socket.local_addr()?;
        let id = self.insert(Socket::Datagrams(socket))?;
        Ok((id, address))
    }

    /// Sends one datagram. It is lost if the system does not take it now.
    pub fn send_datagram(&mut self, id: SocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.table.datagrams(id) {
            let _ = socket.send_to(bytes, to);
        }
    }

    pub(super) fn read_datagrams(&mut self, id: SocketId) {
        let Some(socket) = self.table.datagrams(id) else {
            return;
        };
        for _ in 0..DATAGRAM_BATCH {
            match socket.recv_from(&mut self.read_buffer) {
                Ok((length, from)) => self.events.push_back(SocketEvent::Datagram {
                    socket: id,
                    from,
                    bytes: self.read_buffer[..length].to_vec(),
                }),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The system reports the fate of a datagram that was sent earlier.
                Err(_) => {}
            }
        }
        self.unread_datagrams.push(id);
    }

    /// Reads on where an earlier round left datagrams.
    pub(super) fn resume_reading_datagrams(&mut self) {
        for id in std::mem::take(&mut self.unread_datagrams) {
            self.read_datagrams(id);
        }
    }
}
