//! The record of a day (`record.jsonl`): one line of JSON for each thing that crossed a socket or happened to the fleet.

mod event;
mod ids;
mod limits;
mod reader;
mod writer;

pub use event::{Event, FinalAnswer, Phase, RecordLine};
pub use ids::{AttemptKey, PodId, RequestId, SidecarId};
pub use limits::{DeduplicationScope, Idempotency, RequestClass, RuleLimits};
pub use reader::{read, ReadError};
pub use writer::Recorder;
