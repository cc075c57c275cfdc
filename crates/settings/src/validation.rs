//! Collects errors in settings.

use crate::error::ConfigError;

/// The errors found so far.
#[derive(Default)]
pub(crate) struct Validator {
    errors: Vec<ConfigError>,
}

impl Validator {
    /// Adds an error at a JSON pointer unless the constraint `holds`; `expected` describes the constraint.
    pub(crate) fn require(&mut self, holds: bool, path: impl Into<String>, expected: &str) {
        if !holds {
            let error = ConfigError::new(path, format!("expected {expected}"));
            self.errors.push(error);
        }
    }

    pub(crate) fn push(&mut self, error: ConfigError) {
        self.errors.push(error);
    }

    pub(crate) fn into_errors(self) -> Vec<ConfigError> {
        self.errors
    }
}

/// Whether a number is a fraction from 0 to 1.
pub(crate) fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
