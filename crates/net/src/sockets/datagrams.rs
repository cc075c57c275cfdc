//! Datagram sockets. Datagrams are unreliable by contract, so failures to send or receive one are not reported.

use super::event::{SocketEvent, SocketId};
use super::socket_table::Socket;
use super::Sockets;
use mio::net::UdpSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Datagrams read from one socket per round, so that other sockets are not starved.
const DATAGRAM_BATCH: usize = 64;

impl Sockets {
    /// Opens a datagram socket; returns its id and bound address. Each datagram received is reported as
    /// [`SocketEvent::Datagram`].
    ///
    /// # Errors
    ///
    /// The address is in use or not one of this machine's, or no file descriptor is left.
    pub fn bind_datagrams(&mut self, at: SocketAddr) -> io::Result<(SocketId, SocketAddr)> {
        let socket = UdpSocket::bind(at)?;
        let address = socket.local_addr()?;
        let id = self.insert(Socket::Datagrams(socket))?;
        Ok((id, address))
    }

    /// Sends one datagram. It is lost if the system does not accept it immediately.
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
                // The error concerns a datagram that was sent earlier.
                Err(_) => {}
            }
        }
        self.unread_datagrams.push(id);
    }

    /// Resumes reading from sockets with datagrams left over from an earlier round.
    pub(super) fn resume_reading_datagrams(&mut self) {
        for id in std::mem::take(&mut self.unread_datagrams) {
            self.read_datagrams(id);
        }
    }
}
