//! What makes a frame, or the settings in a start record, unusable.

use std::io;
use thiserror::Error;

/// A frame that can't be used, and where in it.
#[derive(Debug, Error)]
#[error("{kind} at byte {offset} of the frame")]
pub struct FrameError {
    /// What is wrong.
    pub kind: FrameErrorKind,
    /// Bytes from the begin of the frame, its length included, to what is wrong.
    pub offset: usize,
}

/// What is wrong with a frame.
#[derive(Debug, Error)]
pub enum FrameErrorKind {
    /// The input ended before the frame did.
    #[error("input ends inside a frame")]
    TruncatedInput,
    /// The input can't be read.
    #[error("input cannot be read ({0})")]
    Io(io::Error),
    /// The frame is larger than [`MAX_FRAME_BYTES`](crate::batch::MAX_FRAME_BYTES).
    #[error("frame of {length} bytes is too large")]
    FrameTooLarge {
        /// The length that the frame states, in bytes.
        length: u32,
    },
    /// The frame ended before its last record did.
    #[error("record is cut short")]
    TruncatedRecord,
    /// The frame goes on after its last record.
    #[error("bytes are left after the last record")]
    TrailingBytes,
    /// No record has this code.
    #[error("unknown record code {0}")]
    UnknownRecordCode(u16),
    /// A time or span that no clock shows.
    #[error("time {seconds} is out of range")]
    TimeOutOfRange {
        /// What was found.
        seconds: f64,
    },
    /// No outcome of an attempt has this code.
    #[error("unknown result {0}")]
    UnknownOutcome(u16),
    /// No state of a pod has this code.
    #[error("unknown pod status {0}")]
    UnknownPodState(u8),
    /// No phase of a rollout has this code.
    #[error("unknown course {0}")]
    UnknownPhase(u8),
    /// No answer to a vote has this code.
    #[error("unknown vote result {0}")]
    UnknownVoteAnswer(u16),
    /// No kind of endpoint update has this code.
    #[error("unknown list news {0}")]
    UnknownEndpointUpdate(u8),
    /// A start record comes before any instance is selected.
    #[error("power_on for no instance")]
    NoInstanceSelected,
    /// An endpoint update refers to a table that was not sent.
    #[error("list {table} was never sent")]
    UnknownTable {
        /// The table that the update names.
        table: u16,
    },
    /// The settings in a start record can't be used.
    #[error(transparent)]
    StartSettings(#[from] StartSettingsError),
}

/// Settings in a start record that can't be used: which one, and what was found.
#[derive(Debug, Error)]
pub enum StartSettingsError {
    /// They are no JSON of the expected form.
    #[error("start terms: {0}")]
    Json(#[from] serde_json::Error),
    /// One of the lists that need an entry, or the count of sidecars, is empty.
    #[error("start terms: layers, profiles or balancers is empty")]
    Empty,
    /// The stages' shares and their exposure caps are not as many, or there are none.
    #[error("start terms: domain.most_shares and domain.stage_share do not match")]
    StagesMismatch,
    /// The limit on votes is no number above zero.
    #[error("start terms: domain.vote_allowance is not over 0")]
    VoteRateLimit,
    /// A number of seconds from 0 to a billion was expected.
    #[error("start terms: {setting} = {seconds} is not a span of time")]
    Duration {
        /// The path of the setting.
        setting: &'static str,
        /// What was found.
        seconds: f64,
    },
    /// A setting that takes one of a few words holds another.
    #[error("start terms: unknown {setting} {found:?}")]
    UnknownValue {
        /// The path of the setting.
        setting: &'static str,
        /// What was found.
        found: String,
    },
}
