//! Decodes the contents of messages, and the startup packet of a client.

use crate::{ProtocolError, PROTOCOL_VERSION};
use bytes::BytesMut;

/// The first packet that a client sends. It has no type byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// SSLRequest or GSSENCRequest: the client asks for encryption, and continues once that is
    /// refused with a single byte.
    SslRequest,
    /// CancelRequest: the client asks to cancel the query of another connection.
    CancelRequest,
    /// StartupMessage: the client starts a session.
    StartupMessage,
}

/// Maximum length of a startup packet, in bytes, as in PostgreSQL (`MAX_STARTUP_PACKET_LENGTH`).
const MAX_STARTUP_PACKET: usize = 10_000;
/// Bytes of the length and the code of a startup packet.
const STARTUP_HEADER: usize = 8;
/// Offset of the code, or protocol version, in a startup packet.
const CODE_OFFSET: usize = 4;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSSENC_REQUEST_CODE: u32 = 80_877_104;
/// Bytes that follow the name of a column in a RowDescription: table, column, type, type size, type
/// modifier, format.
const COLUMN_ATTRIBUTES: usize = 18;
/// The count field of a RowDescription or a DataRow with one column.
const SINGLE_COLUMN_COUNT: [u8; 2] = [0, 1];
/// Length of an SQLSTATE, in bytes.
const SQLSTATE_LENGTH: usize = 5;

/// Takes the startup packet from the front of `input`; returns `None` while it is incomplete.
///
/// # Errors
/// Returns an error if the length, the protocol version or the parameters are invalid.
pub fn startup_packet(input: &mut BytesMut) -> Result<Option<StartupPacket>, ProtocolError> {
    let Some(announced) = u32_at(input, 0) else {
        return Ok(None);
    };
    let length = announced as usize;
    if !(STARTUP_HEADER..=MAX_STARTUP_PACKET).contains(&length) {
        return Err(ProtocolError::InvalidLength);
    }
    // The code is checked before the packet is complete.
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

/// Checks names and values, each terminated by a zero byte, and the final zero byte.
fn check_parameters(parameters: &[u8]) -> Result<(), ProtocolError> {
    let parts: Vec<&[u8]> = parameters.split(|byte| *byte == 0).collect();
    let Some((pairs, [[], []])) = parts.split_last_chunk::<2>() else {
        return Err(ProtocolError::InvalidContent);
    };
    let has_names = pairs.iter().step_by(2).all(|name| !name.is_empty());
    if pairs.len() % 2 != 0 || !has_names {
        return Err(ProtocolError::InvalidContent);
    }
    Ok(())
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    field.try_into().ok().map(u32::from_be_bytes)
}

/// Decodes the text of a Query or the tag of a CommandComplete: UTF-8 terminated by a zero byte,
/// which is the last byte of the message and the only zero byte.
#[must_use]
pub fn string(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    if *last != 0 || text.contains(&0) {
        return None;
    }
    std::str::from_utf8(text).ok()
}

/// Decodes the column name from a RowDescription with a single column.
#[must_use]
pub fn single_column_name(body: &[u8]) -> Option<&str> {
    let rest = body.strip_prefix(&SINGLE_COLUMN_COUNT)?;
    let end = rest.iter().position(|byte| *byte == 0)?;
    if rest.len() != end + 1 + COLUMN_ATTRIBUTES {
        return None;
    }
    std::str::from_utf8(&rest[..end]).ok()
}

/// Decodes the value from a DataRow with a single non-null value.
#[must_use]
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&SINGLE_COLUMN_COUNT)?;
    let length = i32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let length = usize::try_from(length).ok()?;
    rest.get(4..).filter(|value| value.len() == length)
}

/// Decodes the fields of an ErrorResponse or a NoticeResponse: the type byte and the text of each
/// one.
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

/// Decodes the SQLSTATE of an ErrorResponse: five letters and digits.
#[must_use]
pub fn sqlstate(body: &[u8]) -> Option<&str> {
    let fields = error_fields(body)?;
    let (_, code) = fields.into_iter().find(|(name, _)| *name == b'C')?;
    let is_valid =
        code.len() == SQLSTATE_LENGTH && code.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_valid.then_some(code)
}

/// Whether an Authentication message is AuthenticationOk, so that no password is needed.
#[must_use]
pub fn is_authentication_ok(body: &[u8]) -> bool {
    body == [0; 4]
}
