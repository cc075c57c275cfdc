//! Bodies of HTTP/1.1 messages, piece by piece: nothing is gathered here.

use crate::http::HttpError;
use bytes::{Bytes, BytesMut};

/// How the end of a body is told (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Length(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    End,
}

/// A line of a chunked body (size with extensions, or trailer field) is no longer than this.
const LONGEST_LINE: usize = 1024;
const MOST_TRAILERS: u32 = 32;

/// Reads one body off the front of a buffer.
#[derive(Clone, Debug)]
pub struct BodyReader {
    at: At,
    trailers: u32,
}

impl BodyReader {
    pub fn new(framing: Framing) -> Self {
        let at = match framing {
            Framing::Length(0) => At::End,
            Framing::Length(length) => At::Length(length),
            Framing::Chunked => At::Size,
            Framing::UntilClose => At::UntilClose,
        };
        Self { at, trailers: 0 }
    }

    pub fn ended(&self) -> bool {
        self.at == At::End
    }

    /// The peer closed its side.
    ///
    /// # Errors
    /// The body had not ended.
    pub fn close(&mut self) -> Result<(), HttpError> {
        match self.at {
            At::UntilClose | At::End => {
                self.at = At::End;
                Ok(())
            }
            _ => Err(HttpError::UnexpectedEnd),
        }
    }

    /// Takes the next piece of content; none when more bytes are needed or the body has ended.
    ///
    /// # Errors
    /// A chunk that can't be read.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.at {
                At::End => return Ok(None),
                _ if input.is_empty() => return Ok(None),
                At::UntilClose => return Ok(Some(input.split().freeze())),
                At::Length(left) => {
                    let piece = take(input, left);
                    let left = left - piece.len() as u64;
                    self.at = if left == 0 { At::End } else { At::Length(left) };
                    return Ok(Some(piece));
                }
                At::Chunk(left) => {
                    let piece = take(input, left);
                    let left = left - piece.len() as u64;
                    self.at = if left == 0 {
                        At::ChunkEnd
                    } else {
                        At::Chunk(left)
                    };
                    return Ok(Some(piece));
                }
                At::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(None);
                    }
                    if &input.split_to(2)[..] != b"\r\n" {
                        return Err(HttpError::InvalidChunk);
                    }
                    self.at = At::Size;
                }
                At::Size => {
                    let Some(line) = line(input)? else {
                        return Ok(None);
                    };
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
                    let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
                    match httparse::parse_chunk_size(&[digits, b"\r\n"].concat()) {
                        Ok(httparse::Status::Complete((_, 0))) if plain => self.at = At::Trailer,
                        Ok(httparse::Status::Complete((_, size))) if plain => {
                            self.at = At::Chunk(size)
                        }
                        _ => return Err(HttpError::InvalidChunk),
                    }
                }
                At::Trailer => {
                    let Some(line) = line(input)? else {
                        return Ok(None);
                    };
                    self.trailers += 1;
                    if line.is_empty() {
                        self.at = At::End;
                    } else if self.trailers > MOST_TRAILERS || !line.contains(&b':') {
                        return Err(HttpError::InvalidChunk);
                    }
                }
            }
        }
    }
}

fn take(input: &mut BytesMut, most: u64) -> Bytes {
    let length = input.len().min(usize::try_from(most).unwrap_or(usize::MAX));
    input.split_to(length).freeze()
}

/// A line without its end; a bare line feed is no end.
fn line(input: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    match input.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && end <= LONGEST_LINE && input[end - 1] == b'\r' => {
            let line = input.split_to(end + 1).freeze();
            Ok(Some(line.slice(..end - 1)))
        }
        None if input.len() <= LONGEST_LINE => Ok(None),
        _ => Err(HttpError::InvalidChunk),
    }
}

/// Writes one chunk; the last one is empty.
pub fn write_chunk(out: &mut BytesMut, piece: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}
