//! Errors in settings files, with their location.

use thiserror::Error;

/// An invalid value.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    /// The value's location, as a JSON pointer.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl ConfigError {
    /// Creates an error at a JSON pointer.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Settings with constraints beyond their types.
pub trait ValidateConfig {
    /// All violated constraints, in a fixed order.
    fn config_errors(&self) -> Vec<ConfigError>;
}

/// The reason why a file can't be used.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{file}:{line}: at {path}: {expected}")]
pub struct ConfigFileError {
    /// The file's path.
    pub file: String,
    /// The line, starting at 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// The value's location, as a JSON pointer.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}
