//! HTTP calls to a sidecar's own pages.

use serde::Deserialize;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The timeout of connecting, and of each read of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields that are read of a sidecar's page on its fleet.
#[derive(Deserialize)]
pub(super) struct FleetPage {
    /// The address at which the sidecar receives datagrams.
    #[serde(rename = "listens")]
    pub(super) datagram_address: SocketAddr,
    /// The number of rejected datagrams, by reason.
    pub(super) refused: Vec<(String, u64)>,
    pub(super) members: Vec<PageMember>,
}

#[derive(Deserialize)]
pub(super) struct PageMember {
    pub(super) name: String,
    #[serde(rename = "standing")]
    pub(super) status: String,
}

/// A sidecar's page on its fleet; `None` if it does not answer.
pub(super) fn fleet_page(address: SocketAddr) -> Option<FleetPage> {
    let text = fetch_fleet_page(address).ok()?;
    serde_json::from_str(&text).ok()
}

/// Returns the address at which a sidecar receives datagrams.
///
/// # Errors
/// Fails if the sidecar does not answer, or if the answer can't be parsed.
pub fn fetch_datagram_address(address: SocketAddr) -> io::Result<SocketAddr> {
    let page: FleetPage = serde_json::from_str(&fetch_fleet_page(address)?)?;
    Ok(page.datagram_address)
}

/// Returns the body of a sidecar's page on its fleet.
///
/// # Errors
/// Fails if the sidecar does not answer, or answers with an error.
pub fn fetch_fleet_page(address: SocketAddr) -> io::Result<String> {
    call_sidecar(address, "GET", "/limewing/fleet", "")
}

/// Calls one of a sidecar's own pages; returns the body of the answer.
///
/// # Errors
/// Fails if the sidecar does not answer, or answers with a status other than 200 and 202; the error then has the text of the answer.
pub fn call_sidecar(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<String> {
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
    let message = if body.is_empty() {
        head.lines().next().unwrap_or("nothing")
    } else {
        body.trim()
    };
    Err(io::Error::other(message.to_owned()))
}
