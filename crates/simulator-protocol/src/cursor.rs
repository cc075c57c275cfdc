//! Reads primitive values from the body of a frame.

use crate::error::{FrameError, FrameErrorKind};
use limewing_decision::interface::PodId;
use std::time::Duration;

/// Upper bound of the absolute value of times and durations, in seconds; about 30 years.
const MAX_SECONDS: f64 = 1e9;
/// The simulator's clock has a resolution of 1 microsecond.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A read position in the body of a frame; each read advances it.
pub(crate) struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, offset: 0 }
    }

    /// Number of bytes read so far.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    pub(crate) fn is_at_end(&self) -> bool {
        self.offset == self.bytes.len()
    }

    /// Creates an error at the current position.
    pub(crate) fn error(&self, kind: FrameErrorKind) -> FrameError {
        FrameError {
            kind,
            offset: self.offset,
        }
    }

    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], FrameError> {
        let end = self
            .offset
            .checked_add(count)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(self.error(FrameErrorKind::TruncatedRecord));
        };
        let part = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(part)
    }

    pub(crate) fn skip(&mut self, count: usize) -> Result<(), FrameError> {
        self.bytes(count)?;
        Ok(())
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, FrameError> {
        let [byte] = self.array()?;
        Ok(byte)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, FrameError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, FrameError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, FrameError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub(crate) fn f32(&mut self) -> Result<f32, FrameError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// Reads a time or duration in seconds, rounded to microseconds; a negative value becomes zero.
    pub(crate) fn duration(&mut self) -> Result<Duration, FrameError> {
        let seconds = f64::from_le_bytes(self.array()?);
        if !seconds.is_finite() || !(-MAX_SECONDS..MAX_SECONDS).contains(&seconds) {
            return Err(self.error(FrameErrorKind::TimeOutOfRange { seconds }));
        }
        let microseconds = seconds.max(0.0) * MICROSECONDS_PER_SECOND;
        Ok(Duration::from_micros(microseconds.round() as u64))
    }

    /// Reads a pod id of six bytes.
    pub(crate) fn pod(&mut self) -> Result<PodId, FrameError> {
        let [a, b, c, d, e, f] = self.array()?;
        Ok(PodId(u64::from_le_bytes([a, b, c, d, e, f, 0, 0])))
    }

    /// Skips a pod's load report: a count followed by that number of `f32` values.
    pub(crate) fn skip_load_report(&mut self) -> Result<(), FrameError> {
        let count = usize::from(self.u8()?);
        self.skip(size_of::<f32>() * count)
    }
}
