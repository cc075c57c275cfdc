//! Codec of the simulator's wire: batches of records in, replies of actions out. All numbers are little-endian.
//!
//! - [`batch`]: one frame of input
//! - [`record`]: the records of a frame
//! - [`reply`]: one frame of output
//! - [`start_settings`]: the JSON settings in a start record
//! - [`error`]: what makes a frame or its settings unusable

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
