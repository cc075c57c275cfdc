//! Votes on the canary build and the replies of the rollout service, as JSON; `docs/protocol.md` describes both.

use crate::http_status;
use crate::stage_updates::StageMessage;
use limewing_decision::interface::{BuildId, StageIndex, Verdict, VoteAnswer};
use limewing_proxy_core::vote_call::VoteReply;
use serde::{Deserialize, Serialize};

/// A verdict on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteVerdict {
    /// The sidecar has no verdict yet.
    #[serde(rename = "withhold")]
    Abstain,
    /// The build may advance to the next stage.
    #[serde(rename = "on")]
    Promote,
    /// The build has to stay at its stage.
    Hold,
    /// The build has to be withdrawn.
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

/// The vote of a sidecar on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteMessage {
    /// The name of the sidecar.
    pub sidecar: String,
    /// The canary build.
    pub build: u16,
    /// The stage of the build.
    pub stage: u8,
    /// The verdict.
    pub verdict: VoteVerdict,
}

impl VoteMessage {
    /// Creates the message of a vote.
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

/// Whether the rollout service counted a vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteStatus {
    /// The vote is counted.
    Counted,
    /// The vote is for a stage that is over.
    Moot,
}

/// The body of a reply to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReplyMessage {
    /// Whether the vote was counted.
    pub answer: VoteStatus,
    /// The state of the rollout.
    #[serde(default)]
    pub stage: Option<StageMessage>,
}

/// Parses the reply to a vote; a malformed reply counts as a failed vote.
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
