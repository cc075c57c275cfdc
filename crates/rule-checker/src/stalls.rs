//! How far the record's times may be off: the loop that wrote it reads its sockets one after the other.

use crate::record::{Event, RecordLine};
use std::time::Duration;

/// What one turn of the recording loop may take without being recorded as a stall.
const TURN: Duration = Duration::from_millis(5);
/// A stall makes times unsure this long before its begin and after its end.
const NEAR: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Stall {
    end: Duration,
    duration: Duration,
}

/// The times at which the recorder did not run.
#[derive(Debug)]
pub(crate) struct RecorderStalls(Vec<Stall>);

impl RecorderStalls {
    pub(crate) fn of(lines: &[RecordLine]) -> Self {
        let stalls = lines.iter().filter_map(|line| match line.event {
            Event::RecorderStalled { duration } => Some(Stall {
                end: line.at,
                duration,
            }),
            _ => None,
        });
        Self(stalls.collect())
    }

    /// How much earlier or later than recorded something at this time may have happened.
    pub(crate) fn tolerance(&self, at: Duration) -> Duration {
        let from = self.0.partition_point(|stall| stall.end + NEAR < at);
        let near = self.0[from..]
            .iter()
            .take_while(|stall| stall.end.saturating_sub(stall.duration) <= at + NEAR);
        TURN + near.map(|stall| stall.duration).sum::<Duration>()
    }
}
