//! Heads of HTTP/1.1 messages (RFC 9110, 9112). What two readers could take in two ways is refused.

use crate::body::Framing;
use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Why a message can't be taken. `status` is what a server answers to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    #[error("the head is larger than allowed")]
    HeadTooLarge,
    #[error("the head is not HTTP/1.1")]
    InvalidHead,
    #[error("line ends without carriage return")]
    BareLineFeed,
    #[error("conflicting or doubled lengths")]
    ConflictingLengths,
    #[error("a transfer coding other than chunked")]
    UnsupportedCoding,
    #[error("a broken chunk")]
    InvalidChunk,
    #[error("more than one or no host")]
    InvalidHost,
    #[error("the message ended early")]
    UnexpectedEnd,
    #[error("the body is larger than allowed")]
    BodyTooLarge,
}

impl HttpError {
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLarge => 431,
            HttpError::UnsupportedCoding => 501,
            HttpError::BodyTooLarge => 413,
            _ => 400,
        }
    }
}

/// The most that a head may hold.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    pub bytes: usize,
    pub fields: usize,
}

/// No limit allows more fields than this.
pub const MAX_FIELDS: usize = 64;

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            bytes: 16 * 1024,
            fields: MAX_FIELDS,
        }
    }
}

/// The fields of a head, as places in its bytes.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    places: Vec<(Span, Span)>,
}

impl Fields {
    fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let part = |(from, length): Span| &self.raw[from..from + length];
        self.places
            .iter()
            .map(move |(name, value)| (part(*name), part(*value)))
    }

    /// The first field of that name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let same = move |n: &[u8]| n.eq_ignore_ascii_case(name.as_bytes());
        self.iter().filter(move |(n, _)| same(n)).map(|(_, v)| v)
    }

    /// The fields that go from one connection to the next: all but those that speak of this one alone
    /// (RFC 9110, 7.6.1), and lengths, which the sender sets.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        let named = move |name: &[u8]| self.all("connection").any(|value| has_token(value, name));
        self.iter().filter(move |(n, _)| !is_own(n) && !named(n))
    }
}

const OWN: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authorization",
];

fn is_own(name: &[u8]) -> bool {
    OWN.iter()
        .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
}

fn has_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|b| *b == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}

#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: String,
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    pub keep_alive: bool,
    pub expects_continue: bool,
}

#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// Takes a request's head off the front of `input`; none while it is not whole.
///
/// # Errors
/// What is refused, by RFC 9112: the connection must be closed after the answer.
pub fn parse_request(
    input: &mut BytesMut,
    limits: HeadLimits,
) -> Result<Option<RequestHead>, HttpError> {
    // An empty line before a request is skipped (RFC 9112, 2.2).
    while input.starts_with(b"\r\n") {
        let _ = input.split_to(2);
    }
    let mut space = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut space[..limits.fields.min(MAX_FIELDS)]);
    let status = head.parse(input);
    let Some(length) = length_of(status, input.len(), limits)? else {
        return Ok(None);
    };
    let minor = head.version.ok_or(HttpError::InvalidHead)?;
    let (method, target) = (
        head.method.ok_or(HttpError::InvalidHead)?,
        head.path.ok_or(HttpError::InvalidHead)?,
    );
    let (method, target) = (method.to_owned(), target.to_owned());
    let spans = spans(head.headers, input);
    let fields = fields(spans, input, length)?;
    if minor == 1 && fields.all("host").count() != 1 {
        return Err(HttpError::InvalidHost);
    }
    let framing = match (coding(&fields)?, content_length(&fields)?) {
        (true, Some(_)) => return Err(HttpError::ConflictingLengths),
        (true, None) if minor == 0 => return Err(HttpError::ConflictingLengths),
        (true, None) => Framing::Chunked,
        (false, length) => Framing::Length(length.unwrap_or(0)),
    };
    let expects_continue = fields
        .get("expect")
        .is_some_and(|v| has_token(v, b"100-continue"));
    let keep_alive = keep_alive(&fields, minor);
    Ok(Some(RequestHead {
        method,
        target,
        fields,
        framing,
        keep_alive,
        expects_continue,
    }))
}

