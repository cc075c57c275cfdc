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
    /// The span over which a build's exposure is counted.
    #[schemars(description = "")]
    pub cap_window: Seconds,
    /// Requests to a build on trial that the cap does not count.
    #[schemars(description = "")]
    pub cap_free: f64,
    /// Whether exposure is counted for each request class alone.
    #[serde(default)]
    #[schemars(description = "")]
    pub cap_by_group: bool,
    /// The first stages, so many, in which non-idempotent requests do not go to the build on trial.
    #[serde(default)]
    #[schemars(description = "")]
    pub guarded_stages: u8,
    /// Whether a routing key stays with the build that served it.
    #[serde(default)]
    #[schemars(description = "")]
    pub keys_stay: bool,
    /// How long a stage lasts under a clock; for the installer of a day, as a sidecar goes by its news.
    pub step_after: Seconds,
    /// How long a vote counts.
    #[schemars(description = "")]
    pub vote_life: Seconds,
    /// How long the reply to a vote is waited for.
    #[schemars(description = "")]
    pub vote_answer_within: Seconds,
    /// Sidecars that it takes to roll a build back.
    #[schemars(description = "")]
    pub back_votes: u32,
    /// Sidecars that it takes to hold a stage.
    #[serde(default = "default_quorum")]
    pub hold_votes: u32,
    /// Sidecars that it takes to move a stage on, where votes do.
    #[serde(default = "default_quorum")]
    pub on_votes: u32,
    /// Votes a second that the installer takes from all sidecars together, and twice that at one time; none: all.
    #[serde(default)]
    pub vote_allowance: Option<f64>,
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
            self.cap_window.value() > 0.0,
            "/releases/cap_window",
            "more than 0 seconds",
        );
        validator.require(self.cap_free >= 0.0, "/releases/cap_free", "0 or more");
        validator.require(self.back_votes >= 1, "/releases/back_votes", "1 or more");
        validator.require(
            self.vote_allowance.is_none_or(|limit| limit > 0.0),
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
