//! What operators write for a sidecar: read from JSON, checked, and turned into the decision engine's configuration.
//!
//! Names in `rename` and `expecting` attributes are those of the files, of their schemas and of the errors that name a type;
//! doc comments of fields are the descriptions in the schemas, where no `description` attribute says otherwise.
//!
//! - [`sidecar`]: all settings of one sidecar, made of the parts in [`fleet`], [`headers`], [`limits`], [`maintenance`],
//!   [`peers`], [`request_class`], [`rollout`], [`safety_limits`], [`services`] and [`tenant`]
//! - [`work_list`]: which machines go out for work
//! - [`key_file`]: the keys that sidecars share
//! - [`read`](mod@read): reads a file of any of these
//! - [`error`]: what is wrong with a file, and where
//! - [`router`]: finds the request class of a method and path
//! - [`seconds`]: spans of time

pub mod error;
pub mod fleet;
pub mod headers;
pub mod key_file;
pub mod limits;
mod location;
pub mod maintenance;
pub mod peers;
pub mod read;
pub mod request_class;
pub mod rollout;
pub mod router;
pub mod safety_limits;
pub mod seconds;
pub mod services;
pub mod sidecar;
mod sidecar_config;
pub mod tenant;
mod validation;
pub mod work_list;

pub use error::{Checked, ConfigError, ConfigFileError};
pub use fleet::Fleet;
pub use headers::Headers;
pub use key_file::{FleetKey, KeyFile};
pub use limits::Limits;
pub use maintenance::MaintenanceSettings;
pub use peers::PeerSettings;
pub use read::{findings, read, read_text};
pub use request_class::{DeduplicationScope, Idempotency, RequestClass, Route};
pub use rollout::{Control, RolloutSettings, RolloutStage};
pub use router::Router;
pub use safety_limits::SafetyLimits;
pub use seconds::{Seconds, SecondsOutOfRange};
pub use services::{EndpointListService, RolloutService};
pub use sidecar::SidecarSettings;
pub use tenant::Tenant;
pub use work_list::{MachineSelector, WorkLimits, WorkList, WorkWindow};