/// Takes a response's head off the front of `input`; heads of status 1xx are skipped.
///
/// # Errors
/// What is refused: nothing more can be read from that connection.
pub fn parse_response(
    input: &mut BytesMut,
    to_head: bool,
    limits: HeadLimits,
) -> Result<Option<ResponseHead>, HttpError> {
    loop {
        let mut space = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut space[..limits.fields.min(MAX_FIELDS)]);
        let status = head.parse(input);
        let Some(length) = length_of(status, input.len(), limits)? else {
            return Ok(None);
        };
        let (status, minor) = (
            head.code.ok_or(HttpError::InvalidHead)?,
            head.version.ok_or(HttpError::InvalidHead)?,
        );
        let spans = spans(head.headers, input);
        let fields = fields(spans, input, length)?;
        if status / 100 == 1 && status != 101 {
            continue;
        }
        let framing = match (coding(&fields)?, content_length(&fields)?) {
            _ if to_head || status == 204 || status == 304 => Framing::Length(0),
            (true, Some(_)) => return Err(HttpError::ConflictingLengths),
            (true, None) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        };
        let keep_alive = keep_alive(&fields, minor) && framing != Framing::UntilClose;
        return Ok(Some(ResponseHead {
            status,
            fields,
            framing,
            keep_alive,
        }));
    }
}

fn length_of(
    status: httparse::Result<usize>,
    held: usize,
    limits: HeadLimits,
) -> Result<Option<usize>, HttpError> {
    match status {
        Ok(httparse::Status::Complete(length)) if length <= limits.bytes => Ok(Some(length)),
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            Err(HttpError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) if held > limits.bytes => Err(HttpError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::InvalidHead),
    }
}

type Span = (usize, usize);

/// Where names and values stand in `input`.
fn spans(headers: &[httparse::Header], input: &[u8]) -> Vec<(Span, Span)> {
    let base = input.as_ptr() as usize;
    let span = |part: &[u8]| match part.is_empty() {
        true => (0, 0),
        false => (part.as_ptr() as usize - base, part.len()),
    };
    headers
        .iter()
        .map(|h| (span(h.name.as_bytes()), span(h.value)))
        .collect()
}

fn fields(
    places: Vec<(Span, Span)>,
    input: &mut BytesMut,
    length: usize,
) -> Result<Fields, HttpError> {
    let raw = input.split_to(length).freeze();
    let bare = |at: usize| at == 0 || raw[at - 1] != b'\r';
    if memchr::memchr_iter(b'\n', &raw).any(bare) {
        return Err(HttpError::BareLineFeed);
    }
    Ok(Fields { raw, places })
}

fn coding(fields: &Fields) -> Result<bool, HttpError> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(one), None) if one.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HttpError::UnsupportedCoding),
    }
}

fn content_length(fields: &Fields) -> Result<Option<u64>, HttpError> {
    let mut lengths = fields.all("content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(None),
        (Some(one), None)
            if !one.is_empty() && one.len() < 19 && one.iter().all(u8::is_ascii_digit) =>
        {
            Ok(Some(
                one.iter()
                    .fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0')),
            ))
        }
        _ => Err(HttpError::ConflictingLengths),
    }
}

fn keep_alive(fields: &Fields, minor: u8) -> bool {
    let says = |token: &[u8]| {
        fields
            .all("connection")
            .any(|value| has_token(value, token))
    };
    !says(b"close") && (minor == 1 || says(b"keep-alive"))
}

/// Writes the head of a request; `fields` must hold a host.
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
    fields.for_each(|(name, value)| write_field(out, name, value));
    let bare =
        framing == Framing::Length(0) && matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if !bare {
        write_framing(out, framing);
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response.
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
        reason(status),
        "\r\n",
    ] {
        out.extend_from_slice(part.as_bytes());
    }
    fields.for_each(|(name, value)| write_field(out, name, value));
    if status != 204 && status != 304 {
        write_framing(out, framing);
    }
    if !keep_alive {
        write_field(out, b"connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
}

pub fn write_field(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}

fn write_framing(out: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(length) => write_field(
            out,
            b"content-length",
            itoa::Buffer::new().format(length).as_bytes(),
        ),
        Framing::Chunked => write_field(out, b"transfer-encoding", b"chunked"),
        Framing::UntilClose => {}
    }
}

fn reason(status: u16) -> &'static str {
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
