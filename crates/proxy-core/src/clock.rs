//! The one clock of a sidecar: monotonic, and begun an hour before the start, so that what happened shortly
//! before the start has a time too.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

/// How far before the start the clock begins; what is older counts as long ago.
pub const EPOCH_LEAD: Duration = Duration::from_secs(3600);

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    pub fn now(&self) -> Duration {
        EPOCH_LEAD + self.start.elapsed()
    }
}

/// The time of day. For trials of clocks that differ, a process may be told by `LIMEWING_CLOCK_AHEAD_S` in its environment
/// by how many seconds its clock is ahead (below 0: behind), up to a day; anything else there is as nothing.
pub fn wall_clock_now() -> SystemTime {
    static AHEAD: OnceLock<f64> = OnceLock::new();
    let ahead = *AHEAD.get_or_init(|| {
        let told = std::env::var("LIMEWING_CLOCK_AHEAD_S")
            .ok()
            .and_then(|text| text.parse().ok());
        told.filter(|ahead| (-86_400.0..=86_400.0).contains(ahead))
            .unwrap_or(0.0)
    });
    let by = Duration::from_secs_f64(ahead.abs());
    let now = SystemTime::now();
    if ahead < 0.0 {
        now.checked_sub(by).unwrap_or(now)
    } else {
        now + by
    }
}

/// A time of day, in seconds since 1970, on the clock that shows `now` at `today`; none if it is long ago.
/// One in the future is now.
pub fn from_wall_clock(seconds: f64, now: Duration, today: SystemTime) -> Option<Duration> {
    let today = today
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    let ago = Duration::try_from_secs_f64((today - seconds).max(0.0)).ok()?;
    now.checked_sub(ago)
}
