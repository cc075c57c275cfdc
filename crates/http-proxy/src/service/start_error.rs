//! Why a sidecar can't start.

use limewing_settings::{ConfigError, ConfigFileError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a sidecar can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for clients can't be used.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// The system refuses what the event loop, or a thread beside it, needs.
    #[error("the system gives no poll or signals: {0}")]
    System(#[from] io::Error),
    /// A setting can't be used.
    #[error("at {}: {}", .0.path, .0.expected)]
    Settings(ConfigError),
    /// The address for datagrams of other sidecars can't be used.
    #[error("can't take datagrams at {address}: {error}")]
    Datagrams {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// The fleet's keys can't be used.
    #[error("at /peers/key_file: {0}")]
    Keys(ConfigFileError),
    /// The folder of the vote log can't be used.
    #[error("at /work/folder: {0}")]
    Work(io::Error),
    /// The membership can't be started with these settings.
    #[error("at /peers: {0}")]
    Membership(limewing_membership::ConfigError),
}
