//! Selection of the members that a fault affects.

use schemars::{JsonSchema, Schema};
use serde::{Deserialize, Serialize};

/// A selection of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Who", transform = const_as_enum)]
pub enum Selector {
    /// All members.
    #[schemars(description = "")]
    All,
    /// Members from one fraction of the fleet up to another: 0 to 0.5 selects the first half.
    #[serde(rename = "part")]
    Fraction(f64, f64),
    /// Members with these numbers, counted from 0.
    Numbers(Vec<usize>),
}

/// Writes the value `all` as an `enum` with one value, to keep the published schema unchanged: schemars writes a variant that has a doc
/// comment as a `const`.
fn const_as_enum(schema: &mut Schema) {
    let Some(variants) = schema
        .get_mut("oneOf")
        .and_then(|value| value.as_array_mut())
    else {
        return;
    };
    for variant in variants
        .iter_mut()
        .filter_map(|value| value.as_object_mut())
    {
        if let Some(value) = variant.remove("const") {
            variant.insert("enum".into(), vec![value].into());
        }
    }
}

impl Selector {
    /// Returns the numbers of the selected members in a fleet of `member_count`.
    pub fn resolve(&self, member_count: usize) -> Vec<usize> {
        match self {
            Self::All => (0..member_count).collect(),
            Self::Fraction(from, to) => {
                let bound = |fraction: f64| (fraction * member_count as f64).round() as usize;
                (bound(*from)..bound(*to)).collect()
            }
            Self::Numbers(numbers) => numbers
                .iter()
                .copied()
                .filter(|number| *number < member_count)
                .collect(),
        }
    }

    pub(crate) fn is_valid(&self) -> bool {
        match self {
            Self::Fraction(from, to) => 0.0 <= *from && from <= to && *to <= 1.0,
            Self::All | Self::Numbers(_) => true,
        }
    }
}
