//! The schema of enums with undocumented words.

use schemars::Schema;
use serde_json::{json, Value};

/// Collects the words without a description into one `enum`, ahead of the other variants, which is the format that the schema's readers
/// know. schemars makes a separate `const` of each word if any variant has a comment.
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
