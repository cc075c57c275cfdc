//! Codec of PostgreSQL's frontend/backend protocol, version 3.0, for both sides and free of I/O.
//!
//! Names are those of the chapter "Frontend/Backend Protocol" of PostgreSQL's documentation. Every length is checked before
//! a byte that it announces is buffered. `docs/platform.md` says why no library reads these messages.
//!
//! - [`MessageDecoder`] takes messages off the bytes of a connection.
//! - [`decode`] reads the contents of messages, and the startup packet, which has no type byte.
//! - [`encode`] writes messages.
//! - [`backend`] and [`frontend`] hold the type bytes of messages of either side.

pub mod backend;
pub mod decode;
pub mod encode;
mod error;
pub mod frontend;
mod message;

pub use error::ProtocolError;
pub use message::{count_complete_messages, Message, MessageDecoder};

/// Version 3.0 of the protocol, as in a StartupMessage.
pub const PROTOCOL_VERSION: u32 = 3 << 16;
