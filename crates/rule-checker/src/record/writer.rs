//! Writes a record, one line of JSON an event.

use super::event::{Event, RecordLine};
use std::io::{self, Write};
use std::time::Duration;

/// Appends events to a record.
#[derive(Debug)]
pub struct Recorder<W: Write> {
    out: W,
}

impl<W: Write> Recorder<W> {
    /// Writes to `out`, which is best buffered.
    pub fn new(out: W) -> Self {
        Self { out }
    }

    /// Appends one event, at the time since the start of the day.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn append(&mut self, at: Duration, event: Event) -> io::Result<()> {
        serde_json::to_writer(&mut self.out, &RecordLine { at, event })?;
        self.out.write_all(b"\n")
    }

    /// Writes out what is buffered.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}
