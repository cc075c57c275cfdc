//! Message body framing.

/// How the end of a message body is determined (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes; 0 for messages without a body.
    Length(u64),
    /// The body is sent in chunks, of which the last is empty (RFC 9112, 7.1).
    Chunked,
    /// The body ends when the peer closes the connection; only responses use this framing.
    UntilClose,
}
