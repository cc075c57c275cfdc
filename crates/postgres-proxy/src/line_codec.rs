//! HTTP responses that stay open and hold one JSON object after the other.
//!
//! [`LineReader`] reads one object a line, [`ObjectReader`] objects over any number of lines. They buffer what has come of
//! an object; they never read a socket nor parse an object.

use bytes::{Bytes, BytesMut};
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits};
use thiserror::Error;

/// Why nothing more can be read of such a response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The service answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The head, the framing or an object can't be read.
    #[error("{0}")]
    Unreadable(String),
}

impl StreamError {
    /// Whether the service says itself that it has too much to do, or is not up yet.
    #[must_use]
    pub fn is_overload(&self) -> bool {
        matches!(self, Self::Status(429 | 503))
    }
}

/// The body of such a response, off a connection's bytes.
#[derive(Default)]
struct StreamBody(Option<BodyReader>);

impl StreamBody {
    fn next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, StreamError> {
        if self.0.is_none() {
            self.0 = read_head(input)?;
        }
        let Some(body) = &mut self.0 else {
            return Ok(None);
        };
        body.next(input)
            .map_err(|error| StreamError::Unreadable(error.to_string()))
    }

    fn has_begun(&self) -> bool {
        self.0.is_some()
    }

    fn has_ended(&self) -> bool {
        self.0.as_ref().is_some_and(BodyReader::ended)
    }
}

fn read_head(input: &mut BytesMut) -> Result<Option<BodyReader>, StreamError> {
    match http::parse_response(input, false, HeadLimits::default()) {
        Ok(Some(head)) if head.status == 200 => Ok(Some(BodyReader::new(head.framing))),
        Ok(Some(head)) => Err(StreamError::Status(head.status)),
        Ok(None) => Ok(None),
        Err(error) => Err(StreamError::Unreadable(error.to_string())),
    }
}

/// What has come on such a response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Complete objects, or lines.
    pub items: Vec<Bytes>,
    /// Whether the service is alive: the response's head, an object or a line has come. Bytes within one are no sign of
    /// that.
    pub is_alive: bool,
    /// Why nothing more can be read of it; the items that came before are good.
    pub error: Option<StreamError>,
}

/// Reads a response of one object a line.
pub struct LineReader {
    body: StreamBody,
    buffer: BytesMut,
    max_line: usize,
}

impl LineReader {
    /// A reader for lines of up to `max_line` bytes.
    #[must_use]
    pub fn new(max_line: usize) -> Self {
        Self {
            body: StreamBody::default(),
            buffer: BytesMut::new(),
            max_line,
        }
    }

    /// Takes the complete lines that have come.
    pub fn read(&mut self, input: &mut BytesMut) -> Received {
        let mut received = Received::default();
        received.error = self.read_into(input, &mut received).err();
        received
    }

    fn read_into(
        &mut self,
        input: &mut BytesMut,
        received: &mut Received,
    ) -> Result<(), StreamError> {
        while let Some(piece) = self.body.next(input)? {
            let mut rest = &piece[..];
            while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                self.buffer.extend_from_slice(&rest[..end]);
                received.items.push(self.buffer.split().freeze());
                received.is_alive = true;
                rest = &rest[end + 1..];
            }
            self.buffer.extend_from_slice(rest);
            if self.buffer.len() > self.max_line {
                let error = format!("a line of over {} bytes", self.max_line);
                return Err(StreamError::Unreadable(error));
            }
        }
        Ok(())
    }

    /// Whether the response has come to its end.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.body.has_ended()
    }
}

/// Reads a response of objects that may go over several lines.
pub struct ObjectReader {
    body: StreamBody,
    buffer: BytesMut,
    max_object: usize,
    /// How many brackets are open.
    depth: u32,
    /// Whether within a string.
    in_string: bool,
    /// Whether behind a backslash in a string.
    is_escaped: bool,
}

impl ObjectReader {
    /// A reader for objects of up to `max_object` bytes.
    #[must_use]
    pub fn new(max_object: usize) -> Self {
        Self {
            body: StreamBody::default(),
            buffer: BytesMut::new(),
            max_object,
            depth: 0,
            in_string: false,
            is_escaped: false,
        }
    }

    /// Takes the complete objects that have come.
    pub fn read(&mut self, input: &mut BytesMut) -> Received {
        let mut received = Received::default();
        let had_begun = self.body.has_begun();
        received.error = self.read_into(input, &mut received).err();
        received.is_alive |= !had_begun && self.body.has_begun();
        received
    }

    fn read_into(
        &mut self,
        input: &mut BytesMut,
        received: &mut Received,
    ) -> Result<(), StreamError> {
        while let Some(piece) = self.body.next(input)? {
            self.split_objects(&piece, received)?;
            if self.buffer.len() > self.max_object {
                let error = format!("an object of over {} bytes", self.max_object);
                return Err(StreamError::Unreadable(error));
            }
        }
        Ok(())
    }

    fn split_objects(&mut self, piece: &[u8], received: &mut Received) -> Result<(), StreamError> {
        let mut start = 0;
        for (index, byte) in piece.iter().enumerate() {
            if self.depth == 0 && !byte.is_ascii_whitespace() {
                if *byte != b'{' {
                    let error = format!("byte {byte:#04x} between objects, expected {{");
                    return Err(StreamError::Unreadable(error));
                }
                start = index;
            }
            received.is_alive |= self.depth == 0 && *byte == b'\n';
            if self.is_end_of_object(*byte) {
                self.buffer.extend_from_slice(&piece[start..=index]);
                received.items.push(self.buffer.split().freeze());
                received.is_alive = true;
                start = index + 1;
            }
        }
        if self.depth > 0 {
            self.buffer.extend_from_slice(&piece[start..]);
        }
        Ok(())
    }

    /// Whether an object is complete with this byte.
    fn is_end_of_object(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.step_in_string(byte);
            return false;
        }
        match byte {
            b'"' if self.depth > 0 => self.in_string = true,
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' if self.depth > 0 => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    fn step_in_string(&mut self, byte: u8) {
        let was_escaped = std::mem::replace(&mut self.is_escaped, false);
        match byte {
            b'\\' if !was_escaped => self.is_escaped = true,
            b'"' if !was_escaped => self.in_string = false,
            _ => {}
        }
    }

    /// Whether the response has come to its end.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.body.has_ended()
    }
}
