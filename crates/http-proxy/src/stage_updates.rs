//! Stage updates from the rollout service: a stream of server-sent events; `docs/protocol.md` describes the format.

use bytes::BytesMut;
use limewing_decision::interface::{
    BuildId, Phase, StageIndex, StageOrder, StageStreamId, StageUpdate,
};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU64;
use std::time::Duration;

/// Maximum length of a line and of an event's data; no stage update is longer.
const MAX_EVENT_BYTES: usize = 16 * 1024;
/// Upper bound for the age in a message, in milliseconds (about 11 days).
const MAX_AGE_MS: f64 = 1e9;
/// The name of the events that carry stage updates; unnamed events carry them, too.
const STAGE_EVENT: &str = "stage";

/// The phase of a stage on the wire.
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

/// The state of the rollout on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageMessage {
    /// Increases with each change of the state; 0 if the rollout service does not number its changes.
    #[serde(default)]
    pub number: u64,
    /// The newest build.
    pub build: u16,
    /// The stage of the build.
    pub stage: u8,
    /// The phase of the stage.
    pub phase: StagePhase,
    /// The maximum share of a sidecar's requests that may go to the build, from 0 to 1.
    pub cap: f64,
    /// The time since the state was entered, in milliseconds.
    #[serde(default)]
    pub age_ms: f64,
}

impl StageMessage {
    /// Converts the message for the decision engine; a cap that is not a finite number becomes 0. `stream` is the
    /// stream that delivered it, or `None` if it arrived in another way.
    #[must_use]
    pub fn to_update(self, stream: Option<StageStreamId>) -> StageUpdate {
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
            order: StageOrder {
                number: NonZeroU64::new(self.number),
                stream,
            },
        }
    }
}

/// The reason why a stage stream is abandoned; the client has to open a new one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StageStreamError {
    /// The data of an event is not a stage message.
    #[error("not a stage message: {data:?}: {cause}")]
    Malformed {
        /// The data of the event.
        data: String,
        /// The message of the JSON parser.
        cause: String,
    },
    /// A line or an event exceeds the maximum length.
    #[error("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Parses server-sent events and returns the stage messages in events that are named `stage` or have no name.
#[derive(Debug, Default)]
pub struct StageEventReader {
    buffer: BytesMut,
    data: String,
    event_name: String,
}

impl StageEventReader {
    /// Reads the next chunk of the stream, which may end anywhere, and returns the messages that it completes.
    ///
    /// # Errors
    /// Fails if a line or an event is too long, or if a message is malformed.
    pub fn read(&mut self, chunk: &[u8]) -> Result<Vec<StageMessage>, StageStreamError> {
        self.buffer.extend_from_slice(chunk);
        let mut messages = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            let line = String::from_utf8_lossy(line.trim_ascii_end());
            messages.extend(self.read_line(&line)?);
        }
        if self.buffer.len() + self.data.len() > MAX_EVENT_BYTES {
            return Err(StageStreamError::TooLong);
        }
        Ok(messages)
    }

    fn read_line(&mut self, line: &str) -> Result<Option<StageMessage>, StageStreamError> {
        if line.is_empty() {
            return self.finish_event();
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

    fn finish_event(&mut self) -> Result<Option<StageMessage>, StageStreamError> {
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
