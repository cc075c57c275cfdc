//! Calls of a sidecar's own pages.

use serde::Deserialize;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a sidecar may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What is read of a sidecar's view of its fleet.
#[derive(Deserialize)]
pub(super) struct FleetPage {
    /// Where it takes datagrams.
    pub(super) listens: SocketAddr,
    /// Datagrams that were refused, by the reason.
    pub(super) refused: Vec<(String, u64)>,
    pub(super) members: Vec<PageMember>,
}

#[derive(Deserialize)]
pub(super) struct PageMember {
    pub(super) name: String,
    #[serde(rename = "standing")]
    pub(super) status: String,
}

/// A sidecar's view of its fleet; none if it does not answer.
pub(super) fn fleet_page(address: SocketAddr) -> Option<FleetPage> {
    let text = ask(address).ok()?;
    serde_json::from_str(&text).ok()
}

/// Where a sidecar takes datagrams.
///
/// # Errors
/// The sidecar does not answer, or answers something else.
pub fn listens(address: SocketAddr) -> io::Result<SocketAddr> {
    let page: FleetPage = serde_json::from_str(&ask(address)?)?;
    Ok(page.listens)
}

/// The body of a sidecar's page on its fleet.
///
/// # Errors
/// The sidecar does not answer, or with an error.
pub fn ask(address: SocketAddr) -> io::Result<String> {
    call(address, "GET", "/limewing/fleet", "")
}

/// One call of a sidecar's own pages; returns the body of its answer.
///
/// # Errors
/// The sidecar does not answer, or with another status than 200 and 202: then the error says what it answered.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    if matches!(head.split(' ').nth(1), Some("200" | "202")) {
        return Ok(body.to_owned());
    }
    let said = if body.is_empty() {
        head.lines().next().unwrap_or("nothing")
    } else {
        body.trim()
    };
    Err(io::Error::other(said.to_owned()))
}
