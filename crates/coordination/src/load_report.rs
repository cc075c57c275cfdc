//! Report of a member about itself and the pods, and its encoding: a version byte, the fields in
//! postcard's format, then a byte for the lost services. The order of fields and variants is the
//! wire format.

use limewing_versioned_codec::{decode_prefix, encode, DecodeError};
use serde::{Deserialize, Serialize};

/// Maximum number of hints of one member; the report has to fit into its published state.
pub const MAX_HINTS: usize = 16;
const VERSION: u8 = 1;

/// Hint about a pod, derived from a member's own outcomes. Warming up needs no hint, because all
/// members know it from the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutlierHint {
    /// The pod does not answer.
    Ejected,
    /// The pod answers far slower than the others.
    Slow,
    /// The pod rejects requests.
    Overloaded,
    /// The pod was ejected and has answered again recently.
    Recovered,
}

/// Load report of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Zone of the member.
    pub zone: u16,
    /// Twice the binary logarithm of the member's requests per second.
    pub rate_exponent: u8,
    /// Pods, by key, that are outliers for this member; at most [`MAX_HINTS`].
    pub hints: Vec<(u64, OutlierHint)>,
    /// Services that the member has lost, as bits of [`crate::Service::bit`]. Reports of earlier
    /// versions end before this field.
    #[serde(skip)]
    pub lost_services: u8,
}

/// Reason why a report cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// The report is of another version, so the member counts as one without a report.
    #[error("unsupported load report version, expected {VERSION}")]
    Version,
    /// The bytes are not a valid report.
    #[error("malformed load report")]
    Malformed,
    /// The report has more hints than [`MAX_HINTS`].
    #[error("load report with too many hints, expected at most {MAX_HINTS}")]
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
    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(VERSION, self);
        bytes.push(self.lost_services);
        bytes
    }

    /// Decodes a report. Bytes after the known fields are ignored; later versions may append
    /// fields.
    ///
    /// # Errors
    /// The bytes are of another version, malformed, or contain too many hints.
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
