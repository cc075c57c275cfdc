//! Messages as bytes.

use bytes::{BufMut, BytesMut};

/// A message; `content` writes what follows the length.
pub fn frame(out: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    out.put_u8(kind);
    sized(out, content);
}

fn sized(out: &mut BytesMut, content: impl FnOnce(&mut BytesMut)) {
    let at = out.len();
    out.put_u32(0);
    content(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut BytesMut, text: &str) {
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// A message as it was read.
pub fn again(out: &mut BytesMut, kind: u8, body: &[u8]) {
    frame(out, kind, |out| out.put_slice(body));
}

pub fn startup(out: &mut BytesMut, names: &[(&str, &str)]) {
    sized(out, |out| {
        out.put_u32(crate::VERSION);
        for (name, value) in names {
            put_text(out, name);
            put_text(out, value);
        }
        out.put_u8(0);
    });
}

pub fn query(out: &mut BytesMut, statement: &str) {
    frame(out, b'Q', |out| put_text(out, statement));
}

/// All that a client is told when its session begins.
pub fn welcome(out: &mut BytesMut, parameters: &[(&str, &str)]) {
    frame(out, b'R', |out| out.put_u32(0));
    parameters
        .iter()
        .for_each(|(name, value)| parameter(out, name, value));
    frame(out, b'K', |out| out.put_u64(0));
    ready(out);
}

pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    frame(out, b'S', |out| {
        put_text(out, name);
        put_text(out, value);
    });
}

pub fn ready(out: &mut BytesMut) {
    frame(out, b'Z', |out| out.put_u8(b'I'));
}

pub fn empty_query(out: &mut BytesMut) {
    frame(out, b'I', |_| {});
}

pub fn complete(out: &mut BytesMut, tag: &str) {
    frame(out, b'C', |out| put_text(out, tag));
}

/// A description of rows of one column of bytes, in binary.
pub fn one_column(out: &mut BytesMut, name: &str) {
    const BYTES: u32 = 17;
    frame(out, b'T', |out| {
        out.put_u16(1);
        put_text(out, name);
        out.put_u32(0);
        out.put_u16(0);
        out.put_u32(BYTES);
        out.put_i16(-1);
        out.put_i32(-1);
        out.put_u16(1);
    });
}

pub fn one_value(out: &mut BytesMut, value: &[u8]) {
    frame(out, b'D', |out| {
        out.put_u16(1);
        out.put_u32(value.len() as u32);
        out.put_slice(value);
    });
}

/// An error: its severity, code and message, and more where there is more to say.
pub fn error(out: &mut BytesMut, severity: &str, code: &str, message: &str, detail: Option<&str>) {
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', message),
    ];
    frame(out, b'E', |out| {
        for (letter, text) in fields
            .into_iter()
            .chain(detail.map(|detail| (b'D', detail)))
        {
            out.put_u8(letter);
            put_text(out, text);
        }
        out.put_u8(0);
    });
}
