//! Sockets, the HTTP/1.1 codec and timers. Nothing here decides what is sent where.
//!
//! - [`sockets`]: listeners, connections and datagrams on one `mio` poll
//! - [`http`]: heads of messages, parsed and written
//! - [`body`]: bodies of messages, piece by piece
//! - [`message_reader`]: complete messages
//! - [`http_call`]: one call on a connection of its own
//! - [`timer_wheel`]: many timers
//!
//! All but [`sockets`] and [`http_call`] is free of I/O.

pub mod body;
mod error;
mod framing;
pub mod http;
pub mod http_call;
pub mod message_reader;
pub mod sockets;
pub mod timer_wheel;
