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
    /// How long requests may still go to a pod that is draining.
    #[schemars(description = "")]
    pub drain_grace: Seconds,
    /// The part of its capacity that a pod has at its start.
    #[schemars(description = "")]
    pub cold_from: f64,
    /// How long a pod takes to warm up.
    #[schemars(description = "")]
    pub cold_for: Seconds,
    /// The load, against what a pod can do, under which it is overloaded.
    #[schemars(description = "")]
    pub fall_multiple: f64,
    /// The span over which that load is taken.
    #[schemars(description = "")]
    pub fall_within: Seconds,
}

impl SafetyLimits {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        validator.require(
            self.cold_from > 0.0 && self.cold_from <= 1.0,
            "/rules/cold_from",
            "a part over 0 and up to 1",
        );
        validator.require(
            self.fall_multiple >= 1.0,
            "/rules/fall_multiple",
            "1 or more",
        );
        validator.require(
            self.fall_within.value() > 0.0,
            "/rules/fall_within",
            "more than 0 seconds",
        );
    }
}
