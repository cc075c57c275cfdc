//! Long-lived HTTP responses that contain a sequence of JSON objects.
//!
//! [`LineReader`] reads one object per line, [`ObjectReader`] objects that may span several lines.
//! Both buffer incomplete objects; neither reads from a socket nor parses the objects.

use bytes::{Bytes, BytesMut};
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits};
use thiserror::Error;

/// Why the rest of a response cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// The service answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The head, the framing or an object is malformed.
    #[error("{0}")]
    Unreadable(String),
}

impl StreamError {
    /// Whether the service reported that it is overloaded or not ready yet.
    #[must_use]
    pub fn is_overload(&self) -> bool {
        matches!(self, Self::Status(429 | 503))
    }
}

/// The body of a response, decoded from the bytes of a connection.
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

/// The result of reading from a response.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Complete objects or lines.
    pub items: Vec<Bytes>,
    /// Whether the service has proved to be alive, by the head of the response, an object or a
    /// line. Bytes within an object or a line are no proof.
    pub is_alive: bool,
    /// Why the rest cannot be read; the items received before are valid.
    pub error: Option<StreamError>,
}

/// Reads a response with one object per line.
pub struct LineReader {
    body: StreamBody,
    buffer: BytesMut,
    max_line: usize,
}

impl LineReader {
    /// Creates a reader for lines of up to `max_line` bytes.
    #[must_use]
    pub fn new(max_line: usize) -> Self {
        Self {
            body: StreamBody::default(),
            buffer: BytesMut::new(),
            max_line,
        }
    }

    /// Takes the complete lines received so far.
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
                let error = format!("line longer than {} bytes", self.max_line);
                return Err(StreamError::Unreadable(error));
            }
        }
        Ok(())
    }

    /// Whether the response is complete.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.body.has_ended()
    }
}

/// Reads a response with objects that may span several lines.
pub struct ObjectReader {
    body: StreamBody,
    buffer: BytesMut,
    max_object: usize,
    /// Number of open brackets.
    depth: u32,
    /// Whether the current position is within a string.
    in_string: bool,
    /// Whether the previous byte in the string is an escaping backslash.
    is_escaped: bool,
}

impl ObjectReader {
    /// Creates a reader for objects of up to `max_object` bytes.
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

    /// Takes the complete objects received so far.
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
                let error = format!("object larger than {} bytes", self.max_object);
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
                    let error = format!("unexpected byte {byte:#04x} between objects, expected {{");
                    return Err(StreamError::Unreadable(error));
                }
                start = index;
            }
            received.is_alive |= self.depth == 0 && *byte == b'\n';
            if self.completes_object(*byte) {
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

    /// Processes one byte; returns whether it completes an object.
    fn completes_object(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.process_string_byte(byte);
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

    fn process_string_byte(&mut self, byte: u8) {
        let was_escaped = std::mem::replace(&mut self.is_escaped, false);
        match byte {
            b'\\' if !was_escaped => self.is_escaped = true,
            b'"' if !was_escaped => self.in_string = false,
            _ => {}
        }
    }

    /// Whether the response is complete.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.body.has_ended()
    }
}
