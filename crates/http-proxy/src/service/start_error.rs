//! Startup errors.

use limewing_settings::{ConfigError, ConfigFileError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a sidecar failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listen address for clients cannot be used.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The operating system denied a resource of the event loop or of a background thread.
    #[error("cannot acquire system resources: {0}")]
    System(#[from] io::Error),
    /// A setting is invalid.
    #[error("at {}: {}", .0.path, .0.expected)]
    Settings(ConfigError),
    /// The listen address for datagrams of other sidecars cannot be used.
    #[error("can't receive datagrams on {address}: {error}")]
    Datagrams {
        /// The listen address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file with the fleet's keys cannot be used.
    #[error("at /peers/key_file: {0}")]
    Keys(ConfigFileError),
    /// The directory of the vote log cannot be used.
    #[error("at /work/folder: {0}")]
    Work(io::Error),
    /// Membership rejected its configuration.
    #[error("at /peers: {0}")]
    Membership(limewing_membership::ConfigError),
}
