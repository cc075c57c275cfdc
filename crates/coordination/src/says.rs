//! What a member says of itself and of pods, as bytes.

use limewing_versioned_codec::{decode_prefix, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Pods that one member may hint at.
pub const MAX_HINTS: usize = 16;
const VERSION: u8 = 1;

/// What a member holds a pod to be, by its own outcomes. That it is cold all know from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutlierHint {
    /// It answers nothing.
    Ejected,
    /// It answers far slower than others.
    Slow,
    /// It turns hits away.
    Overloaded,
    /// It was shut, and answered again a moment ago.
    Recovered,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    pub zone: u16,
    /// Hits a second, as twice the logarithm to the base of two.
    pub rate_exponent: u8,
    pub hints: Vec<(u64, OutlierHint)>,
    /// The services that it holds lost, a bit for each; absent in an earlier version's words.
    #[serde(skip)]
    pub lost_services: u8,
}

/// Why what a member says can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportError {
    /// Of another version: the member counts with nothing said.
    Version,
    Malformed,
    TooManyHints,
}

impl From<DecodeError> for LoadReportError {
    fn from(error: DecodeError) -> Self {
        match error {
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Malformed => Self::Malformed,
        }
    }
}

impl LoadReport {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(VERSION, self);
        bytes.push(self.lost_services);
        bytes
    }

    /// # Errors
    /// Why it can't be used. What follows a known version's fields is left to later ones.
    pub fn decode(bytes: &[u8]) -> Result<Self, LoadReportError> {
        let (says, rest): (Self, _) = decode_prefix(VERSION, bytes)?;
        if says.hints.len() > MAX_HINTS {
            return Err(LoadReportError::TooManyHints);
        }
        Ok(Self {
            lost_services: rest.first().copied().unwrap_or(0),
            ..says
        })
    }
}
