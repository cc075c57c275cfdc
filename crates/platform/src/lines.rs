//! HTTP answers that stay open and hold one JSON object after the other: `Lines` one a line, `Objects` over as many
//! lines as they like. They own what of an object has come; they never read a socket nor understand an object.

use bytes::{Bytes, BytesMut};
use limewing_net::body::BodyReader;
use limewing_net::http::{self, HeadLimits};

/// The content of such an answer, off a connection's bytes.
#[derive(Default)]
struct Content(Option<BodyReader>);

impl Content {
    fn next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, String> {
        if self.0.is_none() {
            match http::response(input, false, HeadLimits::default()) {
                Ok(Some(head)) if head.status == 200 => self.0 = Some(BodyReader::new(head.framing)),
                Ok(Some(head)) => return Err(format!("status {}", head.status)),
                Ok(None) => return Ok(None),
                Err(why) => return Err(why.to_string()),
            }
        }
        let Some(body) = &mut self.0 else { return Ok(None) };
        body.next(input).map_err(|why| why.to_string())
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
    pub broken: Option<String>,
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
        Self { content: Content::default(), held: BytesMut::new(), most }
    }

    /// The whole lines that have come.
    pub fn take(&mut self, input: &mut BytesMut) -> Came {
        let mut came = Came::default();
        came.broken = self.read(input, &mut came).err();
        came
    }

    fn read(&mut self, input: &mut BytesMut, came: &mut Came) -> Result<(), String> {
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
                return Err(format!("a line of over {} bytes", self.most));
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
        Self { content, held, most, depth: 0, text: false, escaped: false }
    }

    /// The whole objects that have come.
    pub fn take(&mut self, input: &mut BytesMut) -> Came {
        let (mut came, begun) = (Came::default(), self.content.0.is_some());
        came.broken = self.read(input, &mut came).err();
        came.alive |= !begun && self.content.0.is_some();
        came
    }

    fn read(&mut self, input: &mut BytesMut, came: &mut Came) -> Result<(), String> {
        while let Some(piece) = self.content.next(input)? {
            let mut from = 0;
            for (at, byte) in piece.iter().enumerate() {
                if self.depth == 0 && !byte.is_ascii_whitespace() {
                    if *byte != b'{' {
                        return Err(format!("byte {byte:#04x} between objects, expected {{"));
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
                return Err(format!("an object of over {} bytes", self.most));
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
