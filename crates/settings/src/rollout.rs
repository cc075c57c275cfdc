//! How builds are brought in by stages, and voted on.

use crate::seconds::Seconds;
use crate::validation::{is_fraction, Validator};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The most stages of a rollout: their numbers are bytes.
const MAX_STAGES: usize = 255;

/// What moves a build from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "")]
pub enum Control {
    /// Votes move a build on.
    Votes,
    /// A clock does, unless votes hold it.
    Clock,
}

/// How builds are brought in by stages, and voted on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Releases")]
#[schemars(rename = "Releases", description = "")]
pub struct RolloutSettings {
    /// What moves a build from stage to stage.
    #[schemars(description = "")]
    pub control: Control,
    /// The stages, in order.
    #[schemars(description = "")]
    pub stages: Vec<RolloutStage>,
    /// The window over which the caps are counted.
    #[serde(rename = "cap_window")]
    #[schemars(description = "")]
    pub exposure_window: Seconds,
    /// Attempts in a window that are free of the cap.
    #[serde(rename = "cap_free")]
    #[schemars(description = "")]
    pub exposure_free: f64,
    /// Whether the caps are counted for each request class by itself.
    #[serde(default, rename = "cap_by_group")]
    #[schemars(description = "")]
    pub exposure_per_class: bool,
    /// The number of first stages in which the build on trial gets idempotent requests only.
    #[serde(default)]
    #[schemars(description = "")]
    pub guarded_stages: u8,
    /// Whether a routing key stays with the newest build that served it.
    #[serde(default, rename = "keys_stay")]
    #[schemars(description = "")]
    pub sticky_keys: bool,
    /// How long a stage lasts under a clock; for the installer of a day, as a sidecar goes by its news.
    #[serde(rename = "step_after")]
    pub stage_duration: Seconds,
    /// How long a vote counts.
    #[serde(rename = "vote_life")]
    #[schemars(description = "")]
    pub vote_ttl: Seconds,
    /// How long the reply to a vote is waited for.
    #[serde(rename = "vote_answer_within")]
    #[schemars(description = "")]
    pub vote_timeout: Seconds,
    /// Sidecars that it takes to roll a build back.
    #[serde(rename = "back_votes")]
    #[schemars(description = "")]
    pub rollback_quorum: u32,
    /// Sidecars that it takes to hold a stage.
    #[serde(default = "default_quorum", rename = "hold_votes")]
    pub hold_quorum: u32,
    /// Sidecars that it takes to move a stage on, where votes do.
    #[serde(default = "default_quorum", rename = "on_votes")]
    pub promote_quorum: u32,
    /// Votes a second that the installer takes from all sidecars together, and twice that at one time; none: all.
    #[serde(default, rename = "vote_allowance")]
    pub vote_rate_limit: Option<f64>,
}

/// One stage of a rollout.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Stage")]
#[schemars(rename = "Stage", description = "")]
pub struct RolloutStage {
    /// The part of the fleet that runs the build on trial.
    pub share: f64,
    /// The most of a sidecar's hits that may go to it.
    pub cap: f64,
}

impl RolloutSettings {
    pub(crate) fn validate(&self, validator: &mut Validator) {
        self.validate_stages(validator);
        validator.require(
            self.exposure_window.value() > 0.0,
            "/releases/cap_window",
            "more than 0 seconds",
        );
        validator.require(self.exposure_free >= 0.0, "/releases/cap_free", "0 or more");
        validator.require(
            self.rollback_quorum >= 1,
            "/releases/back_votes",
            "1 or more",
        );
        validator.require(
            self.vote_rate_limit.is_none_or(|limit| limit > 0.0),
            "/releases/vote_allowance",
            "more than 0 votes a second",
        );
    }

    fn validate_stages(&self, validator: &mut Validator) {
        validator.require(
            !self.stages.is_empty(),
            "/releases/stages",
            "one stage at least",
        );
        validator.require(
            self.stages.len() <= MAX_STAGES,
            "/releases/stages",
            "255 stages at most",
        );
        for (index, stage) in self.stages.iter().enumerate() {
            validator.require(
                is_fraction(stage.share),
                format!("/releases/stages/{index}/share"),
                "a part from 0 to 1",
            );
            validator.require(
                is_fraction(stage.cap),
                format!("/releases/stages/{index}/cap"),
                "a part from 0 to 1",
            );
        }
    }
}

fn default_quorum() -> u32 {
    1
}
