//! Splits the bytes of a connection into messages.

use crate::ProtocolError;
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of the type and the length of a message.
const HEADER_LENGTH: usize = 5;
/// Bytes of the length field, which includes itself.
const LENGTH_FIELD: usize = 4;

/// A message: its type byte and its body, which follows the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The type byte; see [`backend`](crate::backend) and [`frontend`](crate::frontend).
    pub kind: u8,
    /// The body.
    pub body: Bytes,
}

/// The header of a message whose body is incomplete.
#[derive(Clone, Copy)]
struct Header {
    kind: u8,
    body_length: usize,
}

/// Splits the bytes of a connection into messages, and buffers an incomplete one.
#[derive(Default)]
pub struct MessageDecoder {
    header: Option<Header>,
    body: BytesMut,
}

impl MessageDecoder {
    /// Whether the header of a message has been read and its body is incomplete.
    #[must_use]
    pub fn is_mid_message(&self) -> bool {
        self.header.is_some()
    }

    /// Returns the number of buffered bytes of an incomplete body.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.body.len()
    }

    /// Takes the next message from the front of `input`; returns `None` while it is incomplete.
    /// `max_length` returns the maximum body length for a type byte, in bytes, or `None` if the
    /// type is not allowed.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a message, or not one that is allowed.
    pub fn next_message(
        &mut self,
        input: &mut BytesMut,
        max_length: impl Fn(u8) -> Option<usize>,
    ) -> Result<Option<Message>, ProtocolError> {
        let header = match self.header {
            Some(header) => header,
            None => match take_header(input, max_length)? {
                Some(header) => header,
                None => return Ok(None),
            },
        };
        Ok(self.take_body(input, header))
    }

    fn take_body(&mut self, input: &mut BytesMut, header: Header) -> Option<Message> {
        let Header { kind, body_length } = header;
        if self.body.is_empty() && input.len() >= body_length {
            // The input contains the whole body, so nothing is copied.
            self.header = None;
            let body = input.split_to(body_length).freeze();
            return Some(Message { kind, body });
        }
        let missing = body_length - self.body.len();
        let part = input.split_to(input.len().min(missing));
        self.body.extend_from_slice(&part);
        if self.body.len() < body_length {
            self.header = Some(header);
            return None;
        }
        self.header = None;
        let body = std::mem::take(&mut self.body).freeze();
        Some(Message { kind, body })
    }
}

fn take_header(
    input: &mut BytesMut,
    max_length: impl Fn(u8) -> Option<usize>,
) -> Result<Option<Header>, ProtocolError> {
    // A type that is not allowed is rejected at its first byte.
    let Some(kind) = input.first().copied() else {
        return Ok(None);
    };
    let max_length = max_length(kind).ok_or(ProtocolError::UnexpectedMessage)?;
    if input.len() < HEADER_LENGTH {
        return Ok(None);
    }
    let length_field = i32::from_be_bytes([input[1], input[2], input[3], input[4]]);
    let body_length = usize::try_from(length_field)
        .ok()
        .and_then(|length| length.checked_sub(LENGTH_FIELD))
        .ok_or(ProtocolError::InvalidLength)?;
    if body_length > max_length {
        return Err(ProtocolError::UnexpectedMessage);
    }
    input.advance(HEADER_LENGTH);
    Ok(Some(Header { kind, body_length }))
}

/// Counts the complete messages at the front of `input`, up to `limit`.
#[must_use]
pub fn count_complete_messages(mut input: &[u8], limit: usize) -> usize {
    let mut count = 0;
    while count < limit && input.len() >= HEADER_LENGTH {
        let length = u32::from_be_bytes([input[1], input[2], input[3], input[4]]) as usize;
        let Some(rest) = input.get(1 + length.max(LENGTH_FIELD)..) else {
            break;
        };
        input = rest;
        count += 1;
    }
    count
}
