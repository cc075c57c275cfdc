//! The state of the newest build's rollout, as reported by the rollout service.

use limewing_decision::interface::{
    BuildId, Phase, StageIndex, StageOrder, StageStreamId, StageUpdate,
};
use serde::Deserialize;
use std::time::Duration;

/// Maximum age in a message, in milliseconds; it fits into a `Duration`.
const MAX_AGE_MS: f64 = 1e9;

/// Converts an age from a message, in milliseconds. A negative value or NaN counts as zero.
pub(crate) fn age_from_ms(milliseconds: f64) -> Duration {
    Duration::from_millis(milliseconds.clamp(0.0, MAX_AGE_MS) as u64)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum Status {
    Progressing,
    Aborting,
    Healthy,
    Aborted,
}

/// The state of the newest build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RolloutState {
    #[serde(rename = "Revision")]
    build: u16,
    #[serde(rename = "Wave")]
    stage: u8,
    #[serde(rename = "State")]
    status: Status,
    #[serde(rename = "MaxShare")]
    exposure_cap: f64,
    #[serde(default)]
    age_ms: f64,
}

impl RolloutState {
    /// Converts the state to an update for the decision engine. `stream` is the stream that delivered
    /// it, or `None` if it arrived in another way.
    #[must_use]
    pub fn to_update(self, stream: Option<StageStreamId>) -> StageUpdate {
        StageUpdate {
            build: BuildId(self.build),
            stage: StageIndex(self.stage),
            phase: match self.status {
                Status::Progressing => Phase::OnTrial,
                Status::Aborting => Phase::RollingBack,
                Status::Healthy => Phase::Released,
                Status::Aborted => Phase::RolledBack,
            },
            cap: if self.exposure_cap.is_finite() {
                self.exposure_cap.clamp(0.0, 1.0)
            } else {
                0.0
            },
            age: age_from_ms(self.age_ms),
            // The service does not number its changes.
            order: StageOrder {
                number: None,
                stream,
            },
        }
    }
}
