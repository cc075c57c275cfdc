//! The messages of PostgreSQL's protocol that clients and pods exchange.

use std::io::{self, Read, Write};
use std::net::TcpStream;

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn startup() -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0api\0database\0ledger\0\0");
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend_from_slice(b"blob\0");
    description.extend_from_slice(&[0; 6]);
    description.extend_from_slice(&17u32.to_be_bytes());
    description.extend_from_slice(&[0xff, 0xff]);
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

pub fn error(code: &str) -> Vec<u8> {
    let mut body = b"SERROR\0C".to_vec();
    body.extend_from_slice(code.as_bytes());
    body.extend_from_slice(b"\0Mstand-in\0\0");
    message(b'E', &body)
}

/// Reads one message with a type.
pub fn read(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)
}

/// Starts a session as a client.
pub fn open(stream: &mut TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.write_all(&startup())?;
    while read(stream)?.0 != b'Z' {}
    Ok(())
}

/// The value of a field of the comment.
pub fn field(text: &str, name: &str) -> Option<String> {
    let comment = text.split("/* ").nth(1)?.split(" */").next()?;
    comment
        .split(',')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .map(str::to_owned)
}
