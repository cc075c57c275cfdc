//! Protocol errors.

use thiserror::Error;

/// The received bytes are not a message, or not one that is allowed. Nothing more can be read from
/// the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length field is smaller than the field itself, or larger than allowed for a startup
    /// packet.
    #[error("a length that no message has")]
    InvalidLength,
    /// The message is longer than the caller allows for its type, or its type is not allowed.
    #[error("a message that is larger than allowed, or of no kind that is expected")]
    UnexpectedMessage,
    /// The content does not match the format of the message.
    #[error("a message whose content can't be read")]
    InvalidContent,
}
