//! The monotonic clock of a sidecar, and how times of day map to it.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

/// How far before the start of the process the clock's zero lies, so that what happened shortly before the start has a
/// time too; what is older counts as long ago.
pub const EPOCH_LEAD: Duration = Duration::from_secs(3600);

/// Environment variable that shifts [`wall_clock_now`], in seconds.
const WALL_CLOCK_OFFSET_VARIABLE: &str = "LIMEWING_CLOCK_AHEAD_S";
/// Largest shift that is taken, either way: one day.
const MAX_WALL_CLOCK_OFFSET_S: f64 = 86_400.0;

/// A monotonic clock that showed [`EPOCH_LEAD`] when it was created.
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
    /// The time since the clock's zero.
    #[must_use]
    pub fn now(&self) -> Duration {
        EPOCH_LEAD + self.start.elapsed()
    }
}

/// The time of day.
///
/// To test clocks that differ, `LIMEWING_CLOCK_AHEAD_S` in the environment sets by how many seconds this process's clock
/// is ahead (below 0: behind), up to a day; any other value is ignored. It is read once.
#[must_use]
pub fn wall_clock_now() -> SystemTime {
    static OFFSET_S: OnceLock<f64> = OnceLock::new();
    let offset_s = *OFFSET_S.get_or_init(configured_offset_s);
    let distance = Duration::from_secs_f64(offset_s.abs());
    let now = SystemTime::now();
    if offset_s < 0.0 {
        now.checked_sub(distance).unwrap_or(now)
    } else {
        now + distance
    }
}

fn configured_offset_s() -> f64 {
    std::env::var(WALL_CLOCK_OFFSET_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|offset| (-MAX_WALL_CLOCK_OFFSET_S..=MAX_WALL_CLOCK_OFFSET_S).contains(offset))
        .unwrap_or(0.0)
}

/// Converts a time of day to the monotonic clock.
///
/// `unix_seconds` counts from 1970; the monotonic clock shows `now` when the time of day is `wall_clock`. A time in the
/// future counts as `now`; the result is `None` for one before the clock's zero.
#[must_use]
pub fn from_wall_clock(
    unix_seconds: f64,
    now: Duration,
    wall_clock: SystemTime,
) -> Option<Duration> {
    let wall_clock_seconds = wall_clock
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64();
    let age = Duration::try_from_secs_f64((wall_clock_seconds - unix_seconds).max(0.0)).ok()?;
    now.checked_sub(age)
}
