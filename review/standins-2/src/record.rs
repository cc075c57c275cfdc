//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file that the environment variable `RECORD` names.
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// The time since the start of the run.
    pub fn at(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.start)
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with a time of its own.
    pub fn line_at(&self, time: Instant, text: &str) {
        let at = self.at(time).as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{at:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.4} {text}", self.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}
