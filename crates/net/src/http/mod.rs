//! Heads of HTTP/1.1 messages (RFC 9110, RFC 9112): parsing and serialization.
//!
//! A message that two parsers could interpret differently is rejected, as it would allow request smuggling through the
//! proxy.

mod fields;
mod parse;
mod write;

pub use crate::error::HttpError;
pub use fields::Fields;
pub use parse::{parse_request, parse_response, HeadLimits, RequestHead, ResponseHead, MAX_FIELDS};
pub use write::{write_field, write_request, write_response};
