//! How a command fails, and the exit code that tells it.

use std::fmt;
use std::process::ExitCode;

/// Exit code of a command that failed, or whose check found a violation.
const EXIT_FAILED: u8 = 1;

/// Exit code of a command that cannot use what the user gave; clap ends with the same code.
const EXIT_INVALID_INPUT: u8 = 2;

/// Why a command ended without success; its text is the line on standard error.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// What the user gave cannot be used.
    InvalidInput(String),
    /// Something failed, or a check found a violation.
    Failed(String),
}

impl CommandError {
    /// An error in what the user gave, with the cause's text.
    pub(crate) fn invalid_input(cause: impl fmt::Display) -> Self {
        Self::InvalidInput(cause.to_string())
    }

    /// A failure, with the cause's text.
    pub(crate) fn failed(cause: impl fmt::Display) -> Self {
        Self::Failed(cause.to_string())
    }

    /// The exit code of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::InvalidInput(_) => ExitCode::from(EXIT_INVALID_INPUT),
            Self::Failed(_) => ExitCode::from(EXIT_FAILED),
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidInput(message) | Self::Failed(message) => formatter.write_str(message),
        }
    }
}

impl std::error::Error for CommandError {}
