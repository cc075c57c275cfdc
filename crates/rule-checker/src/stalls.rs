//! How far the record's times may be off: the loop that wrote it reads sockets in turn.

use crate::record::{Event, RecordLine};
use std::time::Duration;

/// What the loop's turns may cost when it does not stand still.
const TURN: Duration = Duration::from_millis(5);
/// A standstill blurs the times this long before and after its end.
const NEAR: Duration = Duration::from_millis(100);

pub struct Stalls(Vec<(Duration, Duration)>);

impl Stalls {
    pub fn of(lines: &[RecordLine]) -> Self {
        let stood = lines.iter().filter_map(|line| match line.event {
            Event::RecorderStalled { duration: span } => Some((line.at, span)),
            _ => None,
        });
        Self(stood.collect())
    }

    /// How much earlier than noted something at this time may have happened, or how much later.
    pub fn blur(&self, at: Duration) -> Duration {
        let from = self.0.partition_point(|(end, _)| *end + NEAR < at);
        let near = self.0[from..]
            .iter()
            .take_while(|(end, span)| end.saturating_sub(*span) <= at + NEAR);
        TURN + near.map(|(_, span)| *span).sum::<Duration>()
    }
}
