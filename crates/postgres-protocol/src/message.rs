//! Splits the bytes of a connection into messages.

use crate::ProtocolError;
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of the type and the length of a message.
const HEADER_LENGTH: usize = 5;
/// Bytes of the length field, which includes itself.
pub(crate) const LENGTH_FIELD: usize = 4;

/// A message: its type byte and its body, which follows the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The type byte; see [`backend`](crate::backend) and [`frontend`](crate::frontend).
    pub kind: u8,
    /// The body.
    pub body: Bytes,
}

/// What has been received on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A complete message.
    Message(Message),
    /// A complete message of this type, whose body was not buffered.
    Discarded(u8),
}

/// The type byte and the body length of a message.
#[derive(Clone, Copy)]
struct Header {
    kind: u8,
    body_length: usize,
}

/// A message whose body is incomplete.
#[derive(Clone, Copy)]
struct IncompleteMessage {
    kind: u8,
    /// Bytes of the body that have not arrived.
    missing: usize,
    is_discarded: bool,
}

/// Factor by which the space for a body exceeds the bytes that have arrived, up to the whole body.
const BODY_GROWTH: usize = 4;

/// Splits the bytes of a connection into messages, and buffers an incomplete one.
#[derive(Default)]
pub struct MessageDecoder {
    incomplete: Option<IncompleteMessage>,
    body: BytesMut,
}

impl MessageDecoder {
    /// Whether the header of a message has been read and its body is incomplete.
    #[must_use]
    pub fn is_mid_message(&self) -> bool {
        self.incomplete.is_some()
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
        match self.next_within_memory(input, max_length, |_| true)? {
            Some(Received::Message(message)) => Ok(Some(message)),
            Some(Received::Discarded(_)) | None => Ok(None),
        }
    }

    /// Like [`next_message`](Self::next_message), but asks `may_buffer` whether a body may take
    /// this many bytes in total. A body that may not is read to its end and discarded.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a message, or not one that is allowed.
    pub fn next_within_memory(
        &mut self,
        input: &mut BytesMut,
        max_length: impl Fn(u8) -> Option<usize>,
        mut may_buffer: impl FnMut(usize) -> bool,
    ) -> Result<Option<Received>, ProtocolError> {
        let incomplete = match self.incomplete {
            Some(incomplete) => incomplete,
            None => {
                let Some(header) = take_header(input, max_length)? else {
                    return Ok(None);
                };
                if input.len() >= header.body_length {
                    return Ok(Some(take_whole_body(input, header, may_buffer)));
                }
                IncompleteMessage {
                    kind: header.kind,
                    missing: header.body_length,
                    is_discarded: false,
                }
            }
        };
        Ok(self.take_part(input, incomplete, &mut may_buffer))
    }

    /// Takes a part of a body that arrives in several parts.
    fn take_part(
        &mut self,
        input: &mut BytesMut,
        mut incomplete: IncompleteMessage,
        may_buffer: &mut impl FnMut(usize) -> bool,
    ) -> Option<Received> {
        let part = input.split_to(input.len().min(incomplete.missing));
        let has_room =
            !incomplete.is_discarded && self.make_room(part.len(), incomplete.missing, may_buffer);
        if has_room {
            self.body.extend_from_slice(&part);
        } else {
            incomplete.is_discarded = true;
            self.body = BytesMut::new();
        }
        incomplete.missing -= part.len();
        if incomplete.missing > 0 {
            self.incomplete = Some(incomplete);
            return None;
        }
        self.incomplete = None;
        let body = std::mem::take(&mut self.body).freeze();
        let kind = incomplete.kind;
        Some(if incomplete.is_discarded {
            Received::Discarded(kind)
        } else {
            Received::Message(Message { kind, body })
        })
    }

    /// Makes room for the next part of a body of which `missing` bytes have not arrived; returns
    /// whether that is allowed.
    fn make_room(
        &mut self,
        part: usize,
        missing: usize,
        may_buffer: &mut impl FnMut(usize) -> bool,
    ) -> bool {
        let needed = self.body.len() + part;
        if needed <= self.body.capacity() {
            return true;
        }
        let whole = self.body.len() + missing;
        let capacity = (needed * BODY_GROWTH).min(whole);
        if !may_buffer(capacity) {
            return false;
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.body);
        self.body = grown;
        true
    }
}

/// Takes a body that `input` contains as a whole, so nothing is copied.
fn take_whole_body(
    input: &mut BytesMut,
    header: Header,
    mut may_buffer: impl FnMut(usize) -> bool,
) -> Received {
    let Header { kind, body_length } = header;
    let body = input.split_to(body_length);
    if may_buffer(body_length) {
        let body = body.freeze();
        Received::Message(Message { kind, body })
    } else {
        Received::Discarded(kind)
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
