//! Locations of values in a JSON text.

use jsonc_parser::ast::{ObjectPropName, Value};
use jsonc_parser::common::Ranged;

/// Converts a path in the notation of `serde_path_to_error`, `a.b[2].c`, into a JSON pointer.
pub(crate) fn to_pointer(path: &str) -> String {
    let parts = path
        .split(['.', '[', ']'])
        .filter(|part| !part.is_empty() && *part != "?");
    let pointer: String = parts.map(|part| format!("/{part}")).collect();
    if pointer.is_empty() {
        "/".into()
    } else {
        pointer
    }
}

/// The message of a JSON error without its line and column.
pub(crate) fn without_position(text: &str) -> String {
    text.split(" at line ").next().unwrap_or(text).to_owned()
}

/// The line, starting at 1, on which the value at a JSON pointer begins. If there is no such value, its nearest existing
/// ancestor counts. 0 if the text is not valid JSON.
pub(crate) fn line_of(text: &str, pointer: &str) -> usize {
    let Ok(parsed) = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default())
    else {
        return 0;
    };
    let Some(mut value) = parsed.value.as_ref() else {
        return 0;
    };
    for part in pointer.split('/').filter(|part| !part.is_empty()) {
        let Some(inner) = child(value, part) else {
            break;
        };
        value = inner;
    }
    text[..value.range().start].matches('\n').count() + 1
}

fn child<'a, 'text>(value: &'a Value<'text>, part: &str) -> Option<&'a Value<'text>> {
    match value {
        Value::Object(object) => object.properties.iter().find_map(|property| {
            let name = match &property.name {
                ObjectPropName::String(name) => name.value.as_ref(),
                ObjectPropName::Word(name) => name.value,
            };
            (name == part).then_some(&property.value)
        }),
        Value::Array(array) => {
            let index: usize = part.parse().ok()?;
            array.elements.get(index)
        }
        _ => None,
    }
}
