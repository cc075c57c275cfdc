//! Decodes an input frame: its length, the time, a sequence number, and records.

use crate::cursor::Cursor;
use crate::error::{FrameError, FrameErrorKind};
use crate::record::Record;
use std::io::{ErrorKind, Read};
use std::time::Duration;

/// The maximum size of an input frame, in bytes.
pub const MAX_FRAME_BYTES: u32 = 256 << 20;
/// The size of the length prefix of each frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The records of one frame.
#[derive(Debug)]
pub struct Batch {
    /// Time since the start of the simulation.
    pub now: Duration,
    /// The frame's sequence number, which its reply repeats.
    pub number: u32,
    /// The records, in the order of the frame.
    pub records: Vec<Record>,
}

/// Reads the next batch; `None` if the input ends between two frames.
///
/// # Errors
/// The input can't be read or ends inside a frame, or the frame is malformed.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let Some(length) = read_length(input)? else {
        return Ok(None);
    };
    if length > MAX_FRAME_BYTES {
        return Err(FrameError {
            kind: FrameErrorKind::FrameTooLarge { length },
            offset: 0,
        });
    }
    let body = read_body(input, length)?;
    match decode_body(&body) {
        Ok(batch) => Ok(Some(batch)),
        Err(error) => Err(FrameError {
            kind: error.kind,
            offset: error.offset + LENGTH_PREFIX_BYTES,
        }),
    }
}

fn read_length(input: &mut impl Read) -> Result<Option<u32>, FrameError> {
    let mut length = [0; LENGTH_PREFIX_BYTES];
    let mut filled = 0;
    while filled < length.len() {
        let kind = match input.read(&mut length[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => FrameErrorKind::TruncatedInput,
            Ok(count) => {
                filled += count;
                continue;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => FrameErrorKind::Io(error),
        };
        return Err(FrameError {
            kind,
            offset: filled,
        });
    }
    Ok(Some(u32::from_le_bytes(length)))
}

fn read_body(input: &mut impl Read, length: u32) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    match input.take(length.into()).read_to_end(&mut body) {
        Ok(count) if count as u32 == length => Ok(body),
        Ok(count) => Err(FrameError {
            kind: FrameErrorKind::TruncatedInput,
            offset: LENGTH_PREFIX_BYTES + count,
        }),
        Err(error) => Err(FrameError {
            kind: FrameErrorKind::Io(error),
            offset: LENGTH_PREFIX_BYTES,
        }),
    }
}

fn decode_body(body: &[u8]) -> Result<Batch, FrameError> {
    let mut cursor = Cursor::new(body);
    let now = cursor.duration()?;
    let count = cursor.u32()?;
    let number = cursor.u32()?;
    let mut records = Vec::new();
    for _ in 0..count {
        records.push(Record::decode(&mut cursor)?);
    }
    if !cursor.is_at_end() {
        return Err(cursor.error(FrameErrorKind::TrailingBytes));
    }
    Ok(Batch {
        now,
        number,
        records,
    })
}
