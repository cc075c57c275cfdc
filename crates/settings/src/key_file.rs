//! The file with the keys that seal the datagrams of a fleet.

use crate::error::{ConfigError, ValidateConfig};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The keys of a fleet. The first key seals datagrams and every key opens them, which allows key rotation.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// One key, or two during a key rotation.
    #[schemars(description = "")]
    pub keys: Vec<FleetKey>,
}

/// A key shared by the sidecars of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct FleetKey {
    /// Identifies the key that sealed a datagram.
    #[schemars(description = "")]
    pub id: u8,
    /// The secret: 16 bytes or more, in hexadecimal.
    pub secret: String,
}

impl FleetKey {
    /// The bytes of the secret; `None` if it is not hexadecimal.
    #[must_use]
    pub fn bytes(&self) -> Option<Vec<u8>> {
        let pairs = self.secret.as_bytes().chunks(2);
        pairs.map(parse_hex_byte).collect()
    }
}

fn parse_hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    if text.len() != 2 {
        return None;
    }
    u8::from_str_radix(text, 16).ok()
}

impl ValidateConfig for KeyFile {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        if !(1..=2).contains(&self.keys.len()) {
            errors.push(ConfigError::new(
                "/keys",
                "expected one key, or two during a key rotation",
            ));
        }
        for (index, key) in self.keys.iter().enumerate() {
            if key.bytes().is_none_or(|bytes| bytes.len() < MIN_KEY_BYTES) {
                errors.push(ConfigError::new(
                    format!("/keys/{index}/secret"),
                    "expected 16 bytes or more in hexadecimal",
                ));
            }
            if self.keys[..index].iter().any(|other| other.id == key.id) {
                errors.push(ConfigError::new(
                    format!("/keys/{index}/id"),
                    "expected a number that the other key does not have",
                ));
            }
        }
        errors
    }
}
