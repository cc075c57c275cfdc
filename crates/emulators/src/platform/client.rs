use super::{Link, PATIENCE};
use bytes::BytesMut;
use limewing_postgres_protocol::{decode, encode};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

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
    /// When it asked last, and how long it waits for the answer.
    last: Instant,
    patience: Duration,
}

impl Client {
    /// A client whose session has begun.
    pub fn new(to: SocketAddr) -> Self {
        let mut client = Self::silent(to);
        let mut out = BytesMut::new();
        encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
        client.sends(&out);
        while client.link.hear().expect("a welcome").kind != b'Z' {}
        client
    }

    /// As `new`, where nobody may be there or welcome it; an answer is waited for so long.
    pub fn try_new(to: SocketAddr, patience: Duration) -> Option<Self> {
        let link = Link::new(TcpStream::connect(to).ok()?).ok()?;
        link.stream.set_read_timeout(Some(patience)).ok()?;
        let mut client = Self {
            link,
            last: Instant::now(),
            patience,
        };
        let mut out = BytesMut::new();
        encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
        client.sends(&out).then_some(())?;
        while client.link.hear()?.kind != b'Z' {}
        Some(client)
    }

    /// Whether the last answer did not come in the time that it was waited for.
    pub fn waited_out(&self) -> bool {
        self.last.elapsed() >= self.patience
    }

    /// A client that has said nothing.
    pub fn silent(to: SocketAddr) -> Self {
        let link = Link::new(TcpStream::connect(to).unwrap()).unwrap();
        Self {
            link,
            last: Instant::now(),
            patience: PATIENCE,
        }
    }

    /// Asks for its session, and does not wait for the welcome.
    pub fn begins(&mut self) {
        let mut out = BytesMut::new();
        encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
        self.sends(&out);
    }

    /// Whether all of it could be sent.
    pub fn sends(&mut self, bytes: &[u8]) -> bool {
        self.link.stream.write_all(bytes).is_ok()
    }

    /// Whether it could be written.
    pub fn asks(&mut self, statement: &str) -> bool {
        let mut out = BytesMut::new();
        encode::query(&mut out, statement);
        self.last = Instant::now();
        self.sends(&out)
    }

    /// The next answer, and that the next statement may come.
    pub fn hears(&mut self) -> Answer {
        let mut answer = None;
        loop {
            let Some(frame) = self.link.hear() else {
                return answer.unwrap_or(Answer::End);
            };
            let text = || decode::string(&frame.body).unwrap().to_owned();
            match frame.kind {
                b'D' => {
                    let value = decode::single_value(&frame.body).unwrap();
                    answer = Some(Answer::Row(String::from_utf8(value.to_vec()).unwrap()));
                }
                b'E' => {
                    let fields = decode::error_fields(&frame.body).unwrap();
                    let field = |of| {
                        fields
                            .iter()
                            .find(|(letter, _)| *letter == of)
                            .map(|f| f.1.to_owned())
                    };
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

    /// Whether something of an answer comes in that time.
    pub fn has_come(&self, within: Duration) -> bool {
        let stream = &self.link.stream;
        let _ = stream.set_read_timeout(Some(within));
        let came = !self.link.input.is_empty() || stream.peek(&mut [0]).is_ok();
        let _ = stream.set_read_timeout(Some(PATIENCE));
        came
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
