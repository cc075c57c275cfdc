//! Parses heads of requests and responses from the front of a buffer.

use super::fields::{field_spans, has_token, Fields};
use crate::error::HttpError;
use crate::framing::Framing;
use bytes::BytesMut;

/// Upper bound of [`HeadLimits::fields`].
pub const MAX_FIELDS: usize = 64;
/// The default maximum size of a head, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of digits in a length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Size limits of a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// The maximum size including line ends, in bytes.
    pub bytes: usize,
    /// The maximum number of fields; at most [`MAX_FIELDS`].
    pub fields: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            bytes: DEFAULT_HEAD_BYTES,
            fields: MAX_FIELDS,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent (RFC 9112, 3.2).
    pub target: String,
    /// The header fields.
    pub fields: Fields,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the client allows the connection to persist after the response.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
    pub expects_continue: bool,
}

impl RequestHead {
    /// The memory that the head holds besides itself, in bytes.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        self.method.len() + self.target.len() + self.fields.memory_size()
    }
}

/// The head of a final response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: Fields,
    /// The framing of the body.
    pub framing: Framing,
    /// Whether the connection persists after the response.
    pub keep_alive: bool,
}

/// Takes a request head from the front of `input`; `None` while it is incomplete.
///
/// # Errors
///
/// Any [`HttpError`] of a head. The connection must be closed after the response (RFC 9112, 9.6).
pub fn parse_request(
    input: &mut BytesMut,
    limits: HeadLimits,
) -> Result<Option<RequestHead>, HttpError> {
    // Empty lines before a request line are skipped (RFC 9112, 2.2).
    while input.starts_with(b"\r\n") {
        let _ = input.split_to(2);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers[..limits.fields.min(MAX_FIELDS)]);
    let parse_status = parsed.parse(input);
    let Some(length) = head_length(parse_status, input.len(), limits)? else {
        return Ok(None);
    };
    let minor_version = parsed.version.ok_or(HttpError::InvalidHead)?;
    let method = parsed.method.ok_or(HttpError::InvalidHead)?.to_owned();
    let target = parsed.path.ok_or(HttpError::InvalidHead)?.to_owned();
    let spans = field_spans(parsed.headers, input);
    let fields = Fields::take(spans, input, length)?;
    if minor_version == 1 && fields.all("host").count() != 1 {
        return Err(HttpError::InvalidHost);
    }
    let framing = request_framing(&fields, minor_version)?;
    let expects_continue = fields
        .get("expect")
        .is_some_and(|value| has_token(value, b"100-continue"));
    let keep_alive = is_persistent(&fields, minor_version);
    Ok(Some(RequestHead {
        method,
        target,
        fields,
        framing,
        keep_alive,
        expects_continue,
    }))
}

/// Takes a response head from the front of `input`; `None` while it is incomplete. Interim responses (1xx) are skipped,
/// except `101 Switching Protocols`. With `request_was_head`, the response has no body.
///
/// # Errors
///
/// Any [`HttpError`] of a head. Nothing more can be read from that connection.
pub fn parse_response(
    input: &mut BytesMut,
    request_was_head: bool,
    limits: HeadLimits,
) -> Result<Option<ResponseHead>, HttpError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers[..limits.fields.min(MAX_FIELDS)]);
        let parse_status = parsed.parse(input);
        let Some(length) = head_length(parse_status, input.len(), limits)? else {
            return Ok(None);
        };
        let status = parsed.code.ok_or(HttpError::InvalidHead)?;
        let minor_version = parsed.version.ok_or(HttpError::InvalidHead)?;
        let spans = field_spans(parsed.headers, input);
        let fields = Fields::take(spans, input, length)?;
        if status / 100 == 1 && status != STATUS_SWITCHING_PROTOCOLS {
            continue;
        }
        let framing = response_framing(&fields, status, request_was_head)?;
        let keep_alive = is_persistent(&fields, minor_version) && framing != Framing::UntilClose;
        return Ok(Some(ResponseHead {
            status,
            fields,
            framing,
            keep_alive,
        }));
    }
}

/// The length of a complete head, in bytes; `None` while more input is needed. `available` is the number of bytes that
/// were parsed.
fn head_length(
    parse_status: httparse::Result<usize>,
    available: usize,
    limits: HeadLimits,
) -> Result<Option<usize>, HttpError> {
    match parse_status {
        Ok(httparse::Status::Complete(length)) if length <= limits.bytes => Ok(Some(length)),
        Ok(httparse::Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            Err(HttpError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) if available > limits.bytes => Err(HttpError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::InvalidHead),
    }
}

fn request_framing(fields: &Fields, minor_version: u8) -> Result<Framing, HttpError> {
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(HttpError::ConflictingLengths),
        // HTTP/1.0 has no transfer codings.
        (true, None) if minor_version == 0 => Err(HttpError::ConflictingLengths),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

fn response_framing(
    fields: &Fields,
    status: u16,
    request_was_head: bool,
) -> Result<Framing, HttpError> {
    let chunked = is_chunked(fields)?;
    let length = content_length(fields)?;
    if request_was_head || !may_have_body(status) {
        return Ok(Framing::Length(0));
    }
    match (chunked, length) {
        (true, Some(_)) => Err(HttpError::ConflictingLengths),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// Whether a response with this status can have a body (RFC 9112, 6.3).
pub(super) fn may_have_body(status: u16) -> bool {
    status != STATUS_NO_CONTENT && status != STATUS_NOT_MODIFIED
}

fn is_chunked(fields: &Fields) -> Result<bool, HttpError> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HttpError::UnsupportedCoding),
    }
}

fn content_length(fields: &Fields) -> Result<Option<u64>, HttpError> {
    let mut lengths = fields.all("content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(None),
        (Some(digits), None) => parse_length(digits)
            .map(Some)
            .ok_or(HttpError::ConflictingLengths),
        _ => Err(HttpError::ConflictingLengths),
    }
}

/// Parses a length that consists of digits only; `str::parse` would also accept a sign.
fn parse_length(digits: &[u8]) -> Option<u64> {
    let is_digits_only = digits.iter().all(u8::is_ascii_digit);
    if digits.is_empty() || digits.len() > MAX_LENGTH_DIGITS || !is_digits_only {
        return None;
    }
    let length = digits
        .iter()
        .fold(0, |value, digit| value * 10 + u64::from(digit - b'0'));
    Some(length)
}

/// Whether the connection persists after this message (RFC 9112, 9.3).
fn is_persistent(fields: &Fields, minor_version: u8) -> bool {
    if fields.connection_lists(b"close") {
        return false;
    }
    minor_version == 1 || fields.connection_lists(b"keep-alive")
}
