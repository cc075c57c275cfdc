//! The file format of scripts of faults between sidecars.

use limewing_fault_injection::Script;
use limewing_settings::{ConfigError, ValidateConfig};
use serde::{Deserialize, Serialize};

/// A script as a file of settings.
#[derive(Clone, Debug, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(transparent)]
#[schemars(rename = "ScriptFile")]
pub(crate) struct FaultScriptFile(pub(crate) Script);

impl ValidateConfig for FaultScriptFile {
    fn config_errors(&self) -> Vec<ConfigError> {
        self.0
            .config_errors()
            .into_iter()
            .map(|error| ConfigError::new(error.path, format!("expected {}", error.expected)))
            .collect()
    }
}
