//! Why bytes are no message.

use thiserror::Error;

/// Bytes that can't be a message, or not one that is allowed. Nothing more can be read from their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The announced length is below that of the length itself, or above what a startup packet may have.
    #[error("a length that no message has")]
    InvalidLength,
    /// The message is longer than the caller allows for its type, or the type has no place here.
    #[error("a message that is larger than allowed, or of no kind that is expected")]
    UnexpectedMessage,
    /// The content does not have the form of its message.
    #[error("a message whose content can't be read")]
    InvalidContent,
}
