//! Header fields of a message head.

use crate::error::HttpError;
use bytes::{Buf, Bytes, BytesMut};

/// Hop-by-hop fields (RFC 9110, 7.6.1), and `content-length`, which each sender sets itself.
const HOP_BY_HOP: [&str; 10] = [
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

/// A byte range within a head.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: usize,
    length: usize,
}

/// The positions of a field's name and value in a head.
#[derive(Clone, Copy, Debug)]
pub(super) struct FieldSpan {
    name: Span,
    value: Span,
}

/// The fields of one head, in the order received. Names are case-insensitive.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    spans: Vec<FieldSpan>,
}

impl Fields {
    /// Takes a head of `length` bytes off the front of `input`.
    ///
    /// # Errors
    ///
    /// [`HttpError::BareLineFeed`] if a line does not end with carriage return and line feed.
    pub(super) fn take(
        spans: Vec<FieldSpan>,
        input: &mut BytesMut,
        length: usize,
    ) -> Result<Self, HttpError> {
        // A copy, because a part of the input would keep all of its space allocated.
        let raw = Bytes::copy_from_slice(&input[..length]);
        input.advance(length);
        let is_bare = |position: usize| position == 0 || raw[position - 1] != b'\r';
        if memchr::memchr_iter(b'\n', &raw).any(is_bare) {
            return Err(HttpError::BareLineFeed);
        }
        Ok(Self { raw, spans })
    }

    /// The memory that the fields hold, in bytes.
    #[must_use]
    pub fn memory_size(&self) -> usize {
        self.raw.len() + self.spans.capacity() * size_of::<FieldSpan>()
    }

    fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|field| (self.bytes(field.name), self.bytes(field.value)))
    }

    fn bytes(&self, span: Span) -> &[u8] {
        &self.raw[span.start..span.start + span.length]
    }

    /// The value of the first field with that name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// The value of the first field with that name, if it is UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.get(name)?;
        std::str::from_utf8(value).ok()
    }

    /// The values of all fields with that name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.iter()
            .filter(move |(candidate, _)| candidate.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Names and values of the fields that a proxy passes on: all except hop-by-hop fields, those listed in `Connection`
    /// (RFC 9110, 7.6.1), and `Content-Length`, which the sender sets.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.iter()
            .filter(|(name, _)| !is_hop_by_hop(name) && !self.connection_lists(name))
    }

    /// Whether a `Connection` field contains this token.
    pub(super) fn connection_lists(&self, token: &[u8]) -> bool {
        self.all("connection").any(|value| has_token(value, token))
    }
}

/// The positions of the parsed header names and values in `input`.
pub(super) fn field_spans(headers: &[httparse::Header<'_>], input: &[u8]) -> Vec<FieldSpan> {
    headers
        .iter()
        .map(|header| FieldSpan {
            name: span_within(header.name.as_bytes(), input),
            value: span_within(header.value, input),
        })
        .collect()
}

fn span_within(part: &[u8], input: &[u8]) -> Span {
    // `httparse` may return an empty value that does not point into the input.
    if part.is_empty() {
        return Span {
            start: 0,
            length: 0,
        };
    }
    Span {
        start: part.as_ptr() as usize - input.as_ptr() as usize,
        length: part.len(),
    }
}

fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop.as_bytes()))
}

/// Whether a comma-separated list contains a token, ignoring case.
pub(super) fn has_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|byte| *byte == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
}
