//! Reads a whole record, and rejects one that can't be checked reliably.

use super::event::{Event, RecordLine};
use super::limits::RuleLimits;
use std::io::{self, BufRead};
use std::time::Duration;

/// Upper bound of recorded times, longer than any day: sums of larger times could overflow in the checks.
const MAX_RECORD_TIME: Duration = Duration::from_secs(365 * 86_400);

/// Upper bound of a line, far above what a recorder writes: a file of another kind is rejected before it fills the memory.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;

/// Why a record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A line is not an event.
    #[error("line {line}: {reason}")]
    Malformed {
        /// Line number, counted from 1.
        line: usize,
        /// Message of the JSON parser.
        reason: String,
    },
    /// A line is an event that contradicts the lines before it or the limits.
    #[error("line {line}: {problem}")]
    Inconsistent {
        /// Line number, counted from 1.
        line: usize,
        /// Description of the contradiction.
        problem: &'static str,
    },
    /// The file can't be read.
    #[error("{0}")]
    File(#[from] io::Error),
    /// The last line is not [`Event::End`].
    #[error("the record has no `end` line; the recording was cut off")]
    MissingEnd,
    /// The first line is not [`Event::Begin`].
    #[error("the record does not begin with a `begin` line")]
    MissingBegin,
}

/// Reads all lines. The first must be [`Event::Begin`] and the last [`Event::End`], and times must not decrease.
///
/// # Errors
/// A line can't be read or is inconsistent, or the record lacks its first or last line.
pub fn read(from: impl BufRead) -> Result<Vec<RecordLine>, ReadError> {
    let lines = parse(from)?;
    let Some(RecordLine {
        event: Event::Begin { limits, .. },
        ..
    }) = lines.first()
    else {
        return Err(ReadError::MissingBegin);
    };
    let last = check_order(&lines, limits)?;
    check_limits(limits, last)?;
    match lines.last() {
        Some(RecordLine {
            event: Event::End {},
            ..
        }) => Ok(lines),
        _ => Err(ReadError::MissingEnd),
    }
}

fn parse(mut from: impl BufRead) -> Result<Vec<RecordLine>, ReadError> {
    let mut lines: Vec<RecordLine> = Vec::new();
    let mut text = String::new();
    loop {
        text.clear();
        let length = io::Read::take(&mut from, MAX_LINE_BYTES).read_line(&mut text)?;
        if length == 0 {
            return Ok(lines);
        }
        let line = serde_json::from_str(&text).map_err(|error| ReadError::Malformed {
            line: lines.len() + 1,
            reason: error.to_string(),
        })?;
        lines.push(line);
    }
}

/// Checks that times don't decrease and that events refer to known request classes. Returns the time of the last line.
fn check_order(lines: &[RecordLine], limits: &RuleLimits) -> Result<Duration, ReadError> {
    let mut last = Duration::ZERO;
    for (index, line) in lines.iter().enumerate() {
        let inconsistent = |problem| ReadError::Inconsistent {
            line: index + 1,
            problem,
        };
        if line.at < last {
            return Err(inconsistent(
                "the time is earlier than that of the previous line",
            ));
        }
        last = line.at;
        match line.event {
            Event::RequestSent { class, .. } | Event::AttemptArrived { class, .. }
                if class >= limits.classes.len() =>
            {
                return Err(inconsistent("undefined request class in `group`"));
            }
            Event::Begin { .. } if index > 0 => return Err(inconsistent("a second `begin` line")),
            _ => {}
        }
    }
    Ok(last)
}

fn check_limits(limits: &RuleLimits, last: Duration) -> Result<(), ReadError> {
    let times = [
        limits.slow_start_duration,
        limits.overload_window,
        limits.exposure_window,
        limits.drain_grace,
        limits.answer_slack,
        last,
    ];
    if limits.exposure_caps.is_empty() || times.iter().any(|time| *time > MAX_RECORD_TIME) {
        return Err(ReadError::Inconsistent {
            line: 1,
            problem: "`terms` without caps, or times beyond a year",
        });
    }
    Ok(())
}
