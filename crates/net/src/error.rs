//! Why an HTTP/1.1 message is refused.

use thiserror::Error;

/// Why a message can't be read. After an error nothing more can be read from that connection; see also
/// [`MessageReader::take_incomplete`](crate::message_reader::MessageReader::take_incomplete).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head has more bytes or fields than [`HeadLimits`](crate::http::HeadLimits) allows.
    #[error("the head is larger than allowed")]
    HeadTooLarge,
    /// The head does not follow the grammar of HTTP/1.1.
    #[error("the head is not HTTP/1.1")]
    InvalidHead,
    /// A line of the head ends with a line feed alone.
    #[error("line ends without carriage return")]
    BareLineFeed,
    /// The length of the body is given twice, in two ways or not in digits.
    #[error("conflicting or doubled lengths")]
    ConflictingLengths,
    /// `Transfer-Encoding` names anything but `chunked` once.
    #[error("a transfer coding other than chunked")]
    UnsupportedCoding,
    /// A chunk's size, its end or a trailer field breaks the grammar or is too long.
    #[error("a broken chunk")]
    InvalidChunk,
    /// A request of HTTP/1.1 needs exactly one `Host`.
    #[error("more than one or no host")]
    InvalidHost,
    /// The peer closed its side before the message was complete.
    #[error("the message ended early")]
    UnexpectedEnd,
    /// The body has more bytes than its reader allows.
    #[error("the body is larger than allowed")]
    BodyTooLarge,
}

impl HttpError {
    /// The status code with which a server answers such a request (RFC 9110, 15.5 and 15.6; RFC 6585, 5).
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
