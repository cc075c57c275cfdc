//! What a member reports of itself and of pods, and its encoding: a version byte, the fields in postcard's format, then a
//! byte for the lost services. The order of fields and variants is the format.

use limewing_versioned_codec::{decode_prefix, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Pods in one member's hints: the report has to fit into its published state.
pub const MAX_HINTS: usize = 16;
const VERSION: u8 = 1;

/// What a member's own outcomes tell of a pod. That a pod is warming up all know from the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutlierHint {
    /// It does not answer.
    Ejected,
    /// It answers far slower than the others.
    Slow,
    /// It rejects requests.
    Overloaded,
    /// It was ejected, and answered again a moment ago.
    Recovered,
}

/// One member's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The member's zone.
    pub zone: u16,
    /// Twice the binary logarithm of its requests a second.
    pub rate_exponent: u8,
    /// Pods, by key, that are outliers for this member, at most [`MAX_HINTS`].
    pub hints: Vec<(u64, OutlierHint)>,
    /// Services that the member has lost: the bits of [`crate::Service::bit`]. Reports of earlier versions end before it.
    #[serde(skip)]
    pub lost_services: u8,
}

/// Why a report can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// Of another version: the member counts as one without a report.
    #[error("load report of another version, expected {VERSION}")]
    Version,
    /// Its bytes are no report.
    #[error("malformed load report")]
    Malformed,
    /// It has more hints than [`MAX_HINTS`].
    #[error("load report with too many hints, expected {MAX_HINTS} at most")]
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
    /// The report as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(VERSION, self);
        bytes.push(self.lost_services);
        bytes
    }

    /// Decodes a report. Bytes behind the known fields are ignored: they are left to later versions.
    ///
    /// # Errors
    /// Why it can't be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, LoadReportError> {
        let (report, rest): (Self, _) = decode_prefix(VERSION, bytes)?;
        if report.hints.len() > MAX_HINTS {
            return Err(LoadReportError::TooManyHints);
        }
        Ok(Self {
            lost_services: rest.first().copied().unwrap_or(0),
            ..report
        })
    }
}
