//! What the installer and a sidecar say to each other: stage news as a stream of server-sent events, votes as
//! JSON. `docs/protocol.md` has the pages of both.

use bytes::BytesMut;
use limewing_decision::interface::{BuildId, Phase, StageIndex, StageUpdate, Verdict, VoteAnswer};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePhase {
    OnTrial,
    #[serde(rename = "going_back")]
    RollingBack,
    Released,
    #[serde(rename = "withdrawn")]
    RolledBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageMessage {
    /// Grows with each change of the state; 0 from an installer that does not count them.
    #[serde(default)]
    pub number: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: StagePhase,
    /// The most of a sidecar's hits that may go to the build, 0 to 1.
    pub cap: f64,
    /// How long ago it came to stand so.
    #[serde(default)]
    pub age_ms: f64,
}

impl StageMessage {
    pub fn to_update(self) -> StageUpdate {
        StageUpdate {
            build: BuildId(self.build),
            stage: StageIndex(self.stage),
            phase: match self.phase {
                StagePhase::OnTrial => Phase::OnTrial,
                StagePhase::RollingBack => Phase::RollingBack,
                StagePhase::Released => Phase::Released,
                StagePhase::RolledBack => Phase::RolledBack,
            },
            cap: if self.cap.is_finite() {
                self.cap.clamp(0.0, 1.0)
            } else {
                0.0
            },
            age: Duration::from_millis(self.age_ms.clamp(0.0, 1e9) as u64),
        }
    }
}

/// Lets only news through that is no older than what came before. The stream and the answers to votes are
/// connections of their own: a late answer may tell a cap that has been lowered since. Where the count began
/// anew, as an installer lost it, this hurts: its news is taken for old until it has caught up, and is logged.
#[derive(Default)]
pub struct StageUpdateFilter {
    number: u64,
}

impl StageUpdateFilter {
    pub fn take(&mut self, message: StageMessage) -> Option<StageUpdate> {
        if message.number != 0 && message.number < self.number {
            return None;
        }
        self.number = self.number.max(message.number);
        Some(message.to_update())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteVerdict {
    #[serde(rename = "withhold")]
    Abstain,
    #[serde(rename = "on")]
    Promote,
    Hold,
    #[serde(rename = "back")]
    RollBack,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteMessage {
    pub sidecar: String,
    pub build: u16,
    pub stage: u8,
    pub verdict: VoteVerdict,
}

impl VoteMessage {
    pub fn new(sidecar: &str, verdict: Verdict, build: BuildId, stage: StageIndex) -> Self {
        let verdict = match verdict {
            Verdict::Abstain => VoteVerdict::Abstain,
            Verdict::Promote => VoteVerdict::Promote,
            Verdict::Hold => VoteVerdict::Hold,
            Verdict::RollBack => VoteVerdict::RollBack,
        };
        Self {
            sidecar: sidecar.to_owned(),
            build: build.0,
            stage: stage.0,
            verdict,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteStatus {
    Counted,
    Moot,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    pub answer: VoteStatus,
    /// Where the newest build stands.
    #[serde(default)]
    pub stage: Option<StageMessage>,
}

/// What an installer's answer to a vote says.
pub fn parse_vote_response(status: u16, body: &[u8]) -> (VoteAnswer, Option<StageMessage>) {
    match (status, serde_json::from_slice::<VoteReply>(body)) {
        (200, Ok(reply)) => {
            let answer = match reply.answer {
                VoteStatus::Counted => VoteAnswer::Counted,
                VoteStatus::Moot => VoteAnswer::Moot,
            };
            (answer, reply.stage)
        }
        (429, _) => (VoteAnswer::Full, None),
        _ => (VoteAnswer::Failed, None),
    }
}

/// Reads server-sent events: only `data` of events named `stage` (or unnamed) is used.
#[derive(Default)]
pub struct StageEventReader {
    held: BytesMut,
    data: String,
    name: String,
}

/// An event longer than this is no stage news.
const MAX_EVENT_BYTES: usize = 16 * 1024;

impl StageEventReader {
    /// Takes content as it comes and tells the news in it.
    ///
    /// # Errors
    /// A line or an event that is too long, or news that can't be read: the stream is to be asked for anew.
    pub fn take(&mut self, piece: &[u8]) -> Result<Vec<StageMessage>, String> {
        self.held.extend_from_slice(piece);
        let mut found = Vec::new();
        while let Some(end) = self.held.iter().position(|b| *b == b'\n') {
            let line = self.held.split_to(end + 1);
            let line = String::from_utf8_lossy(line.trim_ascii_end()).into_owned();
            let (field, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "" if line.is_empty() => {
                    let (name, data) = (
                        std::mem::take(&mut self.name),
                        std::mem::take(&mut self.data),
                    );
                    if !data.is_empty() && matches!(name.as_str(), "" | "stage") {
                        let news = serde_json::from_str(&data)
                            .map_err(|e| format!("stage news {data:?}: {e}"))?;
                        found.push(news);
                    }
                }
                "data" => self.data.push_str(value),
                "event" => self.name = value.to_owned(),
                _ => {}
            }
        }
        let long = self.held.len() + self.data.len() > MAX_EVENT_BYTES;
        if long {
            Err(format!("an event of over {MAX_EVENT_BYTES} bytes"))
        } else {
            Ok(found)
        }
    }
}
