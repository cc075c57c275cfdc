//! Errors in frames and in the settings of a start record.
//!
//! The error texts are sent to the simulator and use the names of its wire protocol.

use std::io;
use thiserror::Error;

/// An error in a frame, with its position.
#[derive(Debug, Error)]
#[error("{kind} at byte {offset} of the frame")]
pub struct FrameError {
    /// The kind of error.
    pub kind: FrameErrorKind,
    /// The position of the error, in bytes from the start of the frame including its length prefix.
    pub offset: usize,
}

/// Kinds of errors in a frame.
#[derive(Debug, Error)]
pub enum FrameErrorKind {
    /// The input ended inside a frame.
    #[error("input ends inside a frame")]
    TruncatedInput,
    /// The input can't be read.
    #[error("input cannot be read ({0})")]
    Io(io::Error),
    /// The frame is larger than [`MAX_FRAME_BYTES`](crate::batch::MAX_FRAME_BYTES).
    #[error("frame of {length} bytes is too large")]
    FrameTooLarge {
        /// The length in the frame's length prefix, in bytes.
        length: u32,
    },
    /// The frame ended inside a record.
    #[error("record is cut short")]
    TruncatedRecord,
    /// Bytes follow the frame's last record.
    #[error("bytes are left after the last record")]
    TrailingBytes,
    /// The record code is unknown.
    #[error("unknown record code {0}")]
    UnknownRecordCode(u16),
    /// A time or duration is out of range or not finite.
    #[error("time {seconds} is out of range")]
    TimeOutOfRange {
        /// The value found.
        seconds: f64,
    },
    /// The code of an attempt's outcome is unknown.
    #[error("unknown result {0}")]
    UnknownOutcome(u16),
    /// The code of a pod's state is unknown.
    #[error("unknown pod status {0}")]
    UnknownPodState(u8),
    /// The code of a rollout's phase is unknown.
    #[error("unknown course {0}")]
    UnknownPhase(u8),
    /// The code of a vote's answer is unknown.
    #[error("unknown vote result {0}")]
    UnknownVoteAnswer(u16),
    /// The code of an endpoint update's kind is unknown.
    #[error("unknown list news {0}")]
    UnknownEndpointUpdate(u8),
    /// A start record precedes the selection of an instance.
    #[error("power_on for no instance")]
    NoInstanceSelected,
    /// An endpoint update refers to a table that has not been sent.
    #[error("list {table} was never sent")]
    UnknownTable {
        /// The number of the missing table.
        table: u16,
    },
    /// The settings in a start record are invalid.
    #[error(transparent)]
    StartSettings(#[from] StartSettingsError),
}

/// Errors in the settings of a start record.
#[derive(Debug, Error)]
pub enum StartSettingsError {
    /// The settings are not JSON of the expected form.
    #[error("start terms: {0}")]
    Json(#[from] serde_json::Error),
    /// The layers or request classes are empty, or the number of sidecars is 0.
    #[error("start terms: layers, profiles or balancers is empty")]
    Empty,
    /// The numbers of stage shares and exposure caps differ, or are 0.
    #[error("start terms: domain.most_shares and domain.stage_share do not match")]
    StagesMismatch,
    /// The vote rate limit is not a number above 0.
    #[error("start terms: domain.vote_allowance is not over 0")]
    VoteRateLimit,
    /// A duration is not between 0 and a billion seconds.
    #[error("start terms: {setting} = {seconds} is not a span of time")]
    Duration {
        /// The path of the setting.
        setting: &'static str,
        /// The value found.
        seconds: f64,
    },
    /// A setting with a fixed set of values has another value.
    #[error("start terms: unknown {setting} {found:?}")]
    UnknownValue {
        /// The path of the setting.
        setting: &'static str,
        /// The value found.
        found: String,
    },
}
