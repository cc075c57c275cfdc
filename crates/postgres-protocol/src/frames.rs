//! Messages off a connection's bytes.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    #[error("a length that no message has")]
    Length,
    #[error("a message that is larger than allowed, or of no kind that is expected")]
    Unexpected,
    #[error("a message whose content can't be read")]
    Content,
}

/// A message: its kind and what follows the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: u8,
    pub body: Bytes,
}

/// Takes one message after the other off a connection's bytes, and holds the one that is not whole.
#[derive(Default)]
pub struct Frames {
    open: Option<(u8, usize)>,
    held: BytesMut,
}

const HEAD: usize = 5;

impl Frames {
    /// Whether a message has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.open.is_some()
    }

    /// Bytes held of a message that is not whole.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The next message; `most` tells how long one of a kind may be, none if that kind has no place here.
    ///
    /// # Errors
    /// What can't be a message: nothing more can be read from that connection.
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        most: impl Fn(u8) -> Option<usize>,
    ) -> Result<Option<Frame>, Refused> {
        let (kind, length) = match self.open {
            Some(open) => open,
            None => {
                // A kind that has no place here is told at its first byte.
                let Some(kind) = input.first().copied() else {
                    return Ok(None);
                };
                let most = most(kind).ok_or(Refused::Unexpected)?;
                if input.len() < HEAD {
                    return Ok(None);
                }
                let told = i32::from_be_bytes([input[1], input[2], input[3], input[4]]);
                let length = usize::try_from(told)
                    .ok()
                    .and_then(|told| told.checked_sub(4));
                let length = length.ok_or(Refused::Length)?;
                if length > most {
                    return Err(Refused::Unexpected);
                }
                input.advance(HEAD);
                (kind, length)
            }
        };
        if self.held.is_empty() && input.len() >= length {
            self.open = None;
            return Ok(Some(Frame {
                kind,
                body: input.split_to(length).freeze(),
            }));
        }
        let missing = length - self.held.len();
        let part = input.split_to(input.len().min(missing));
        self.held.extend_from_slice(&part);
        if self.held.len() < length {
            self.open = Some((kind, length));
            return Ok(None);
        }
        self.open = None;
        Ok(Some(Frame {
            kind,
            body: std::mem::take(&mut self.held).freeze(),
        }))
    }
}

/// How many whole messages stand in bytes that were not taken, up to `most`.
pub fn waiting(mut input: &[u8], most: usize) -> usize {
    let mut found = 0;
    while found < most && input.len() >= HEAD {
        let told = u32::from_be_bytes([input[1], input[2], input[3], input[4]]) as usize;
        match input.get(1 + told.max(4)..) {
            Some(rest) => (input, found) = (rest, found + 1),
            None => break,
        }
    }
    found
}
