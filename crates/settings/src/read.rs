//! Reads settings files. Errors name the file, the line, the path and what was expected.

use crate::error::{ConfigError, ConfigFileError, ValidateConfig};
use crate::location::{line_of, to_pointer, without_position};
use serde::de::DeserializeOwned;
use std::path::Path;

/// The maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
/// The path in errors that concern the whole file.
const WHOLE_FILE: &str = "/";

/// Reads and validates a file.
///
/// # Errors
/// The first error: the file can't be read, is not valid JSON, or contains an invalid value.
pub fn read<T: DeserializeOwned + ValidateConfig>(file: &Path) -> Result<T, ConfigFileError> {
    let name = file.display().to_string();
    let unreadable = |expected: String| ConfigFileError {
        file: name.clone(),
        line: 0,
        path: WHOLE_FILE.into(),
        expected,
    };
    let size = std::fs::metadata(file)
        .map_err(|e| unreadable(format!("expected a file: {e}")))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(unreadable(format!(
            "expected at most {MAX_FILE_BYTES} bytes, found {size}"
        )));
    }
    let text = std::fs::read_to_string(file)
        .map_err(|e| unreadable(format!("expected UTF-8 text: {e}")))?;
    read_text(&name, &text)
}

/// Reads and validates a text; `file` is its name in errors.
///
/// # Errors
/// The first error: the text is not valid JSON, or contains an invalid value.
pub fn read_text<T: DeserializeOwned + ValidateConfig>(
    file: &str,
    text: &str,
) -> Result<T, ConfigFileError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let file_error = |line, path, expected| ConfigFileError {
        file: file.into(),
        line,
        path,
        expected,
    };
    let value: T = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = to_pointer(&error.path().to_string());
        let json_error = error.into_inner();
        let expected = without_position(&json_error.to_string());
        file_error(json_error.line(), path, expected)
    })?;
    reader.end().map_err(|e| {
        let expected = "expected the end of the file";
        file_error(e.line(), WHOLE_FILE.into(), expected.into())
    })?;
    match value.config_errors().into_iter().next() {
        None => Ok(value),
        Some(error) => Err(with_line(file, text, error)),
    }
}

/// All errors of a file. A file that can't be parsed has a single error.
pub fn config_file_errors<T: DeserializeOwned + ValidateConfig>(
    file: &Path,
) -> Vec<ConfigFileError> {
    let first = match read::<T>(file) {
        Ok(_) => return Vec::new(),
        Err(first) => first,
    };
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let Ok(value) = serde_json::from_str::<T>(&text) else {
        return vec![first];
    };
    let name = file.display().to_string();
    let errors = value.config_errors().into_iter();
    errors.map(|error| with_line(&name, &text, error)).collect()
}

fn with_line(file: &str, text: &str, error: ConfigError) -> ConfigFileError {
    ConfigFileError {
        file: file.into(),
        line: line_of(text, &error.path),
        path: error.path,
        expected: error.expected,
    }
}
