//! Bodies of HTTP/1.1 messages (RFC 9112, 6 and 7), read and written incrementally without buffering them whole.

pub use crate::framing::Framing;

use crate::error::HttpError;
use bytes::{Bytes, BytesMut};

/// The longest line of a chunked body (a chunk size with its extensions, or a trailer field), in bytes. It bounds what a
/// peer can make the reader buffer.
const MAX_LINE_BYTES: usize = 1024;
/// The maximum number of lines in a trailer section.
const MAX_TRAILER_LINES: u32 = 32;
const LINE_END: &[u8] = b"\r\n";
/// The line end after the content of a chunk.
pub const CHUNK_END: &[u8] = LINE_END;

/// The part of a body that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The remaining bytes of a body of known length.
    Content { remaining: u64 },
    /// The line with a chunk's size.
    ChunkSize,
    /// The remaining bytes of a chunk.
    ChunkContent { remaining: u64 },
    /// The line end after a chunk.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// Bytes until the peer closes the connection.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// Reads one body from the front of a buffer.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    trailer_lines: u32,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Content { remaining: length },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            trailer_lines: 0,
        }
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.state == State::Complete
    }

    /// Records that the peer closed its side of the connection.
    ///
    /// # Errors
    ///
    /// [`HttpError::UnexpectedEnd`] if the body was incomplete.
    pub fn close(&mut self) -> Result<(), HttpError> {
        match self.state {
            State::UntilClose | State::Complete => {
                self.state = State::Complete;
                Ok(())
            }
            _ => Err(HttpError::UnexpectedEnd),
        }
    }

    /// Takes the next piece of content; `None` when more bytes are needed or the body is complete.
    ///
    /// # Errors
    ///
    /// [`HttpError::InvalidChunk`] if a chunk or a trailer field is malformed.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        while self.state != State::Complete && !input.is_empty() {
            let made_progress = match self.state {
                State::Complete => return Ok(None),
                State::UntilClose => return Ok(Some(input.split().freeze())),
                State::Content { remaining } => {
                    return Ok(Some(self.read_content(input, remaining)))
                }
                State::ChunkContent { remaining } => {
                    return Ok(Some(self.read_chunk_content(input, remaining)))
                }
                State::ChunkEnd => self.read_chunk_end(input)?,
                State::ChunkSize => self.read_chunk_size(input)?,
                State::Trailer => self.read_trailer_line(input)?,
            };
            if !made_progress {
                return Ok(None);
            }
        }
        Ok(None)
    }

    fn read_content(&mut self, input: &mut BytesMut, remaining: u64) -> Bytes {
        let piece = take_up_to(input, remaining);
        let remaining = remaining - piece.len() as u64;
        self.state = if remaining == 0 {
            State::Complete
        } else {
            State::Content { remaining }
        };
        piece
    }

    fn read_chunk_content(&mut self, input: &mut BytesMut, remaining: u64) -> Bytes {
        let piece = take_up_to(input, remaining);
        let remaining = remaining - piece.len() as u64;
        self.state = if remaining == 0 {
            State::ChunkEnd
        } else {
            State::ChunkContent { remaining }
        };
        piece
    }

    /// Reads the line end after a chunk; returns false if more bytes are needed.
    fn read_chunk_end(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        if input.len() < LINE_END.len() {
            return Ok(false);
        }
        if input.split_to(LINE_END.len()) != LINE_END {
            return Err(HttpError::InvalidChunk);
        }
        self.state = State::ChunkSize;
        Ok(true)
    }

    /// Reads the line with a chunk's size; returns false if more bytes are needed.
    fn read_chunk_size(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        let Some(line) = take_line(input)? else {
            return Ok(false);
        };
        self.state = match parse_chunk_size(&line)? {
            0 => State::Trailer,
            size => State::ChunkContent { remaining: size },
        };
        Ok(true)
    }

    /// Reads and discards a line of the trailer section; returns false if more bytes are needed.
    fn read_trailer_line(&mut self, input: &mut BytesMut) -> Result<bool, HttpError> {
        let Some(line) = take_line(input)? else {
            return Ok(false);
        };
        self.trailer_lines += 1;
        if line.is_empty() {
            self.state = State::Complete;
        } else if self.trailer_lines > MAX_TRAILER_LINES || !line.contains(&b':') {
            return Err(HttpError::InvalidChunk);
        }
        Ok(true)
    }
}

/// Parses the size in a chunk's first line and ignores its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    // Stricter than `httparse`, which allows whitespace after the size.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::InvalidChunk);
    }
    match httparse::parse_chunk_size(&[digits, LINE_END].concat()) {
        Ok(httparse::Status::Complete((_, size))) => Ok(size),
        _ => Err(HttpError::InvalidChunk),
    }
}

fn take_up_to(input: &mut BytesMut, limit: u64) -> Bytes {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let length = input.len().min(limit);
    input.split_to(length).freeze()
}

/// Takes a line without its line end; `None` if it is incomplete. A line feed without a carriage return is an error.
fn take_line(input: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && end <= MAX_LINE_BYTES && input[end - 1] == b'\r' => {
            let line = input.split_to(end + 1).freeze();
            Ok(Some(line.slice(..end - 1)))
        }
        None if input.len() <= MAX_LINE_BYTES => Ok(None),
        _ => Err(HttpError::InvalidChunk),
    }
}

/// Writes one chunk. An empty chunk ends the body.
pub fn write_chunk(out: &mut BytesMut, content: &[u8]) {
    write_chunk_size(out, content.len());
    out.extend_from_slice(content);
    out.extend_from_slice(CHUNK_END);
}

/// Writes the line that precedes the content of a chunk; [`CHUNK_END`] follows the content.
pub fn write_chunk_size(out: &mut BytesMut, length: usize) {
    out.extend_from_slice(format!("{length:x}\r\n").as_bytes());
}
