//! Reads the contents of messages, and the packet that a client sends first.

use crate::{ProtocolError, PROTOCOL_VERSION};
use bytes::BytesMut;

/// The first packet of a client. It has no type byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// SSLRequest or GSSENCRequest: the client asks for encryption, and goes on once that is refused by one byte.
    SslRequest,
    /// CancelRequest: the query of another connection is to be cancelled.
    CancelRequest,
    /// StartupMessage: a session begins.
    StartupMessage,
}

/// Bound of a startup packet, in bytes; PostgreSQL's own (`MAX_STARTUP_PACKET_LENGTH`).
const MAX_STARTUP_PACKET: usize = 10_000;
/// Bytes of a startup packet's length and code.
const STARTUP_HEADER: usize = 8;
/// Where a startup packet's code, or version, stands in it.
const CODE_OFFSET: usize = 4;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSSENC_REQUEST_CODE: u32 = 80_877_104;
/// Bytes of a column in a RowDescription behind its name: table, column, type, its size, its modifier, the format.
const COLUMN_ATTRIBUTES: usize = 18;
/// A count of one, as RowDescription and DataRow begin with.
const COUNT_OF_ONE: [u8; 2] = [0, 1];
/// Length of an SQLSTATE, in bytes.
const SQLSTATE_LENGTH: usize = 5;

/// Takes the startup packet off the front of `input`; `None` while it is incomplete.
///
/// # Errors
/// Its length, its version, or parameters that can't be read.
pub fn startup_packet(input: &mut BytesMut) -> Result<Option<StartupPacket>, ProtocolError> {
    let Some(announced) = u32_at(input, 0) else {
        return Ok(None);
    };
    let length = announced as usize;
    if !(STARTUP_HEADER..=MAX_STARTUP_PACKET).contains(&length) {
        return Err(ProtocolError::InvalidLength);
    }
    // The code is checked before all of the packet has come.
    let packet = match u32_at(input, CODE_OFFSET) {
        None => return Ok(None),
        Some(CANCEL_REQUEST_CODE) => StartupPacket::CancelRequest,
        Some(SSL_REQUEST_CODE | GSSENC_REQUEST_CODE) => StartupPacket::SslRequest,
        Some(PROTOCOL_VERSION) => StartupPacket::StartupMessage,
        Some(_) => return Err(ProtocolError::InvalidContent),
    };
    if input.len() < length {
        return Ok(None);
    }
    let bytes = input.split_to(length);
    if packet == StartupPacket::StartupMessage {
        check_parameters(&bytes[STARTUP_HEADER..])?;
    }
    Ok(Some(packet))
}

/// Names and values, each ended by a zero, and one more zero.
fn check_parameters(parameters: &[u8]) -> Result<(), ProtocolError> {
    let parts: Vec<&[u8]> = parameters.split(|byte| *byte == 0).collect();
    let Some((pairs, [[], []])) = parts.split_last_chunk::<2>() else {
        return Err(ProtocolError::InvalidContent);
    };
    let are_named = pairs.iter().step_by(2).all(|name| !name.is_empty());
    if pairs.len() % 2 != 0 || !are_named {
        return Err(ProtocolError::InvalidContent);
    }
    Ok(())
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    field.try_into().ok().map(u32::from_be_bytes)
}

/// The text of a Query, or the tag of a CommandComplete: UTF-8 that the message's last byte ends, a zero, and that holds no
/// other zero.
#[must_use]
pub fn string(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    if *last != 0 || text.contains(&0) {
        return None;
    }
    std::str::from_utf8(text).ok()
}

/// The column's name in a RowDescription of one column.
#[must_use]
pub fn single_column_name(body: &[u8]) -> Option<&str> {
    let rest = body.strip_prefix(&COUNT_OF_ONE)?;
    let end = rest.iter().position(|byte| *byte == 0)?;
    if rest.len() != end + 1 + COLUMN_ATTRIBUTES {
        return None;
    }
    std::str::from_utf8(&rest[..end]).ok()
}

/// The value in a DataRow of one value, which is not null.
#[must_use]
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&COUNT_OF_ONE)?;
    let length = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    rest.get(4..).filter(|value| value.len() == length)
}

/// The fields of an ErrorResponse or a NoticeResponse: the byte that names each, and its text.
#[must_use]
pub fn error_fields(body: &[u8]) -> Option<Vec<(u8, &str)>> {
    let (last, mut rest) = body.split_last()?;
    if *last != 0 {
        return None;
    }
    let mut fields = Vec::new();
    while let Some((name, after)) = rest.split_first() {
        let end = after.iter().position(|byte| *byte == 0)?;
        fields.push((*name, std::str::from_utf8(&after[..end]).ok()?));
        rest = &after[end + 1..];
    }
    Some(fields)
}

/// The SQLSTATE of an ErrorResponse: five letters and digits.
#[must_use]
pub fn sqlstate(body: &[u8]) -> Option<&str> {
    let fields = error_fields(body)?;
    let (_, code) = fields.into_iter().find(|(name, _)| *name == b'C')?;
    let is_valid =
        code.len() == SQLSTATE_LENGTH && code.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_valid.then_some(code)
}

/// Whether an Authentication message is AuthenticationOk: no password is asked for.
#[must_use]
pub fn is_authentication_ok(body: &[u8]) -> bool {
    body == [0; 4]
}
