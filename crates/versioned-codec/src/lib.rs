//! Envelope of messages between sidecars: one version byte, then the message in
//! [postcard](https://postcard.jamesmunns.com)'s encoding.
//!
//! The sans-I/O crates (consensus, replication, maintenance, coordination) encode what they send
//! with [`encode`] and read what they receive with [`decode`]. The version is that of one crate's
//! message format; each crate checks bounds on lengths and counts itself.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Reason why bytes cannot be decoded as a message of the expected version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is of another format version.
    #[error("unsupported message version {found}, expected {expected}")]
    Version {
        /// Version byte of the message.
        found: u8,
        /// Version supported by the reader.
        expected: u8,
    },
    /// The bytes are empty, truncated or not an encoding of the message's type.
    #[error("malformed message")]
    Malformed,
}

/// Encodes a message after its version byte. The result is empty if the message cannot be encoded,
/// which does not happen with the message types of these crates.
pub fn encode<T: Serialize>(version: u8, message: &T) -> Vec<u8> {
    postcard::to_extend(message, vec![version]).unwrap_or_default()
}

/// Decodes a message. Bytes after it are ignored, as by postcard's `from_bytes`.
///
/// # Errors
/// The version differs, or the bytes are malformed.
pub fn decode<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Result<T, DecodeError> {
    let (message, _remaining) = decode_prefix(version, bytes)?;
    Ok(message)
}

/// Decodes a message and returns the bytes after it, where later versions may append fields.
///
/// # Errors
/// The version differs, or the bytes are malformed.
pub fn decode_prefix<T: DeserializeOwned>(
    version: u8,
    bytes: &[u8],
) -> Result<(T, &[u8]), DecodeError> {
    let (found, encoded) = bytes.split_first().ok_or(DecodeError::Malformed)?;
    if *found != version {
        return Err(DecodeError::Version {
            found: *found,
            expected: version,
        });
    }
    postcard::take_from_bytes(encoded).map_err(|_| DecodeError::Malformed)
}
