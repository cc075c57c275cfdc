//! What carries bytes: sockets on `mio` (`sockets`), HTTP/1.1 (`http`, `body`, `message`, `call`), due times (`wheel`).
//! Nothing here decides what is sent where. All but `sockets` and `call` is free of I/O: bytes in, bytes out.

// Not done yet, see "Readable code" in docs/ROADMAP.md: names, documentation and sizes of this package.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod body;
pub mod http;
pub mod http_call;
pub mod message_reader;
pub mod sockets;
pub mod timer_wheel;
