//! The contents of messages.

use crate::Refused;
use bytes::BytesMut;

/// What a client says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// It asks for an encryption that is not had: it is told so in one byte, and goes on.
    Encryption,
    /// It wants a query of another connection called off.
    CallOff,
    Session,
}

const LONGEST_STARTUP: usize = 10_000;
const CALL_OFF: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// Takes the startup message off the front of `input`.
///
/// # Errors
/// Its length, its version, or names and values that can't be read.
pub fn startup(input: &mut BytesMut) -> Result<Option<Startup>, Refused> {
    let Some(told) = u32_at(input, 0) else {
        return Ok(None);
    };
    let length = told as usize;
    if !(8..=LONGEST_STARTUP).contains(&length) {
        return Err(Refused::Length);
    }
    // The version is told before all of it has come.
    match u32_at(input, 4) {
        None => return Ok(None),
        Some(CALL_OFF | TLS | GSS | crate::VERSION) => {}
        Some(_) => return Err(Refused::Content),
    }
    if input.len() < length {
        return Ok(None);
    }
    let message = input.split_to(length);
    match u32_at(&message, 4) {
        Some(TLS | GSS) => Ok(Some(Startup::Encryption)),
        Some(CALL_OFF) => Ok(Some(Startup::CallOff)),
        _ => session(&message[8..]).map(|()| Some(Startup::Session)),
    }
}

/// Names and values, each ended by a zero, and one more zero.
fn session(names: &[u8]) -> Result<(), Refused> {
    let parts: Vec<&[u8]> = names.split(|b| *b == 0).collect();
    match parts.split_last_chunk::<2>() {
        Some((pairs, [[], []]))
            if pairs.len() % 2 == 0 && pairs.iter().step_by(2).all(|n| !n.is_empty()) =>
        {
            Ok(())
        }
        _ => Err(Refused::Content),
    }
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes
        .get(at..at + 4)?
        .try_into()
        .ok()
        .map(u32::from_be_bytes)
}

/// A text ended by the message's last byte, a zero, and without any other.
pub fn text(body: &[u8]) -> Option<&str> {
    let (last, text) = body.split_last()?;
    (*last == 0 && !text.contains(&0)).then_some(())?;
    std::str::from_utf8(text).ok()
}

/// The name of the one column that a row description tells.
pub fn only_column(body: &[u8]) -> Option<&str> {
    let rest = body.strip_prefix(&[0, 1])?;
    let end = rest.iter().position(|b| *b == 0)?;
    // Table, column, type, its size, its modifier, the format.
    (rest.len() == end + 1 + 18).then_some(())?;
    std::str::from_utf8(&rest[..end]).ok()
}

/// The value of a row that has one.
pub fn only_value(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(&[0, 1])?;
    let length = usize::try_from(i32::from_be_bytes(rest.get(..4)?.try_into().ok()?)).ok()?;
    rest.get(4..).filter(|value| value.len() == length)
}

/// The fields of an error or a notice: a letter and a text each.
pub fn fields(body: &[u8]) -> Option<Vec<(u8, &str)>> {
    let (last, mut rest) = body.split_last()?;
    (*last == 0).then_some(())?;
    let mut found = Vec::new();
    while let Some((letter, after)) = rest.split_first() {
        let end = after.iter().position(|b| *b == 0)?;
        found.push((*letter, std::str::from_utf8(&after[..end]).ok()?));
        rest = &after[end + 1..];
    }
    Some(found)
}

/// The code of an error (SQLSTATE).
pub fn code(body: &[u8]) -> Option<&str> {
    let code = fields(body)?
        .into_iter()
        .find(|(letter, _)| *letter == b'C')?
        .1;
    (code.len() == 5 && code.bytes().all(|b| b.is_ascii_alphanumeric())).then_some(code)
}

/// Whether an authentication message says that no more is asked for.
pub fn is_welcome(body: &[u8]) -> bool {
    body == [0; 4]
}
