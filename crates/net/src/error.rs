//! Errors of the HTTP/1.1 codec.

use thiserror::Error;

/// A message that can't be read. After an error nothing more can be read from that connection, except as described at
/// [`MessageReader::take_incomplete`](crate::message_reader::MessageReader::take_incomplete).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head exceeds the size or number of fields allowed by [`HeadLimits`](crate::http::HeadLimits).
    #[error("the head is larger than allowed")]
    HeadTooLarge,
    /// The head violates the grammar of HTTP/1.1.
    #[error("the head is not HTTP/1.1")]
    InvalidHead,
    /// A line of the head ends with a line feed alone.
    #[error("line ends without carriage return")]
    BareLineFeed,
    /// The body length is given twice, in conflicting ways or not in digits.
    #[error("conflicting or doubled lengths")]
    ConflictingLengths,
    /// `Transfer-Encoding` is anything other than a single `chunked`.
    #[error("a transfer coding other than chunked")]
    UnsupportedCoding,
    /// A chunk size, a chunk end or a trailer field is malformed or too long.
    #[error("a broken chunk")]
    InvalidChunk,
    /// An HTTP/1.1 request does not have exactly one `Host` field.
    #[error("more than one or no host")]
    InvalidHost,
    /// The peer closed its side of the connection before the message was complete.
    #[error("the message ended early")]
    UnexpectedEnd,
    /// The body exceeds the size limit of its reader.
    #[error("the body is larger than allowed")]
    BodyTooLarge,
}

impl HttpError {
    /// The status code of the response to a request with this error (RFC 9110, 15.5 and 15.6; RFC 6585, 5).
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLarge => 431,
            HttpError::UnsupportedCoding => 501,
            HttpError::BodyTooLarge => 413,
            HttpError::InvalidHead
            | HttpError::BareLineFeed
            | HttpError::ConflictingLengths
            | HttpError::InvalidChunk
            | HttpError::InvalidHost
            | HttpError::UnexpectedEnd => 400,
        }
    }
}
