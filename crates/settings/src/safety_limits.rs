//! Parameters of the five safety rules.

use crate::seconds::Seconds;
use crate::validation::Validator;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Parameters of the five safety rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Rules")]
#[schemars(rename = "Rules")]
pub struct SafetyLimits {
    /// How late a response may be; only the summary of a day uses it, as a sidecar responds at the deadline.
    pub answer_slack: Seconds,
    /// How long a pod may still receive requests after the sidecar was notified that it is draining or gone.
    #[schemars(description = "")]
    pub drain_grace: Seconds,
    /// The fraction of its capacity that a pod has at startup.
    #[serde(rename = "cold_from")]
    #[schemars(description = "")]
    pub slow_start_from: f64,
    /// How long a pod takes to warm up.
    #[serde(rename = "cold_for")]
    #[schemars(description = "")]
    pub slow_start_duration: Seconds,
    /// The multiple of its current capacity at which a pod that is warming up fails.
    #[serde(rename = "fall_multiple")]
    #[schemars(description = "")]
    pub overload_multiple: f64,
    /// The time window over which that load is measured.
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
