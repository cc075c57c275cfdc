//! Codec of the simulator's wire protocol: decodes batches of records and encodes replies of actions. All numbers are
//! little-endian.
//!
//! - [`batch`]: input frames
//! - [`record`]: the records of an input frame
//! - [`reply`]: output frames
//! - [`start_settings`]: the JSON settings in a start record
//! - [`error`]: errors in frames and settings

pub mod batch;
mod cursor;
pub mod error;
pub mod record;
pub mod reply;
pub mod start_settings;

pub use batch::{read_batch, Batch};
pub use error::{FrameError, FrameErrorKind, StartSettingsError};
pub use record::{EndpointUpdateKind, Record};
pub use reply::Reply;
pub use start_settings::{sidecar_config, socket_settings, SocketSettings};
