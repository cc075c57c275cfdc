//! The record of a day (`record.jsonl`): one line of JSON for each message that crossed a socket and for each change of the fleet.

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
