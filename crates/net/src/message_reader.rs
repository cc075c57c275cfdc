//! Whole messages, gathered up to a bound: for peers that exchange small ones.

use crate::body::{BodyReader, Framing};
use crate::http::{self, HeadLimits, HttpError, RequestHead, ResponseHead};
use bytes::BytesMut;

/// Gathers one message after the other off a connection's bytes.
pub struct MessageReader<H> {
    /// Apart, so that a connection between two messages is small.
    open: Option<Box<Open<H>>>,
    most: usize,
}

struct Open<H> {
    head: H,
    reader: BodyReader,
    body: BytesMut,
}

/// The head of a message, as it is read off a connection's bytes.
pub trait Head: Sized {
    /// # Errors
    /// What is refused; the connection is of no further use.
    fn read(input: &mut BytesMut) -> Result<Option<Self>, HttpError>;

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

pub type RequestReader = MessageReader<RequestHead>;
pub type ResponseReader = MessageReader<ResponseHead>;

impl<H: Head> MessageReader<H> {
    /// Bodies may have `most` bytes.
    pub fn new(most: usize) -> Self {
        Self { open: None, most }
    }

    /// Whether a message has begun and is not whole.
    pub fn is_mid_message(&self) -> bool {
        self.open.is_some()
    }

    /// The message that is being read, with what of its body has come and the reader of the rest: for those
    /// too large to be gathered.
    pub fn take_incomplete(&mut self) -> Option<(H, BytesMut, BodyReader)> {
        let Open { head, reader, body } = *self.open.take()?;
        Some((head, body, reader))
    }

    /// The next whole message; `closed` tells that no more bytes will come.
    ///
    /// # Errors
    /// What is refused; the connection is of no further use, but for a body that is too large (see `take_incomplete`).
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(H, BytesMut)>, HttpError> {
        let mut open = match self.open.take() {
            Some(open) => *open,
            None => match H::read(input)? {
                Some(head) => Open {
                    reader: BodyReader::new(head.framing()),
                    head,
                    body: BytesMut::new(),
                },
                None if closed && !input.is_empty() => return Err(HttpError::UnexpectedEnd),
                None => return Ok(None),
            },
        };
        while let Some(piece) = open.reader.next(input)? {
            open.body.extend_from_slice(&piece);
            if open.body.len() > self.most {
                self.open = Some(Box::new(open));
                return Err(HttpError::BodyTooLarge);
            }
        }
        if closed {
            open.reader.close()?;
        }
        if open.reader.ended() {
            return Ok(Some((open.head, open.body)));
        }
        self.open = Some(Box::new(open));
        Ok(None)
    }
}

impl RequestReader {
    /// Whether a client waits for a word before it sends the body (RFC 9110, 10.1.1); told once a request.
    pub fn wants_continue(&mut self) -> bool {
        let waits = self.open.as_mut().filter(|open| !open.reader.ended());
        waits.is_some_and(|open| std::mem::take(&mut open.head.expects_continue))
    }
}
