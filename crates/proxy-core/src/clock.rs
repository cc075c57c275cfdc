//! The monotonic clock of a sidecar, and the conversion of wall-clock times to it.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

/// Reading of the clock at process start. It is above zero so that events from shortly before the
/// start have a timestamp too; older events count as having happened long ago.
pub const EPOCH_LEAD: Duration = Duration::from_secs(3600);

/// Environment variable that sets the offset of [`wall_clock_now`], in seconds.
const WALL_CLOCK_OFFSET_VARIABLE: &str = "LIMEWING_CLOCK_AHEAD_S";
/// Largest accepted offset, in either direction: one day.
const MAX_WALL_CLOCK_OFFSET_S: f64 = 86_400.0;

/// A monotonic clock that reads [`EPOCH_LEAD`] when it is created.
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
    /// Returns the time since the zero of the clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        EPOCH_LEAD + self.start.elapsed()
    }
}

/// Returns the current wall-clock time.
///
/// For tests with diverging clocks, the environment variable `LIMEWING_CLOCK_AHEAD_S` sets by how
/// many seconds the clock of this process is ahead (negative: behind), up to a day. Any other value
/// is ignored. The variable is read once.
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

/// Converts a wall-clock time to the monotonic clock.
///
/// `unix_seconds` is the time to convert, in seconds since the Unix epoch (1970); the monotonic
/// clock reads `now` when the wall clock reads `wall_clock`. A time in the future is converted to
/// `now`; one before the zero of the monotonic clock gives `None`.
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
