//! Wall time as the protocols between sidecars have it.

use std::time::{Duration, SystemTime};

/// Unix time in milliseconds; 0 for a clock that is set to a time before 1970.
pub(super) fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed: Duration| elapsed.as_millis() as u64)
}

#[cfg(test)]
mod tests;
