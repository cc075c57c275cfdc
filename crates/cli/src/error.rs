//! Errors of commands, and their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Exit code of a command that failed or whose check found a violation.
const EXIT_FAILED: u8 = 1;

/// Exit code for invalid input, the same that clap uses.
const EXIT_INVALID_INPUT: u8 = 2;

/// Error of a command. Its text is printed on standard error.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The arguments or input files are invalid.
    InvalidInput(String),
    /// An operation failed, or a check found a violation.
    Failed(String),
}

impl CommandError {
    /// Creates an input error with the text of its cause.
    pub(crate) fn invalid_input(cause: impl fmt::Display) -> Self {
        Self::InvalidInput(cause.to_string())
    }

    /// Creates a failure with the text of its cause.
    pub(crate) fn failed(cause: impl fmt::Display) -> Self {
        Self::Failed(cause.to_string())
    }

    /// Returns the exit code of the process.
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
