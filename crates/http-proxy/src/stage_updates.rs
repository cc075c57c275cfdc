//! Stage updates of the rollout service: a stream of server-sent events, whose format `docs/protocol.md` has.

use bytes::BytesMut;
use limewing_decision::interface::{BuildId, Phase, StageIndex, StageUpdate};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bound of a line and of an event's data; no stage update is longer.
const MAX_EVENT_BYTES: usize = 16 * 1024;
/// Bound of an age that is told, in milliseconds: older is long ago.
const MAX_AGE_MS: f64 = 1e9;
/// The name of the events that carry stage updates; events without a name do, too.
const STAGE_EVENT: &str = "stage";

/// A stage's phase as messages have it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePhase {
    /// The build is a canary.
    OnTrial,
    /// The build is being withdrawn.
    #[serde(rename = "going_back")]
    RollingBack,
    /// The build is released.
    Released,
    /// The build is withdrawn.
    #[serde(rename = "withdrawn")]
    RolledBack,
}

impl From<StagePhase> for Phase {
    fn from(phase: StagePhase) -> Self {
        match phase {
            StagePhase::OnTrial => Self::OnTrial,
            StagePhase::RollingBack => Self::RollingBack,
            StagePhase::Released => Self::Released,
            StagePhase::RolledBack => Self::RolledBack,
        }
    }
}

/// The state of the rollout as messages have it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageMessage {
    /// Grows with each change of the state; 0 from a rollout service that does not count them.
    #[serde(default)]
    pub number: u64,
    /// The newest build.
    pub build: u16,
    /// Its stage.
    pub stage: u8,
    /// The stage's phase.
    pub phase: StagePhase,
    /// The most of a sidecar's requests that may go to the build, 0 to 1.
    pub cap: f64,
    /// How long ago the state was entered, in milliseconds.
    #[serde(default)]
    pub age_ms: f64,
}

impl StageMessage {
    /// The update for the decision engine; a cap that is no number admits nothing.
    #[must_use]
    pub fn to_update(self) -> StageUpdate {
        let cap = if self.cap.is_finite() {
            self.cap.clamp(0.0, 1.0)
        } else {
            0.0
        };
        StageUpdate {
            build: BuildId(self.build),
            stage: StageIndex(self.stage),
            phase: self.phase.into(),
            cap,
            age: Duration::from_millis(self.age_ms.clamp(0.0, MAX_AGE_MS) as u64),
        }
    }
}

/// Drops updates that are older than one that came before.
///
/// The stream and the replies to votes are connections of their own, so a late reply may have a cap that was lowered
/// since. If the rollout service lost its count, its updates are dropped until the count has caught up.
#[derive(Debug, Default)]
pub struct StageUpdateFilter {
    latest_number: u64,
}

impl StageUpdateFilter {
    /// The message's update; `None` if the message is outdated.
    pub fn accept(&mut self, message: StageMessage) -> Option<StageUpdate> {
        if message.number != 0 && message.number < self.latest_number {
            return None;
        }
        self.latest_number = self.latest_number.max(message.number);
        Some(message.to_update())
    }
}

/// Why a stream of events can't be read on; a new one has to be opened.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StageStreamError {
    /// An event's data is no stage message.
    #[error("not a stage message: {data:?}: {cause}")]
    Malformed {
        /// The event's data.
        data: String,
        /// What the JSON parser says.
        cause: String,
    },
    /// A line or an event exceeds the bound.
    #[error("an event of more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Reads server-sent events: `data` of events that are named `stage`, or have no name.
#[derive(Debug, Default)]
pub struct StageEventReader {
    unread: BytesMut,
    data: String,
    event_name: String,
}

impl StageEventReader {
    /// Takes the next piece of the stream, cut anywhere, and returns the messages that it completes.
    ///
    /// # Errors
    /// A line or an event is too long, or a message can't be read.
    pub fn read(&mut self, piece: &[u8]) -> Result<Vec<StageMessage>, StageStreamError> {
        self.unread.extend_from_slice(piece);
        let mut messages = Vec::new();
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let line = self.unread.split_to(end + 1);
            let line = String::from_utf8_lossy(line.trim_ascii_end());
            messages.extend(self.read_line(&line)?);
        }
        if self.unread.len() + self.data.len() > MAX_EVENT_BYTES {
            return Err(StageStreamError::TooLong);
        }
        Ok(messages)
    }

    fn read_line(&mut self, line: &str) -> Result<Option<StageMessage>, StageStreamError> {
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => self.data.push_str(value),
            "event" => value.clone_into(&mut self.event_name),
            _ => {}
        }
        Ok(None)
    }

    fn end_event(&mut self) -> Result<Option<StageMessage>, StageStreamError> {
        let name = std::mem::take(&mut self.event_name);
        let data = std::mem::take(&mut self.data);
        let is_stage_event = name.is_empty() || name == STAGE_EVENT;
        if data.is_empty() || !is_stage_event {
            return Ok(None);
        }
        match serde_json::from_str(&data) {
            Ok(message) => Ok(Some(message)),
            Err(error) => Err(StageStreamError::Malformed {
                data,
                cause: error.to_string(),
            }),
        }
    }
}
