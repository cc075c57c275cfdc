//! Uncertainty of the record's times: the loop that writes it reads its sockets one after the other, and may stall.

use crate::record::{Event, RecordLine};
use std::time::Duration;

/// Longest turn of the recording loop that is not recorded as a stall.
const MAX_TURN: Duration = Duration::from_millis(5);
/// Times are uncertain from this long before a stall begins until this long after it ends.
const STALL_MARGIN: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Stall {
    end: Duration,
    duration: Duration,
}

/// Periods in which the recorder did not run.
#[derive(Debug)]
pub(crate) struct RecorderStalls(Vec<Stall>);

impl RecorderStalls {
    pub(crate) fn from_lines(lines: &[RecordLine]) -> Self {
        let stalls = lines.iter().filter_map(|line| match line.event {
            Event::RecorderStalled { duration } => Some(Stall {
                end: line.at,
                duration,
            }),
            _ => None,
        });
        Self(stalls.collect())
    }

    /// How much earlier or later than recorded an event at this time may have happened.
    pub(crate) fn tolerance(&self, at: Duration) -> Duration {
        let from = self
            .0
            .partition_point(|stall| stall.end + STALL_MARGIN < at);
        let near = self.0[from..]
            .iter()
            .take_while(|stall| stall.end.saturating_sub(stall.duration) <= at + STALL_MARGIN);
        MAX_TURN + near.map(|stall| stall.duration).sum::<Duration>()
    }
}
