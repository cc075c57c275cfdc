//! What carries bytes: sockets on `mio` (`sockets`), HTTP/1.1 (`http`, `body`, `message`, `call`), due times (`wheel`).
//! Nothing here decides what is sent where. All but `sockets` and `call` is free of I/O: bytes in, bytes out.

pub mod body;
pub mod call;
pub mod http;
pub mod message;
pub mod sockets;
pub mod wheel;
