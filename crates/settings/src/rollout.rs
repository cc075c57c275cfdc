//! Rollouts of builds in stages, and votes on them.

use crate::seconds::Seconds;
use crate::validation::{is_fraction, Validator};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The maximum number of stages of a rollout: a stage number is one byte.
const MAX_STAGES: usize = 255;

/// What promotes a build from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(description = "")]
pub enum Control {
    /// Votes promote a build.
    Votes,
    /// A build is promoted after a fixed time, unless votes hold it.
    Clock,
}

/// How builds are rolled out in stages, and voted on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Releases")]
#[schemars(rename = "Releases", description = "")]
pub struct RolloutSettings {
    /// What promotes a build from stage to stage.
    #[schemars(description = "")]
    pub control: Control,
    /// The stages, in order.
    #[schemars(description = "")]
    pub stages: Vec<RolloutStage>,
    /// The time window over which the caps apply.
    #[serde(rename = "cap_window")]
    #[schemars(description = "")]
    pub exposure_window: Seconds,
    /// Number of attempts per window that the cap does not apply to.
    #[serde(rename = "cap_free")]
    #[schemars(description = "")]
    pub exposure_free: f64,
    /// Whether the caps apply to each request class separately.
    #[serde(default, rename = "cap_by_group")]
    #[schemars(description = "")]
    pub exposure_per_class: bool,
    /// The number of initial stages in which the build on trial receives only idempotent requests.
    #[serde(default)]
    #[schemars(description = "")]
    pub guarded_stages: u8,
    /// Whether a routing key stays with the newest build that has served it.
    #[serde(default, rename = "keys_stay")]
    #[schemars(description = "")]
    pub sticky_keys: bool,
    /// Duration of a stage when `control` is `clock`; only the rollout service of a day uses it, as a sidecar follows its updates.
    #[serde(rename = "step_after")]
    pub stage_duration: Seconds,
    /// How long a vote is valid.
    #[serde(rename = "vote_life")]
    #[schemars(description = "")]
    pub vote_ttl: Seconds,
    /// Timeout for the reply to a vote.
    #[serde(rename = "vote_answer_within")]
    #[schemars(description = "")]
    pub vote_timeout: Seconds,
    /// Number of sidecars whose votes roll a build back.
    #[serde(rename = "back_votes")]
    #[schemars(description = "")]
    pub rollback_quorum: u32,
    /// Number of sidecars whose votes hold a stage.
    #[serde(default = "default_quorum", rename = "hold_votes")]
    pub hold_quorum: u32,
    /// Number of sidecars whose votes promote a build, when `control` is `votes`.
    #[serde(default = "default_quorum", rename = "on_votes")]
    pub promote_quorum: u32,
    /// Votes per second that the rollout service accepts from all sidecars together, with bursts of twice that; no limit if absent.
    #[serde(default, rename = "vote_allowance")]
    pub vote_rate_limit: Option<f64>,
}

/// One stage of a rollout.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct Stage")]
#[schemars(rename = "Stage", description = "")]
pub struct RolloutStage {
    /// Fraction of the fleet that runs the build on trial.
    pub share: f64,
    /// Maximum fraction of a sidecar's requests that may go to the build on trial.
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
            "at least one stage",
        );
        validator.require(
            self.stages.len() <= MAX_STAGES,
            "/releases/stages",
            "at most 255 stages",
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
