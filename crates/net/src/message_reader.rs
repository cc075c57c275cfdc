//! Reads complete messages with their bodies in memory, for peers that exchange small messages.

use crate::body::BodyReader;
use crate::error::HttpError;
use crate::framing::Framing;
use crate::http::{self, HeadLimits, RequestHead, ResponseHead};
use bytes::BytesMut;

/// Reads consecutive messages from a connection's input, each with its body in memory.
pub struct MessageReader<H> {
    /// Boxed to keep the reader of an idle connection small.
    incomplete: Option<Box<IncompleteMessage<H>>>,
    max_body: usize,
}

struct IncompleteMessage<H> {
    head: H,
    body_reader: BodyReader,
    body: BytesMut,
}

/// A message head that can be parsed from a connection's input.
pub trait Head: Sized {
    /// Takes a head from the front of `input`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`] of a head. The connection can't be used any further.
    fn read(input: &mut BytesMut) -> Result<Option<Self>, HttpError>;

    /// The framing of the message body.
    fn framing(&self) -> Framing;
}

impl Head for RequestHead {
    fn read(input: &mut BytesMut) -> Result<Option<Self>, HttpError> {
        http::parse_request(input, HeadLimits::default())
    }

    fn framing(&self) -> Framing {
        self.framing
    }
}

impl Head for ResponseHead {
    fn read(input: &mut BytesMut) -> Result<Option<Self>, HttpError> {
        http::parse_response(input, false, HeadLimits::default())
    }

    fn framing(&self) -> Framing {
        self.framing
    }
}

/// A server's reader.
pub type RequestReader = MessageReader<RequestHead>;
/// A client's reader. It can't read the responses to `HEAD`.
pub type ResponseReader = MessageReader<ResponseHead>;

impl<H: Head> MessageReader<H> {
    /// Creates a reader of messages with bodies of at most `max_body` bytes.
    #[must_use]
    pub fn new(max_body: usize) -> Self {
        Self {
            incomplete: None,
            max_body,
        }
    }

    /// Whether a message's head has been read and its body is incomplete.
    #[must_use]
    pub fn is_mid_message(&self) -> bool {
        self.incomplete.is_some()
    }

    /// Takes the incomplete message: its head, the part of the body received so far, and the reader of the remaining body.
    /// It is meant for bodies that are too large for memory.
    pub fn take_incomplete(&mut self) -> Option<(H, BytesMut, BodyReader)> {
        let message = *self.incomplete.take()?;
        Some((message.head, message.body, message.body_reader))
    }

    /// Takes the next complete message from the front of `input`. `closed` means that no more bytes will arrive.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`]. The connection can't be used any further, except after [`HttpError::BodyTooLarge`]: the rest of
    /// that message can be read after [`take_incomplete`](Self::take_incomplete).
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(H, BytesMut)>, HttpError> {
        let Some(mut message) = self.begin_or_continue(input, closed)? else {
            return Ok(None);
        };
        while let Some(piece) = message.body_reader.next(input)? {
            message.body.extend_from_slice(&piece);
            if message.body.len() > self.max_body {
                self.incomplete = Some(Box::new(message));
                return Err(HttpError::BodyTooLarge);
            }
        }
        if closed {
            message.body_reader.close()?;
        }
        if message.body_reader.ended() {
            return Ok(Some((message.head, message.body)));
        }
        self.incomplete = Some(Box::new(message));
        Ok(None)
    }

    /// The message being read, or the next one once its head is complete.
    fn begin_or_continue(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<IncompleteMessage<H>>, HttpError> {
        if let Some(message) = self.incomplete.take() {
            return Ok(Some(*message));
        }
        match H::read(input)? {
            Some(head) => Ok(Some(IncompleteMessage {
                body_reader: BodyReader::new(head.framing()),
                head,
                body: BytesMut::new(),
            })),
            None if closed && !input.is_empty() => Err(HttpError::UnexpectedEnd),
            None => Ok(None),
        }
    }
}

impl RequestReader {
    /// The memory that the incomplete message holds, in bytes.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        self.incomplete.as_ref().map_or(0, |message| {
            message.head.memory_size() + message.body.capacity()
        })
    }

    /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1). Returns true
    /// at most once per request.
    pub fn wants_continue(&mut self) -> bool {
        match &mut self.incomplete {
            Some(message) if !message.body_reader.ended() => {
                std::mem::take(&mut message.head.expects_continue)
            }
            _ => false,
        }
    }
}
