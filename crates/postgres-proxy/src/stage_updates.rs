//! The state of the newest build's rollout, as reported by the rollout service.

use limewing_decision::interface::{BuildId, Phase, StageIndex, StageUpdate};
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
    /// Converts the state to an update for the decision engine.
    #[must_use]
    pub fn to_update(self) -> StageUpdate {
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
        }
    }

    /// Returns a measure of the progress of a rollout, which never decreases.
    fn progress(self) -> (u16, u8, u8) {
        let status = match self.status {
            Status::Progressing => 0,
            Status::Healthy => 1,
            Status::Aborting => 2,
            Status::Aborted => 3,
        };
        let stage = if self.status == Status::Progressing {
            self.stage
        } else {
            0
        };
        (self.build, status, stage)
    }
}

/// A state that is not older than the previous ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptedState {
    /// The update for the decision engine.
    pub update: StageUpdate,
    /// A build to which no unsent attempt may be sent any more, because it is being rolled back or
    /// its cap was lowered. Such a change takes effect soon, while an attempt permitted before may
    /// remain unsent for longer.
    pub closed_build: Option<BuildId>,
}

/// Drops outdated states. The stream and the replies to votes arrive on separate connections, and a
/// late reply may contain a cap that has been lowered since.
#[derive(Debug, Default)]
pub struct LatestState(Option<RolloutState>);

impl LatestState {
    /// Records a state; returns `None` if it is outdated.
    pub fn accept(&mut self, state: RolloutState) -> Option<AcceptedState> {
        let previous = self.0;
        if previous.is_some_and(|previous| previous.progress() > state.progress()) {
            return None;
        }
        self.0 = Some(state);
        let update = state.to_update();
        let is_cap_lowered = previous
            .map(RolloutState::to_update)
            .is_some_and(|previous| previous.build == update.build && update.cap < previous.cap);
        let is_rolled_back = matches!(update.phase, Phase::RollingBack | Phase::RolledBack);
        let is_closed = is_cap_lowered || is_rolled_back;
        Some(AcceptedState {
            update,
            closed_build: is_closed.then_some(update.build),
        })
    }
}
