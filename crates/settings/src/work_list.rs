//! A work list as written by an operator: which machines go out of service for maintenance, and how many at once.
//!
//! A sidecar sends the texts of validation errors to the operator who submits a list, so these texts are stable.

use crate::error::{ConfigError, ValidateConfig};
use crate::seconds::Seconds;
use crate::validation::{is_fraction, Validator};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The maximum length of the name of a list or machine, in bytes.
const MAX_NAME_BYTES: usize = 40;
/// The maximum number of machines named in a list.
const MAX_MACHINES: usize = 1000;
/// The maximum number of exclusive pairs of machines.
const MAX_PAIRS: usize = 8;
/// The maximum number of windows.
const MAX_WINDOWS: usize = 8;
/// The maximum duration of the work on one machine, in seconds: one day.
const MAX_WORK_S: f64 = 86_400.0;
/// The maximum time after which work counts as stalled, in seconds: ten days.
const MAX_STALL_S: f64 = 864_000.0;
/// The latest end of a window, in seconds since 1970: over three thousand years.
const MAX_WINDOW_END_S: f64 = 1e11;

/// A list of machines that go out of service for maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(description = "")]
pub struct WorkList {
    /// Name of the list, 1 to 40 bytes.
    pub name: String,
    /// Names of machines, as in the endpoint list (`Node.Node`).
    #[serde(default)]
    pub machines: Vec<String>,
    /// Selects machines in addition to those named, from the endpoint list at the time when work is requested.
    #[serde(default)]
    pub select: Option<MachineSelector>,
    /// How long the work on one machine takes; `stalls_after` is the time after which it counts as stalled.
    #[serde(rename = "takes")]
    pub work_duration: Seconds,
    /// After how long the work on one machine counts as stalled.
    #[serde(rename = "stalls_after")]
    #[schemars(description = "")]
    pub stall_timeout: Seconds,
    /// How many machines may be out of service at once.
    #[schemars(description = "")]
    pub limits: WorkLimits,
    /// When machines may be out of service; at any time if there are no windows.
    #[serde(default)]
    pub windows: Vec<WorkWindow>,
    /// The list with the higher priority goes first; with equal priority, the one requested first.
    #[serde(default)]
    pub priority: u8,
    /// Whether work continues while a build is on trial.
    #[serde(default, rename = "beside_trials")]
    pub allowed_during_trials: bool,
}

/// Selects the machines that match all of these properties; an absent property matches any machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Select")]
#[schemars(rename = "Select", description = "")]
pub struct MachineSelector {
    /// The machine's zone.
    #[serde(default)]
    #[schemars(description = "")]
    pub zone: Option<String>,
    /// The machine's type.
    #[serde(default, rename = "kind")]
    #[schemars(description = "")]
    pub machine_type: Option<String>,
    /// The build of a pod on the machine.
    #[serde(default)]
    #[schemars(description = "")]
    pub build: Option<u16>,
}

/// Limits across all work lists together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkLimits {
    /// Maximum number of machines out of service at once.
    #[serde(rename = "out")]
    pub max_unavailable: u16,
    /// Maximum number of machines out of service at once in one zone.
    #[serde(default, rename = "out_in_zone")]
    #[schemars(description = "")]
    pub max_unavailable_per_zone: Option<u16>,
    /// Maximum number of machines out of service at once of one machine type.
    #[serde(default, rename = "out_of_kind")]
    #[schemars(description = "")]
    pub max_unavailable_per_type: Option<u16>,
    /// Fraction of the total capacity that stays ready and warm, 0 to 1.
    #[serde(rename = "ready_part")]
    pub min_ready_fraction: f64,
    /// Pairs of machine names that may not be out of service together.
    #[serde(default, rename = "apart")]
    pub exclusive_pairs: Vec<(String, String)>,
    /// No further machine goes out of service while sidecars reject a larger fraction of their requests, 0 to 1.
    #[serde(default = "default_max_rejection_rate", rename = "turned_away")]
    pub max_rejection_rate: f64,
}

/// A time window, in seconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkWindow {
    /// When the first machine may go out of service.
    #[serde(rename = "from")]
    #[schemars(description = "")]
    pub start: f64,
    /// When the last machine must be back in service.
    #[serde(rename = "to")]
    #[schemars(description = "")]
    pub end: f64,
}

impl ValidateConfig for WorkList {
    fn config_errors(&self) -> Vec<ConfigError> {
        let mut validator = Validator::default();
        validator.require(is_name(&self.name), "/name", "1 to 40 letters");
        self.validate_machines(&mut validator);
        self.validate_durations(&mut validator);
        self.limits.validate(&mut validator);
        self.validate_windows(&mut validator);
        validator.into_errors()
    }
}

impl WorkList {
    fn validate_machines(&self, validator: &mut Validator) {
        validator.require(
            !self.machines.is_empty() || self.select.is_some(),
            "/machines",
            "machines, or `select`",
        );
        validator.require(
            self.machines.len() <= MAX_MACHINES,
            "/machines",
            "1000 machines at most",
        );
        let mut named = BTreeSet::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let path = format!("/machines/{index}");
            validator.require(is_name(machine), path.clone(), "a name of 1 to 40 letters");
            let is_first = named.insert(machine);
            validator.require(is_first, path, "a machine that is not named before");
        }
    }

    fn validate_durations(&self, validator: &mut Validator) {
        let work = self.work_duration.value();
        let stall = self.stall_timeout.value();
        validator.require(
            (0.0..=MAX_WORK_S).contains(&work),
            "/takes",
            "0 to 86400 seconds",
        );
        validator.require(
            work <= stall && stall <= MAX_STALL_S,
            "/stalls_after",
            "`takes` to 864000 seconds",
        );
    }

    fn validate_windows(&self, validator: &mut Validator) {
        validator.require(
            self.windows.len() <= MAX_WINDOWS,
            "/windows",
            "8 windows at most",
        );
        let work = self.work_duration.value();
        for (index, window) in self.windows.iter().enumerate() {
            let is_in_range = window.start >= 0.0 && window.end <= MAX_WINDOW_END_S;
            validator.require(
                is_in_range && window.start + work <= window.end,
                format!("/windows/{index}"),
                "times since 1970 with room for the work between them",
            );
        }
    }
}

impl WorkLimits {
    fn validate(&self, validator: &mut Validator) {
        validator.require(
            self.max_unavailable >= 1,
            "/limits/out",
            "1 machine or more",
        );
        validator.require(
            self.max_unavailable_per_zone != Some(0),
            "/limits/out_in_zone",
            "1 machine or more, or no limit",
        );
        validator.require(
            self.max_unavailable_per_type != Some(0),
            "/limits/out_of_kind",
            "1 machine or more, or no limit",
        );
        validator.require(
            is_fraction(self.min_ready_fraction),
            "/limits/ready_part",
            "a part from 0 to 1",
        );
        validator.require(
            is_fraction(self.max_rejection_rate),
            "/limits/turned_away",
            "a part from 0 to 1",
        );
        validator.require(
            self.exclusive_pairs.len() <= MAX_PAIRS,
            "/limits/apart",
            "8 pairs at most",
        );
        for (index, (one, other)) in self.exclusive_pairs.iter().enumerate() {
            validator.require(
                is_name(one) && is_name(other) && one != other,
                format!("/limits/apart/{index}"),
                "two machines by name",
            );
        }
    }
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

fn default_max_rejection_rate() -> f64 {
    0.05
}
