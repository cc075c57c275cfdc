//! Whole messages, gathered up to a bound: for peers that exchange small ones.

use crate::body::{BodyReader, Framing};
use crate::http::{self, HeadLimits, Refused, RequestHead, ResponseHead};
use bytes::BytesMut;

/// Gathers one message after the other off a connection's bytes.
pub struct Gather<H> {
    /// Apart, so that a connection between two messages is small.
    open: Option<Box<Open<H>>>,
    most: usize,
}

struct Open<H> {
    head: H,
    reader: BodyReader,
    body: BytesMut,
}

trait Framed {
    fn framing(&self) -> Framing;
}

impl Framed for RequestHead {
    fn framing(&self) -> Framing {
        self.framing
    }
}

impl Framed for ResponseHead {
    fn framing(&self) -> Framing {
        self.framing
    }
}

pub type Requests = Gather<RequestHead>;
pub type Responses = Gather<ResponseHead>;

impl<H> Gather<H> {
    /// Bodies may have `most` bytes.
    pub fn new(most: usize) -> Self {
        Self { open: None, most }
    }

    /// Whether a message has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.open.is_some()
    }

    /// The message that is being read, with what of its body has come and the reader of the rest: for those
    /// too large to be gathered.
    pub fn give_up(&mut self) -> Option<(H, BytesMut, BodyReader)> {
        let Open { head, reader, body } = *self.open.take()?;
        Some((head, body, reader))
    }

    fn rest(
        &mut self,
        mut open: Open<H>,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(H, BytesMut)>, Refused> {
        while let Some(piece) = open.reader.next(input)? {
            open.body.extend_from_slice(&piece);
            if open.body.len() > self.most {
                self.open = Some(Box::new(open));
                return Err(Refused::BodyTooLarge);
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

/// Nothing has begun: what is there of a head when no more comes is no message.
fn none<T>(input: &BytesMut, closed: bool) -> Result<Option<T>, Refused> {
    if closed && !input.is_empty() {
        Err(Refused::Early)
    } else {
        Ok(None)
    }
}

fn opened<H: Framed>(head: H) -> Open<H> {
    let reader = BodyReader::new(head.framing());
    Open { head, reader, body: BytesMut::new() }
}

impl Requests {
    /// Whether a client waits for a word before it sends the body (RFC 9110, 10.1.1); told once a request.
    pub fn wants_continue(&mut self) -> bool {
        let waits = self.open.as_mut().filter(|open| !open.reader.ended());
        waits.is_some_and(|open| std::mem::take(&mut open.head.expects_continue))
    }

    /// The next whole request.
    ///
    /// # Errors
    /// What is refused; the connection is of no further use.
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(RequestHead, BytesMut)>, Refused> {
        let open = match self.open.take() {
            Some(open) => *open,
            None => match http::request(input, HeadLimits::default())? {
                Some(head) => opened(head),
                None => return none(input, closed),
            },
        };
        self.rest(open, input, closed)
    }
}

impl Responses {
    /// The next whole response; `closed` tells that no more bytes will come.
    ///
    /// # Errors
    /// What is refused; the connection is of no further use.
    pub fn take(
        &mut self,
        input: &mut BytesMut,
        closed: bool,
    ) -> Result<Option<(ResponseHead, BytesMut)>, Refused> {
        let open = match self.open.take() {
            Some(open) => *open,
            None => match http::response(input, false, HeadLimits::default())? {
                Some(head) => opened(head),
                None => return none(input, closed),
            },
        };
        self.rest(open, input, closed)
    }
}
