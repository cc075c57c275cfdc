//! Encodes messages at the end of a buffer.

use crate::message::LENGTH_FIELD;
use crate::{backend, frontend, PROTOCOL_VERSION};
use bytes::{BufMut, BytesMut};

/// Bytes of the zero that ends a string.
const STRING_END: usize = 1;
/// Object identifier of the type `bytea`.
const BYTEA_OID: u32 = 17;
/// Transaction status of a ReadyForQuery outside of a transaction.
const IDLE: u8 = b'I';
/// Format code of binary values.
const BINARY_FORMAT: u16 = 1;

/// The severity of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The query failed; the session continues.
    Error,
    /// The session ends.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// The fields of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse<'a> {
    /// The severity, written to both the localized and the non-localized severity field.
    pub severity: Severity,
    /// The SQLSTATE code of the error: five letters and digits.
    pub sqlstate: &'a str,
    /// The error message, in one line.
    pub message: &'a str,
    /// Further details; the field is omitted if there are none.
    pub detail: Option<&'a str>,
}

/// Writes a message of type `kind`; `content` writes the bytes that follow the length.
pub fn message(out: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    out.put_u8(kind);
    with_length(out, content);
}

/// Writes a length field, which includes itself, followed by the output of `content`.
fn with_length(out: &mut BytesMut, content: impl FnOnce(&mut BytesMut)) {
    let start = out.len();
    out.put_u32(0);
    content(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_string(out: &mut BytesMut, text: &str) {
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// Writes a message with an already encoded body.
pub fn message_with_body(out: &mut BytesMut, kind: u8, body: &[u8]) {
    message(out, kind, |out| out.put_slice(body));
}

/// Writes a StartupMessage with these parameters.
pub fn startup_message(out: &mut BytesMut, parameters: &[(&str, &str)]) {
    with_length(out, |out| {
        out.put_u32(PROTOCOL_VERSION);
        for (name, value) in parameters {
            put_string(out, name);
            put_string(out, value);
        }
        out.put_u8(0);
    });
}

/// Writes a Query.
pub fn query(out: &mut BytesMut, statement: &str) {
    message(out, frontend::QUERY, |out| put_string(out, statement));
}

/// Writes the type and the length of a Query whose statement is `length` bytes long. The statement
/// and a zero byte have to follow.
pub fn query_header(out: &mut BytesMut, length: usize) {
    out.put_u8(frontend::QUERY);
    out.put_u32((LENGTH_FIELD + length + STRING_END) as u32);
}

/// Writes the messages with which a server starts a session: AuthenticationOk, ParameterStatus for
/// each of `parameters`, BackendKeyData, ReadyForQuery.
pub fn session_start(out: &mut BytesMut, parameters: &[(&str, &str)]) {
    message(out, backend::AUTHENTICATION, |out| out.put_u32(0));
    for (name, value) in parameters {
        parameter_status(out, name, value);
    }
    message(out, backend::BACKEND_KEY_DATA, |out| out.put_u64(0));
    ready_for_query(out);
}

/// Writes a ParameterStatus.
pub fn parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    message(out, backend::PARAMETER_STATUS, |out| {
        put_string(out, name);
        put_string(out, value);
    });
}

/// Writes a ReadyForQuery outside of a transaction.
pub fn ready_for_query(out: &mut BytesMut) {
    message(out, backend::READY_FOR_QUERY, |out| out.put_u8(IDLE));
}

/// Writes an EmptyQueryResponse.
pub fn empty_query_response(out: &mut BytesMut) {
    message(out, backend::EMPTY_QUERY_RESPONSE, |_| {});
}

/// Writes a CommandComplete with this tag.
pub fn command_complete(out: &mut BytesMut, tag: &str) {
    message(out, backend::COMMAND_COMPLETE, |out| put_string(out, tag));
}

/// Writes a RowDescription with one column of type `bytea`, in binary format.
pub fn row_description(out: &mut BytesMut, column: &str) {
    message(out, backend::ROW_DESCRIPTION, |out| {
        out.put_u16(1);
        put_string(out, column);
        // The column does not belong to a table.
        out.put_u32(0);
        out.put_u16(0);
        out.put_u32(BYTEA_OID);
        // The type has a variable size and no modifier.
        out.put_i16(-1);
        out.put_i32(-1);
        out.put_u16(BINARY_FORMAT);
    });
}

/// Writes a DataRow with one value.
pub fn data_row(out: &mut BytesMut, value: &[u8]) {
    message(out, backend::DATA_ROW, |out| {
        out.put_u16(1);
        out.put_u32(value.len() as u32);
        out.put_slice(value);
    });
}

/// Writes an ErrorResponse.
pub fn error_response(out: &mut BytesMut, error: &ErrorResponse<'_>) {
    let severity = error.severity.as_str();
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', error.sqlstate),
        (b'M', error.message),
    ];
    let detail = error.detail.map(|detail| (b'D', detail));
    message(out, backend::ERROR_RESPONSE, |out| {
        for (name, text) in fields.into_iter().chain(detail) {
            out.put_u8(name);
            put_string(out, text);
        }
        out.put_u8(0);
    });
}
