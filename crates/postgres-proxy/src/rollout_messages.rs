//! Messages between the rollout service and a sidecar: lines of the service's stream, votes, and
//! replies to votes.

use crate::stage_updates::RolloutState;
use crate::wrong_answers::WrongAnswer;
use limewing_decision::interface::{BuildId, StageIndex, Verdict, VoteAnswer};
use limewing_proxy_core::vote_call::VoteReply;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// A line of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutMessage {
    /// The state of the newest build's rollout.
    Stage(RolloutState),
    /// A pod gave a wrong answer.
    WrongAnswer(WrongAnswer),
    /// A keep-alive, or a message of another type.
    Ignored,
}

/// A line that is not JSON of the form required by its type.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct MessageError(#[from] serde_json::Error);

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(borrow)]
    object: Option<&'a RawValue>,
}

/// Parses a line of the stream.
///
/// # Errors
/// Returns an error if the line is not JSON of the form required by its type.
pub fn parse_message(line: &[u8]) -> Result<RolloutMessage, MessageError> {
    if line.trim_ascii().is_empty() {
        return Ok(RolloutMessage::Ignored);
    }
    let envelope: Envelope = serde_json::from_slice(line)?;
    let object = envelope.object.map_or("null", |object| object.get());
    match envelope.kind.as_str() {
        "news" => Ok(RolloutMessage::Stage(serde_json::from_str(object)?)),
        "report" => Ok(RolloutMessage::WrongAnswer(serde_json::from_str(object)?)),
        _ => Ok(RolloutMessage::Ignored),
    }
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Vote {
    #[serde(rename = "Revision")]
    build: u16,
    #[serde(rename = "Wave")]
    stage: u8,
    decision: &'static str,
}

/// Encodes the body of a vote.
#[must_use]
pub fn encode_vote(verdict: Verdict, build: BuildId, stage: StageIndex) -> Vec<u8> {
    let decision = match verdict {
        Verdict::Abstain => "abstain",
        Verdict::Promote => "promote",
        Verdict::Hold => "pause",
        Verdict::RollBack => "abort",
    };
    let vote = Vote {
        build: build.0,
        stage: stage.0,
        decision,
    };
    serde_json::to_vec(&vote).unwrap_or_default()
}

/// Parses the reply to a vote.
#[must_use]
pub fn parse_vote_reply(status: u16, body: &[u8]) -> VoteReply<RolloutState> {
    let answer = match status {
        200 => match serde_json::from_slice(body) {
            Ok(state) => {
                return VoteReply {
                    answer: VoteAnswer::Counted,
                    state: Some(state),
                }
            }
            Err(_) => VoteAnswer::Unanswered,
        },
        409 => VoteAnswer::Moot,
        429 => VoteAnswer::Full,
        _ => VoteAnswer::Failed,
    };
    VoteReply::without_state(answer)
}
