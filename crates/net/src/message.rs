//! Whole messages, gathered up to a bound: for peers that exchange small ones.

use crate::body::{BodyReader, Framing};
use crate::http::{self, HeadLimits, Refused, RequestHead, ResponseHead};
use bytes::BytesMut;

/// Gathers one message after the other off a connection's bytes.
pub struct Gather<H> {
    open: Option<(H, BodyReader)>,
    body: BytesMut,
    most: usize,
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
        Self { open: None, body: BytesMut::new(), most }
    }

    /// Whether a message has begun and is not whole.
    pub fn begun(&self) -> bool {
        self.open.is_some()
    }

    /// The message that is being read, with what of its body has come and the reader of the rest: for those
    /// too large to be gathered.
    pub fn give_up(&mut self) -> Option<(H, BytesMut, BodyReader)> {
        let (head, reader) = self.open.take()?;
        Some((head, std::mem::take(&mut self.body), reader))
    }

    fn rest(&mut self, input: &mut BytesMut, closed: bool) -> Result<Option<(H, BytesMut)>, Refused> {
        let Some((_, reader)) = &mut self.open else {
            return if closed && !input.is_empty() { Err(Refused::Early) } else { Ok(None) };
        };
        while let Some(piece) = reader.next(input)? {
            self.body.extend_from_slice(&piece);
            if self.body.len() > self.most {
                return Err(Refused::BodyTooLarge);
            }
        }
        if closed {
            reader.close()?;
        }
        let ended = reader.ended();
        let whole = if ended { self.open.take() } else { None };
        Ok(whole.map(|(head, _)| (head, std::mem::take(&mut self.body))))
    }
}

fn opened<H: Framed>(head: H) -> (H, BodyReader) {
    let reader = BodyReader::new(head.framing());
    (head, reader)
}

impl Requests {
    /// Whether a client waits for a word before it sends the body (RFC 9110, 10.1.1); told once a request.
    pub fn wants_continue(&mut self) -> bool {
        let waits = self.open.as_mut().filter(|(_, reader)| !reader.ended());
        waits.is_some_and(|(head, _)| std::mem::take(&mut head.expects_continue))
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
        if self.open.is_none() {
            let head = http::request(input, HeadLimits::default())?;
            self.open = head.map(opened);
        }
        self.rest(input, closed)
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
        if self.open.is_none() {
            let head = http::response(input, false, HeadLimits::default())?;
            self.open = head.map(opened);
        }
        self.rest(input, closed)
    }
}
