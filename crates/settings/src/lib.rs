//! Settings files of a sidecar: reading from JSON, validation, and conversion into the decision engine's configuration.
//!
//! `rename` and `expecting` attributes hold the names used in the files, in their schemas and in errors that name a type.
//! Doc comments of types and fields become descriptions in the schemas unless a `description` attribute overrides them.
//!
//! - [`sidecar`]: all settings of one sidecar, composed of the parts in [`fleet`], [`headers`], [`limits`], [`maintenance`],
//!   [`peers`], [`request_class`], [`rollout`], [`safety_limits`], [`services`] and [`tenant`]
//! - [`work_list`]: which machines go out of service for maintenance
//! - [`key_file`]: the keys shared by the sidecars of a fleet
//! - [`read`](mod@read): reads and validates any of these files
//! - [`error`]: errors in a file, with their location
//! - [`router`]: maps a method and path to a request class
//! - [`seconds`]: durations in settings

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

pub use error::{ConfigError, ConfigFileError, ValidateConfig};
pub use fleet::Fleet;
pub use headers::Headers;
pub use key_file::{FleetKey, KeyFile};
pub use limits::Limits;
pub use maintenance::MaintenanceSettings;
pub use peers::PeerSettings;
pub use read::{config_file_errors, read, read_text};
pub use request_class::{DeduplicationScope, Idempotency, RequestClass, Route};
pub use rollout::{Control, RolloutSettings, RolloutStage};
pub use router::Router;
pub use safety_limits::SafetyLimits;
pub use seconds::{Seconds, SecondsOutOfRange};
pub use services::{EndpointListService, RolloutService};
pub use sidecar::SidecarSettings;
pub use tenant::Tenant;
pub use work_list::{MachineSelector, WorkLimits, WorkList, WorkWindow};
