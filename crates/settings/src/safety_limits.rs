//! The figures of the five rules.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The figures of the five rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Rules")]
#[schemars(rename = "Rules")]
pub struct SafetyLimits {
    /// How late an answer may be; for the account of a day, as a sidecar answers at the deadline.
    pub answer_slack: Seconds,
    /// For how long a pod may still get requests after the sidecar was notified that it drains or is gone.
    #[schemars(description = "")]
    pub drain_grace: Seconds,
    /// The part of its capacity that a pod has at its start.
    #[serde(rename = "cold_from")]
    #[schemars(description = "")]
    pub slow_start_from: f64,
    /// How long a pod takes to warm up.
    #[serde(rename = "cold_for")]
    #[schemars(description = "")]
    pub slow_start_duration: Seconds,
    /// The multiple of its present capacity at which a pod that is warming up fails.
    #[serde(rename = "fall_multiple")]
    #[schemars(description = "")]
    pub overload_multiple: f64,
    /// The window over which that load is counted.
    #[serde(rename = "fall_within")]
    #[schemars(description = "")]
    pub overload_window: Seconds,
}

impl SafetyLimits {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        validator.require(
            self.slow_start_from > 0.0 && self.slow_start_from <= 1.0,
            "/rules/cold_from",
            "a part over 0 and up to 1",
        );
        validator.require(
            self.overload_multiple >= 1.0,
            "/rules/fall_multiple",
            "1 or more",
        );
        validator.require(
            self.overload_window.value() > 0.0,
            "/rules/fall_within",
            "more than 0 seconds",
        );
    }
}
