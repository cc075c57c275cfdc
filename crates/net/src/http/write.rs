//! Appends heads of requests and responses to a buffer.

use super::parse::may_have_body;
use crate::framing::Framing;
use bytes::BytesMut;

/// Writes the head of a request. `fields` must contain `Host` and neither `Content-Length` nor `Transfer-Encoding`.
pub fn write_request<'a>(
    out: &mut BytesMut,
    method: &str,
    target: &str,
    fields: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    framing: Framing,
) {
    for part in [method.as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"] {
        out.extend_from_slice(part);
    }
    write_fields(out, fields);
    // Methods that define no body are sent without `Content-Length: 0` (RFC 9110, 8.6).
    let omits_length =
        framing == Framing::Length(0) && matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if !omits_length {
        write_framing(out, framing);
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response. `fields` must contain neither `Content-Length` nor `Transfer-Encoding`.
pub fn write_response<'a>(
    out: &mut BytesMut,
    status: u16,
    fields: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    framing: Framing,
    keep_alive: bool,
) {
    let mut digits = itoa::Buffer::new();
    for part in [
        "HTTP/1.1 ",
        digits.format(status),
        " ",
        reason_phrase(status),
        "\r\n",
    ] {
        out.extend_from_slice(part.as_bytes());
    }
    write_fields(out, fields);
    if may_have_body(status) {
        write_framing(out, framing);
    }
    if !keep_alive {
        write_field(out, b"connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes one header field with its line end.
pub fn write_field(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}

fn write_fields<'a>(out: &mut BytesMut, fields: impl Iterator<Item = (&'a [u8], &'a [u8])>) {
    for (name, value) in fields {
        write_field(out, name, value);
    }
}

fn write_framing(out: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(length) => {
            let mut digits = itoa::Buffer::new();
            write_field(out, b"content-length", digits.format(length).as_bytes());
        }
        Framing::Chunked => write_field(out, b"transfer-encoding", b"chunked"),
        Framing::UntilClose => {}
    }
}

/// The reason phrase of the statuses that limewing sends; others get a placeholder, as clients ignore the phrase.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
