//! The one clock of a sidecar: monotonic, and begun an hour before the start, so that what happened shortly
//! before the start has a time too.

use std::time::{Duration, Instant, SystemTime};

/// How far before the start the clock begins; what is older counts as long ago.
pub const BEFORE: Duration = Duration::from_secs(3600);

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    pub fn now(&self) -> Duration {
        BEFORE + self.start.elapsed()
    }
}

/// A time of day, in seconds since 1970, on the clock that shows `now` at `today`; none if it is long ago.
/// One in the future is now.
pub fn of_day(seconds: f64, now: Duration, today: SystemTime) -> Option<Duration> {
    let today = today.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs_f64();
    let ago = Duration::try_from_secs_f64((today - seconds).max(0.0)).ok()?;
    now.checked_sub(ago)
}
