//! How the end of a body is marked.

/// How the end of a body is marked (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes; none for messages without a body.
    Length(u64),
    /// The body comes in chunks, the last of which is empty (RFC 9112, 7.1).
    Chunked,
    /// The body ends when the peer closes the connection; only responses are framed so.
    UntilClose,
}
