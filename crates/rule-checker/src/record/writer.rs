//! Writes a record, one line of JSON per event.

use super::event::{Event, RecordLine};
use std::io::{self, Write};
use std::time::Duration;

/// Appends events to a record.
#[derive(Debug)]
pub struct Recorder<W: Write> {
    out: W,
}

impl<W: Write> Recorder<W> {
    /// Creates a recorder that writes to `out`, which should be buffered.
    pub fn new(out: W) -> Self {
        Self { out }
    }

    /// Appends one event; `at` is the time since the start of the day.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn append(&mut self, at: Duration, event: Event) -> io::Result<()> {
        serde_json::to_writer(&mut self.out, &RecordLine { at, event })?;
        self.out.write_all(b"\n")
    }

    /// Flushes buffered events.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}
