//! The rollout of a build and the votes on it.

use super::{BuildId, StageIndex, StageStreamId};
use std::num::NonZeroU64;
use std::time::Duration;

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The build is on trial.
    OnTrial,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released.
    Released,
    /// The build was rolled back.
    RolledBack,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUpdate {
    /// The newest build.
    pub build: BuildId,
    /// The current stage of the build.
    pub stage: StageIndex,
    /// The phase of the rollout.
    pub phase: Phase,
    /// The maximum share of requests for the build.
    pub cap: f64,
    /// The age of this state, by the clock of the rollout service.
    pub age: Duration,
    /// What is known about when the rollout service wrote the update.
    pub order: StageOrder,
}

/// What is known about the order of a stage update among the others. The default is an update of
/// unknown age, such as a reply to a vote, the configuration or a message of another sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageOrder {
    /// A number that increases with each change of the state; `None` if the rollout service does
    /// not number its changes.
    pub number: Option<NonZeroU64>,
    /// The stream that delivered the update, if any. A stream delivers its updates in order.
    pub stream: Option<StageStreamId>,
}

impl StageUpdate {
    /// Returns a number that is unique to this stage and cycle.
    pub(crate) fn cycle_key(&self, cycle: u32) -> u64 {
        u64::from(self.build.0) << 48 | u64::from(self.stage.0) << 40 | u64::from(cycle)
    }
}

/// The rollout service's reply to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    /// The vote counts.
    Counted,
    /// The vote is about a stage that has ended.
    Moot,
    /// The vote was refused because of the rate limit.
    Full,
    /// The call failed.
    Failed,
    /// The call was not answered.
    Unanswered,
}

/// A sidecar's verdict on the build on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The sidecar has no verdict.
    Abstain,
    /// The build may receive more requests.
    Promote,
    /// The stage must not end yet.
    Hold,
    /// The build must be rolled back.
    RollBack,
}
