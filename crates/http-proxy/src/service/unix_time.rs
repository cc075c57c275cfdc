//! Unix time, as used in the protocols between sidecars.

use std::time::{Duration, SystemTime};

/// Converts a time to Unix milliseconds. Times before 1970 become 0.
pub(super) fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed: Duration| elapsed.as_millis() as u64)
}

#[cfg(test)]
mod tests;
