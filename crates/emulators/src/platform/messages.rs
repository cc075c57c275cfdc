//! Answers of pods in the PostgreSQL protocol.

use bytes::BytesMut;
use limewing_postgres_protocol::encode::{self, ErrorResponse, Severity};

/// The bytes of an answer with one row that has this value.
#[must_use]
pub fn encode_answer(value: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_answer(&mut out, value);
    out.to_vec()
}

/// Writes an answer with one row, up to ReadyForQuery.
pub(super) fn write_answer(out: &mut BytesMut, value: &str) {
    encode::row_description(out, "blob");
    encode::data_row(out, value.as_bytes());
    encode::command_complete(out, "SELECT 1");
    encode::parameter_status(out, "load", "inflight=1");
    encode::ready_for_query(out);
}

/// Writes the answer to an empty query, up to ReadyForQuery.
pub(super) fn write_empty_answer(out: &mut BytesMut) {
    encode::empty_query_response(out);
    encode::ready_for_query(out);
}

/// The bytes of an error with this SQLSTATE, up to ReadyForQuery.
pub(super) fn error(code: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    let response = ErrorResponse {
        severity: Severity::Error,
        sqlstate: code,
        message: "as told",
        detail: None,
    };
    encode::error_response(&mut out, &response);
    encode::ready_for_query(&mut out);
    out.to_vec()
}
