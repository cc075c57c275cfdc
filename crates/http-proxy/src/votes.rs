//! Votes on the build on trial and the rollout service's replies, as JSON; `docs/protocol.md` has both.

use crate::http_status;
use crate::stage_updates::StageMessage;
use limewing_decision::interface::{BuildId, StageIndex, Verdict, VoteAnswer};
use limewing_proxy_core::vote_call::VoteReply;
use serde::{Deserialize, Serialize};

/// A verdict as messages have it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteVerdict {
    /// No opinion.
    #[serde(rename = "withhold")]
    Abstain,
    /// The build may go to the next stage.
    #[serde(rename = "on")]
    Promote,
    /// The build is to stay at its stage.
    Hold,
    /// The build is to be withdrawn.
    #[serde(rename = "back")]
    RollBack,
}

impl From<Verdict> for VoteVerdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Abstain => Self::Abstain,
            Verdict::Promote => Self::Promote,
            Verdict::Hold => Self::Hold,
            Verdict::RollBack => Self::RollBack,
        }
    }
}

/// One sidecar's vote.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteMessage {
    /// The sidecar's name.
    pub sidecar: String,
    /// The build on trial.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// The verdict.
    pub verdict: VoteVerdict,
}

impl VoteMessage {
    /// The message of a vote.
    #[must_use]
    pub fn new(sidecar: &str, verdict: Verdict, build: BuildId, stage: StageIndex) -> Self {
        Self {
            sidecar: sidecar.to_owned(),
            build: build.0,
            stage: stage.0,
            verdict: verdict.into(),
        }
    }
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteStatus {
    /// It counts.
    Counted,
    /// It is about a stage that is over.
    Moot,
}

/// The body of a reply to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReplyMessage {
    /// What became of the vote.
    pub answer: VoteStatus,
    /// The state of the rollout.
    #[serde(default)]
    pub stage: Option<StageMessage>,
}

/// Reads a reply to a vote; one that can't be read counts as a failed vote.
#[must_use]
pub fn parse_vote_response(status: u16, body: &[u8]) -> VoteReply<StageMessage> {
    if status == http_status::TOO_MANY_REQUESTS {
        return VoteReply::without_state(VoteAnswer::Full);
    }
    let reply = serde_json::from_slice::<VoteReplyMessage>(body);
    let Some(reply) = reply.ok().filter(|_| status == http_status::OK) else {
        return VoteReply::without_state(VoteAnswer::Failed);
    };
    let answer = match reply.answer {
        VoteStatus::Counted => VoteAnswer::Counted,
        VoteStatus::Moot => VoteAnswer::Moot,
    };
    VoteReply {
        answer,
        state: reply.stage,
    }
}
