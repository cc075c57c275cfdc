//! The schema's form for words without a description.

use schemars::Schema;
use serde_json::{json, Value};

/// Puts the words that have no description into one `enum`, ahead of the other variants, as the schema's readers know it. Words with a
/// comment would become a `const` each.
pub(super) fn undocumented_words_as_enum(schema: &mut Schema) {
    let Some(variants) = schema.get_mut("oneOf").and_then(Value::as_array_mut) else {
        return;
    };
    let mut words = Vec::new();
    variants.retain(|variant| {
        let documented = variant.get("description").is_some();
        match variant.get("const") {
            Some(word) if !documented => {
                words.push(word.clone());
                false
            }
            _ => true,
        }
    });
    if !words.is_empty() {
        variants.insert(0, json!({"type": "string", "enum": words}));
    }
}
