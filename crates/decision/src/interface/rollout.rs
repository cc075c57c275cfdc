//! The rollout of a build, and votes on it.

use super::{BuildId, StageIndex};
use std::time::Duration;

/// Where the rollout of a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is on trial.
    OnTrial,
    /// It is being rolled back.
    RollingBack,
    /// It is released.
    Released,
    /// It was rolled back.
    RolledBack,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUpdate {
    /// The newest build.
    pub build: BuildId,
    /// The stage that it is in.
    pub stage: StageIndex,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The share of requests that it may get at most.
    pub cap: f64,
    /// How long it has been so, by the clock of the rollout service.
    pub age: Duration,
}

impl StageUpdate {
    /// A number that no other cycle of this or another stage has.
    pub(crate) fn cycle_key(&self, cycle: u32) -> u64 {
        u64::from(self.build.0) << 48 | u64::from(self.stage.0) << 40 | u64::from(cycle)
    }
}

/// The rollout service's answer to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    /// It counts.
    Counted,
    /// It is about a stage that is over.
    Moot,
    /// Too many votes came at one time.
    Full,
    /// The call failed.
    Failed,
    /// There was no answer.
    Unanswered,
}

/// A sidecar's verdict on the build on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None.
    Abstain,
    /// The build may get more requests.
    Promote,
    /// The stage must not end yet.
    Hold,
    /// The build must be withdrawn.
    RollBack,
}
