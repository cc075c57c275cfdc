//! Codec for both sides of version 3.0 of PostgreSQL's frontend/backend protocol, without I/O.
//!
//! Names follow the chapter "Frontend/Backend Protocol" of the PostgreSQL documentation. Every
//! length is checked before any byte that it covers is buffered. `docs/platform.md` explains why no
//! library is used for these messages.
//!
//! - [`MessageDecoder`] splits the bytes of a connection into messages.
//! - [`decode`] decodes the contents of messages, and the startup packet, which has no type byte.
//! - [`encode`] writes messages.
//! - [`backend`] and [`frontend`] define the type bytes of the messages of each side.

pub mod backend;
pub mod decode;
pub mod encode;
mod error;
pub mod frontend;
mod message;

pub use error::ProtocolError;
pub use message::{count_complete_messages, Message, MessageDecoder, Received};

/// Version 3.0 of the protocol, as sent in a StartupMessage.
pub const PROTOCOL_VERSION: u32 = 3 << 16;
