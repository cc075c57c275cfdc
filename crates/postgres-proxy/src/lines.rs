//! HTTP answers that stay open and hold one JSON object after the other: `Lines` one a line, `Objects` over as many
//! lines as they like. They own what of an object has come; they never read a socket nor understand an object.

use bytes::{Bytes, BytesMut};
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits};
use thiserror::Error;

/// Why nothing more can be read of such an answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    /// The service answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Unreadable(String),
}

impl Broken {
    /// The service has too much to do, or is not up yet: it said so itself.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Status(429 | 503))
    }
}

/// The content of such an answer, off a connection's bytes.
#[derive(Default)]
struct Content(Option<BodyReader>);

impl Content {
    fn next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, Broken> {
        if self.0.is_none() {
            match http::parse_response(input, false, HeadLimits::default()) {
                Ok(Some(head)) if head.status == 200 => {
                    self.0 = Some(BodyReader::new(head.framing))
                }
                Ok(Some(head)) => return Err(Broken::Status(head.status)),
                Ok(None) => return Ok(None),
                Err(why) => return Err(Broken::Unreadable(why.to_string())),
            }
        }
        let Some(body) = &mut self.0 else {
            return Ok(None);
        };
        body.next(input)
            .map_err(|why| Broken::Unreadable(why.to_string()))
    }

    fn ended(&self) -> bool {
        self.0.as_ref().is_some_and(BodyReader::ended)
    }
}

/// What has come on such an answer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Came {
    /// Whole objects, or lines.
    pub objects: Vec<Bytes>,
    /// The other side lives: the answer's head, an object or a line has come. Bytes within one are no sign of that.
    pub alive: bool,
    /// Why nothing more can be read of it; what came before is good.
    pub broken: Option<Broken>,
}

/// Reads an answer of one object a line.
pub struct Lines {
    content: Content,
    held: BytesMut,
    /// A line may have so many bytes.
    most: usize,
}

impl Lines {
    pub fn new(most: usize) -> Self {
        Self {
            content: Content::default(),
            held: BytesMut::new(),
            most,
        }
    }

    /// The whole lines that have come.
    pub fn take(&mut self, input: &mut BytesMut) -> Came {
        let mut came = Came::default();
        came.broken = self.read(input, &mut came).err();
        came
    }

    fn read(&mut self, input: &mut BytesMut, came: &mut Came) -> Result<(), Broken> {
        while let Some(piece) = self.content.next(input)? {
            let mut rest = &piece[..];
            while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                self.held.extend_from_slice(&rest[..end]);
                came.objects.push(self.held.split().freeze());
                came.alive = true;
                rest = &rest[end + 1..];
            }
            self.held.extend_from_slice(rest);
            if self.held.len() > self.most {
                return Err(Broken::Unreadable(format!(
                    "a line of over {} bytes",
                    self.most
                )));
            }
        }
        Ok(())
    }

    /// The answer has come to its end.
    pub fn ended(&self) -> bool {
        self.content.ended()
    }
}

/// Reads an answer of objects that may go over several lines. Each is kept until it is whole, up to a bound.
pub struct Objects {
    content: Content,
    held: BytesMut,
    /// An object may have so many bytes.
    most: usize,
    /// How many brackets are open, and whether within a string, and behind a backslash there.
    depth: u32,
    text: bool,
    escaped: bool,
}

impl Objects {
    pub fn new(most: usize) -> Self {
        let (content, held) = (Content::default(), BytesMut::new());
        Self {
            content,
            held,
            most,
            depth: 0,
            text: false,
            escaped: false,
        }
    }

    /// The whole objects that have come.
    pub fn take(&mut self, input: &mut BytesMut) -> Came {
        let (mut came, begun) = (Came::default(), self.content.0.is_some());
        came.broken = self.read(input, &mut came).err();
        came.alive |= !begun && self.content.0.is_some();
        came
    }

    fn read(&mut self, input: &mut BytesMut, came: &mut Came) -> Result<(), Broken> {
        while let Some(piece) = self.content.next(input)? {
            let mut from = 0;
            for (at, byte) in piece.iter().enumerate() {
                if self.depth == 0 && !byte.is_ascii_whitespace() {
                    if *byte != b'{' {
                        let why = format!("byte {byte:#04x} between objects, expected {{");
                        return Err(Broken::Unreadable(why));
                    }
                    from = at;
                }
                came.alive |= self.depth == 0 && *byte == b'\n';
                if self.ends_object(*byte) {
                    self.held.extend_from_slice(&piece[from..=at]);
                    came.objects.push(self.held.split().freeze());
                    came.alive = true;
                    from = at + 1;
                }
            }
            if self.depth > 0 {
                self.held.extend_from_slice(&piece[from..]);
            }
            if self.held.len() > self.most {
                return Err(Broken::Unreadable(format!(
                    "an object of over {} bytes",
                    self.most
                )));
            }
        }
        Ok(())
    }

    /// Whether an object is whole with this byte.
    fn ends_object(&mut self, byte: u8) -> bool {
        if self.text {
            let escaped = std::mem::replace(&mut self.escaped, false);
            match byte {
                b'\\' if !escaped => self.escaped = true,
                b'"' if !escaped => self.text = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' if self.depth > 0 => self.text = true,
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' if self.depth > 0 => {
                self.depth -= 1;
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }

    /// The answer has come to its end.
    pub fn ended(&self) -> bool {
        self.content.ended()
    }
}
