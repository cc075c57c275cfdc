use super::Link;
use bytes::BytesMut;
use limewing_pg::{read, write};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Row(String),
    /// The code, and the detail.
    Error(String, Option<String>),
    Empty,
    Done(String),
    /// The connection ended.
    End,
}

pub struct Client {
    link: Link,
}

impl Client {
    /// A client whose session has begun.
    pub fn new(to: SocketAddr) -> Self {
        let mut client = Self::silent(to);
        let mut out = BytesMut::new();
        write::startup(&mut out, &[("user", "api"), ("database", "ledger")]);
        client.sends(&out);
        while client.link.hear().expect("a welcome").kind != b'Z' {}
        client
    }

    /// A client that has said nothing.
    pub fn silent(to: SocketAddr) -> Self {
        Self { link: Link::new(TcpStream::connect(to).unwrap()).unwrap() }
    }

    /// Whether all of it could be sent.
    pub fn sends(&mut self, bytes: &[u8]) -> bool {
        self.link.stream.write_all(bytes).is_ok()
    }

    pub fn asks(&mut self, statement: &str) {
        let mut out = BytesMut::new();
        write::query(&mut out, statement);
        self.sends(&out);
    }

    /// The next answer, and that the next statement may come.
    pub fn hears(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let Some(frame) = self.link.hear() else { return answer.unwrap_or(Answer::End) };
            let text = || read::text(&frame.body).unwrap().to_owned();
            match frame.kind {
                b'D' => {
                    let value = read::only_value(&frame.body).unwrap();
                    answer = Some(Answer::Row(String::from_utf8(value.to_vec()).unwrap()));
                }
                b'E' => {
                    let fields = read::fields(&frame.body).unwrap();
                    let field = |of| fields.iter().find(|(letter, _)| *letter == of).map(|f| f.1.to_owned());
                    answer = Some(Answer::Error(field(b'C').unwrap(), field(b'D')));
                    if field(b'S').as_deref() == Some("FATAL") {
                        return answer.unwrap();
                    }
                }
                b'I' => answer = Some(Answer::Empty),
                b'C' if answer.is_none() => answer = Some(Answer::Done(text())),
                b'Z' => return answer.unwrap(),
                _ => {}
            }
        }
    }

    /// As `hears`, of a client that did not wait for its welcome.
    pub fn hears_first(&mut self) -> Answer {
        while self.link.hear().expect("a welcome").kind != b'Z' {}
        self.hears()
    }

    /// Whether nothing more comes and the other side has closed.
    pub fn hears_the_end(&mut self) -> bool {
        matches!(self.link.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}
