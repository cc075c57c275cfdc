//! The open sockets by id, and their registration with the poll.

use super::connection::Connection;
use super::event::SocketId;
use super::listener::Listener;
use mio::net::UdpSocket;
use mio::{Interest, Registry};
use slab::Slab;
use std::io;

/// Clears the highest bit, so that no id equals the poll token of signals.
const GENERATION_MASK: u32 = 0x7fff_ffff;

/// An open socket.
pub(super) enum Socket {
    Listener(Listener),
    Connection(Box<Connection>),
    Datagrams(UdpSocket),
}

struct Slot {
    /// Distinguishes consecutive sockets in the same slot.
    generation: u32,
    socket: Socket,
}

/// The open sockets. A lookup by the id of a removed socket finds nothing.
pub(super) struct SocketTable {
    slots: Slab<Slot>,
    last_generation: u32,
}

impl SocketTable {
    pub(super) fn new() -> Self {
        Self {
            slots: Slab::new(),
            last_generation: 0,
        }
    }

    /// The number of open sockets.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds a socket and registers it with the poll.
    ///
    /// # Errors
    ///
    /// The poll can't register the socket, which is then closed.
    pub(super) fn insert(&mut self, registry: &Registry, socket: Socket) -> io::Result<SocketId> {
        self.last_generation = self.last_generation.wrapping_add(1) & GENERATION_MASK;
        let generation = self.last_generation;
        let index = self.slots.insert(Slot { generation, socket });
        let id = SocketId::new(generation, index);
        if let Err(error) = self.slots[index].socket.register(registry, id) {
            self.slots.remove(index);
            return Err(error);
        }
        Ok(id)
    }

    /// Removes a socket and ends its registration.
    pub(super) fn remove(&mut self, registry: &Registry, id: SocketId) -> Option<Socket> {
        self.get_mut(id)?;
        let mut socket = self.slots.remove(id.index()).socket;
        // A failure is harmless: the socket is closed next, which also ends the registration.
        let _ = socket.deregister(registry);
        Some(socket)
    }

    pub(super) fn get_mut(&mut self, id: SocketId) -> Option<&mut Socket> {
        let slot = self.slots.get_mut(id.index())?;
        if slot.generation != id.generation() {
            return None;
        }
        Some(&mut slot.socket)
    }

    pub(super) fn connection(&mut self, id: SocketId) -> Option<&mut Connection> {
        match self.get_mut(id)? {
            Socket::Connection(connection) => Some(connection),
            Socket::Listener(_) | Socket::Datagrams(_) => None,
        }
    }

    pub(super) fn listener(&mut self, id: SocketId) -> Option<&mut Listener> {
        match self.get_mut(id)? {
            Socket::Listener(listener) => Some(listener),
            Socket::Connection(_) | Socket::Datagrams(_) => None,
        }
    }

    pub(super) fn datagrams(&mut self, id: SocketId) -> Option<&mut UdpSocket> {
        match self.get_mut(id)? {
            Socket::Datagrams(socket) => Some(socket),
            Socket::Listener(_) | Socket::Connection(_) => None,
        }
    }

    /// All connections, in slot order.
    pub(super) fn connections(&self) -> impl Iterator<Item = &Connection> {
        self.slots
            .iter()
            .filter_map(|(_, slot)| match &slot.socket {
                Socket::Connection(connection) => Some(&**connection),
                Socket::Listener(_) | Socket::Datagrams(_) => None,
            })
    }

    /// The listeners whose backlog may contain connections, in slot order.
    pub(super) fn listeners_with_backlog(&self) -> Vec<SocketId> {
        self.slots
            .iter()
            .filter(|(_, slot)| {
                matches!(&slot.socket, Socket::Listener(listener) if listener.has_backlog)
            })
            .map(|(index, slot)| SocketId::new(slot.generation, index))
            .collect()
    }
}

impl Socket {
    fn register(&mut self, registry: &Registry, id: SocketId) -> io::Result<()> {
        match self {
            Socket::Listener(listener) => {
                registry.register(&mut listener.socket, id.token(), Interest::READABLE)
            }
            Socket::Connection(connection) => connection.register(registry, id.token()),
            Socket::Datagrams(socket) => registry.register(socket, id.token(), Interest::READABLE),
        }
    }

    fn deregister(&mut self, registry: &Registry) -> io::Result<()> {
        match self {
            Socket::Listener(listener) => registry.deregister(&mut listener.socket),
            Socket::Connection(connection) => connection.deregister(registry),
            Socket::Datagrams(socket) => registry.deregister(socket),
        }
    }
}
