//! HTTP answers that stay open and hold one JSON object a line.

use bytes::{Bytes, BytesMut};
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits};

/// Reads such an answer off a connection's bytes.
pub struct Lines {
    body: Option<BodyReader>,
    held: BytesMut,
    /// A line may have so many bytes.
    most: usize,
}

impl Lines {
    pub fn new(most: usize) -> Self {
        Self { body: None, held: BytesMut::new(), most }
    }

    /// The whole lines that have come.
    ///
    /// # Errors
    /// It is no such answer, or can't be read on: the connection is of no further use.
    pub fn take(&mut self, input: &mut BytesMut) -> Result<Vec<Bytes>, String> {
        if self.body.is_none() {
            match http::response(input, false, HeadLimits::default()) {
                Ok(Some(head)) if head.status == 200 => self.body = Some(BodyReader::new(head.framing)),
                Ok(Some(head)) => return Err(format!("status {}", head.status)),
                Ok(None) => return Ok(Vec::new()),
                Err(why) => return Err(why.to_string()),
            }
        }
        let mut lines = Vec::new();
        let Some(body) = &mut self.body else { return Ok(lines) };
        while let Some(piece) = body.next(input).map_err(|why| why.to_string())? {
            let mut rest = &piece[..];
            while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                self.held.extend_from_slice(&rest[..end]);
                lines.push(self.held.split().freeze());
                rest = &rest[end + 1..];
            }
            self.held.extend_from_slice(rest);
            if self.held.len() > self.most {
                return Err(format!("a line of over {} bytes", self.most));
            }
        }
        Ok(lines)
    }

    /// The answer has come to its end.
    pub fn ended(&self) -> bool {
        self.body.as_ref().is_some_and(BodyReader::ended)
    }
}
