//! Durations in settings.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// The maximum duration, in seconds; nearly four months.
const MAX_SECONDS: f64 = 1e7;

/// A duration in seconds, 0 to 10,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "f64", into = "f64")]
#[schemars(with = "f64")]
pub struct Seconds(f64);

impl Seconds {
    /// Creates a duration that is known to be in range, for defaults.
    pub(crate) const fn constant(seconds: f64) -> Self {
        Self(seconds)
    }

    /// The number of seconds.
    pub(crate) const fn value(self) -> f64 {
        self.0
    }
}

/// A number of seconds outside the allowed range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("expected seconds from 0 to {MAX_SECONDS}, found {found}")]
pub struct SecondsOutOfRange {
    found: f64,
}

impl TryFrom<f64> for Seconds {
    type Error = SecondsOutOfRange;

    fn try_from(seconds: f64) -> Result<Self, Self::Error> {
        if (0.0..=MAX_SECONDS).contains(&seconds) {
            Ok(Self(seconds))
        } else {
            Err(SecondsOutOfRange { found: seconds })
        }
    }
}

impl From<Seconds> for f64 {
    fn from(seconds: Seconds) -> f64 {
        seconds.0
    }
}

impl From<Seconds> for Duration {
    fn from(seconds: Seconds) -> Duration {
        Duration::from_secs_f64(seconds.0)
    }
}
