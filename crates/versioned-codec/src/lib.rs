//! The envelope of messages between sidecars: one version byte, then the message in [postcard](https://postcard.jamesmunns.com)'s encoding.
//!
//! The cores without I/O (consensus, replication, maintenance, coordination) encode what they send with [`encode`] and read what
//! they receive with [`decode`]. The version is that of the format of one core's messages; bounds on lengths and counts are the
//! core's own to check.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Why bytes are no message of the expected version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is of another version of the format.
    #[error("version {found}, expected {expected}")]
    Version {
        /// The version byte that came.
        found: u8,
        /// The version that can be read.
        expected: u8,
    },
    /// The bytes are empty, cut short, or no encoding of the message's type.
    #[error("malformed message")]
    Malformed,
}

/// Encodes a message behind its version byte. Empty if the message cannot be encoded, which no type of the cores can cause.
pub fn encode<T: Serialize>(version: u8, message: &T) -> Vec<u8> {
    postcard::to_extend(message, vec![version]).unwrap_or_default()
}

/// Decodes a message; bytes behind it are ignored, as postcard's `from_bytes` does.
///
/// # Errors
/// The version is another one, or the bytes are malformed.
pub fn decode<T: DeserializeOwned>(version: u8, bytes: &[u8]) -> Result<T, DecodeError> {
    let (message, _rest) = decode_prefix(version, bytes)?;
    Ok(message)
}

/// Decodes a message and returns the bytes behind it, where later versions of a sender may append fields.
///
/// # Errors
/// The version is another one, or the bytes are malformed.
pub fn decode_prefix<T: DeserializeOwned>(
    version: u8,
    bytes: &[u8],
) -> Result<(T, &[u8]), DecodeError> {
    let (found, body) = bytes.split_first().ok_or(DecodeError::Malformed)?;
    if *found != version {
        return Err(DecodeError::Version {
            found: *found,
            expected: version,
        });
    }
    postcard::take_from_bytes(body).map_err(|_| DecodeError::Malformed)
}
