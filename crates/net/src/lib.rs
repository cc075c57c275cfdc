//! Sockets, the HTTP/1.1 codec and timers. Routing decisions are made elsewhere.
//!
//! - [`sockets`]: listeners, connections and datagrams on one `mio` poll
//! - [`http`]: message heads: parsing and serialization
//! - [`body`]: message bodies, streamed without buffering
//! - [`message_reader`]: complete messages, buffered in memory
//! - [`http_call`]: one HTTP call on a dedicated connection
//! - [`timer_wheel`]: a hierarchical timer wheel
//!
//! All modules except [`sockets`] and [`http_call`] are free of I/O.

pub mod body;
mod error;
mod framing;
pub mod http;
pub mod http_call;
pub mod message_reader;
pub mod sockets;
pub mod timer_wheel;
