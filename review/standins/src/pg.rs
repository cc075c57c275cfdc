//! The few messages of PostgreSQL's protocol 3 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

pub fn startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0api\0database\0ledger\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// RowDescription, one DataRow, CommandComplete, ReadyForQuery.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend_from_slice(b"blob\0");
    description.extend_from_slice(&[0; 6]);
    description.extend_from_slice(&17u32.to_be_bytes());
    description.extend_from_slice(&[0xff; 2]);
    description.extend_from_slice(&[0xff; 4]);
    description.extend_from_slice(&[0, 1]);
    let mut data = vec![0, 1];
    data.extend_from_slice(&(value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    let mut complete = tag.as_bytes().to_vec();
    complete.push(0);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', &complete));
    out.extend(ready());
    out
}

pub fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes(head) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)
}

fn field(body: &[u8], name: u8) -> String {
    body.split(|byte| *byte == 0)
        .find(|part| part.first() == Some(&name))
        .map(|part| String::from_utf8_lossy(&part[1..]).into_owned())
        .unwrap_or_default()
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value that a pod gave.
    Row(Vec<u8>),
    /// An ErrorResponse with this code.
    Error(String),
    /// EmptyQueryResponse.
    Empty,
    /// The connection ended without an answer.
    Closed,
    /// Nothing whole came in time.
    Nothing,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Row(value) => format!("row of {} bytes", value.len()),
            Self::Error(code) => format!("error {code}"),
            Self::Empty => "empty".into(),
            Self::Closed => "closed without an answer".into(),
            Self::Nothing => "no answer".into(),
        }
    }
}

/// A client's connection to the sidecar.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and writes the startup message.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.write_all(&startup())?;
        Ok(Self { stream })
    }

    /// Whether the sidecar has closed the connection.
    pub fn has_ended(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let ended =
            !matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let _ = self.stream.set_nonblocking(false);
        ended
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query(text))
    }

    /// Reads up to the answer to the query that was sent last.
    pub fn answer(&mut self, until: Instant) -> Answer {
        let mut answer = None;
        let mut value = None;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let (kind, body) = match read_message(&mut self.stream) {
                Ok(message) => message,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Answer::Nothing
                }
                Err(_) => return answer.unwrap_or(Answer::Closed),
            };
            match kind {
                b'D' => value = body.get(6..).map(<[u8]>::to_vec),
                b'C' => answer = value.take().map(Answer::Row),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    answer = Some(Answer::Error(field(&body, b'C')));
                    if field(&body, b'S') == "FATAL" {
                        return answer.unwrap();
                    }
                }
                b'Z' => {
                    if let Some(answer) = answer {
                        return answer;
                    }
                }
                _ => {}
            }
        }
    }
}

/// Waits until the sidecar has answered an empty query.
pub fn wait_ready(at: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if let Ok(mut client) = Client::connect(at) {
            if client.send("").is_ok()
                && client.answer(Instant::now() + Duration::from_secs(1)) == Answer::Empty
            {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A statement of a request. With `value` it is an INSERT.
pub fn statement(id: &str, class: &str, deadline_ms: u64, value: Option<usize>) -> String {
    let key = if class == "order" {
        format!(",k=k{id}")
    } else {
        String::new()
    };
    let comment = format!("/* id={id},c={class},t=acme,d={deadline_ms}{key} */");
    match value {
        None => format!("SELECT blob FROM rows WHERE handle = 'h{id}' {comment}"),
        Some(length) => format!(
            "INSERT INTO rows (handle, blob) VALUES ('h{id}', '\\x{}') RETURNING blob {comment}",
            "ab".repeat(length)
        ),
    }
}

pub fn comment_field<'a>(text: &'a str, name: &str) -> &'a str {
    let comment = text
        .rsplit("/* ")
        .next()
        .unwrap_or("")
        .trim_end_matches(" */");
    comment
        .split(',')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map_or("", |(_, value)| value)
}
