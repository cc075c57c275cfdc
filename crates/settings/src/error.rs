//! What is wrong with a file of settings, and where.

use thiserror::Error;

/// One value that can't be used.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    /// Where it stands, as a JSON pointer.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl ConfigError {
    /// An error at a JSON pointer.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Settings that are checked beyond their types.
pub trait Checked {
    /// All that is wrong, in a fixed order.
    fn config_errors(&self) -> Vec<ConfigError>;
}

/// A file that can't be used, and why.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{file}:{line}: at {path}: {expected}")]
pub struct ConfigFileError {
    /// Its path.
    pub file: String,
    /// The line, from 1; 0 where the error is the whole file's.
    pub line: usize,
    /// The value's place, as a JSON pointer.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}
