//! Reading a file of settings. What is wrong is told with file, line, path and what was expected.

use jsonc_parser::ast::{ObjectPropName, Value};
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::Path;

/// One thing that a reader of the whole file finds wrong: where, as a JSON pointer, and what was expected.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigError {
    pub path: String,
    pub expected: String,
}

impl ConfigError {
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// What can be checked beyond the types.
pub trait Checked {
    fn config_errors(&self) -> Vec<ConfigError>;
}

/// A file that can't be used, and why.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct ConfigFileError {
    pub file: String,
    pub line: usize,
    pub path: String,
    pub expected: String,
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: at {}: {}",
            self.file, self.line, self.path, self.expected
        )
    }
}

/// Files longer than this are not settings.
const MOST_BYTES: u64 = 4 * 1024 * 1024;

/// # Errors
/// The file can't be read, is no JSON, or holds what can't be used.
pub fn read<T: DeserializeOwned + Checked>(file: &Path) -> Result<T, ConfigFileError> {
    let name = file.display().to_string();
    let whole = |expected: String| ConfigFileError {
        file: name.clone(),
        line: 0,
        path: "/".into(),
        expected,
    };
    let size = std::fs::metadata(file)
        .map_err(|e| whole(format!("expected a file: {e}")))?
        .len();
    if size > MOST_BYTES {
        return Err(whole(format!(
            "expected at most {MOST_BYTES} bytes, found {size}"
        )));
    }
    let text = std::fs::read_to_string(file)
        .map_err(|e| whole(format!("expected a text in UTF-8: {e}")))?;
    read_text(&name, &text)
}

/// # Errors
/// As `read`.
pub fn read_text<T: DeserializeOwned + Checked>(
    file: &str,
    text: &str,
) -> Result<T, ConfigFileError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let file_error = |line, path: String, expected| ConfigFileError {
        file: file.into(),
        line,
        path,
        expected,
    };
    let value: T = serde_path_to_error::deserialize(&mut reader).map_err(|trouble| {
        let path = pointer(&trouble.path().to_string());
        let inner = trouble.into_inner();
        file_error(inner.line(), path, without_place(&inner.to_string()))
    })?;
    reader
        .end()
        .map_err(|e| file_error(e.line(), "/".into(), "expected the end of the file".into()))?;
    match value.config_errors().into_iter().next() {
        None => Ok(value),
        Some(error) => Err(at_line(file, text, error)),
    }
}

fn at_line(file: &str, text: &str, ConfigError { path, expected }: ConfigError) -> ConfigFileError {
    ConfigFileError {
        file: file.into(),
        line: line_of(text, &path),
        path,
        expected,
    }
}

/// All that is wrong with a file, not the first alone; what can't be read at all is one finding.
pub fn findings<T: DeserializeOwned + Checked>(file: &Path) -> Vec<ConfigFileError> {
    let first = match read::<T>(file) {
        Ok(_) => return Vec::new(),
        Err(first) => first,
    };
    let text = std::fs::read_to_string(file).unwrap_or_default();
    match serde_json::from_str::<T>(&text) {
        Ok(value) => {
            let name = file.display().to_string();
            value
                .config_errors()
                .into_iter()
                .map(|error| at_line(&name, &text, error))
                .collect()
        }
        Err(_) => vec![first],
    }
}

/// `a.b[2].c` as a JSON pointer.
fn pointer(path: &str) -> String {
    let parts = path
        .split(['.', '[', ']'])
        .filter(|part| !part.is_empty() && *part != "?");
    let joined: String = parts.map(|part| format!("/{part}")).collect();
    if joined.is_empty() {
        "/".into()
    } else {
        joined
    }
}

fn without_place(text: &str) -> String {
    text.split(" at line ").next().unwrap_or(text).to_owned()
}

/// The line on which the value at a JSON pointer begins; the nearest one above it that there is.
fn line_of(text: &str, pointer: &str) -> usize {
    let Ok(parsed) = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default())
    else {
        return 0;
    };
    let Some(mut value) = parsed.value.as_ref() else {
        return 0;
    };
    for part in pointer.split('/').filter(|part| !part.is_empty()) {
        let inner = match value {
            Value::Object(object) => object.properties.iter().find_map(|property| {
                let name = match &property.name {
                    ObjectPropName::String(name) => name.value.as_ref(),
                    ObjectPropName::Word(name) => name.value,
                };
                (name == part).then_some(&property.value)
            }),
            Value::Array(array) => part
                .parse::<usize>()
                .ok()
                .and_then(|place| array.elements.get(place)),
            _ => None,
        };
        let Some(inner) = inner else { break };
        value = inner;
    }
    use jsonc_parser::common::Ranged;
    text[..value.range().start].matches('\n').count() + 1
}
