//! The configuration file of a sidecar: its name, addresses, limits, settings and initial state.

use crate::endpoint_listing::EndpointListing;
use crate::stage_updates::RolloutState;
use crate::timeouts::ENDPOINT_LEASE;
use limewing_decision::interface::SidecarConfig;
use limewing_simulator_protocol::{
    sidecar_config, socket_settings, SocketSettings, StartSettingsError,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Bytes per megabyte, the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Why a configuration is invalid, and what was expected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not JSON of the expected form; the message gives the line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed {found:?}: expected up to 16 hexadecimal digits")]
    Seed {
        /// The value in the file.
        found: String,
    },
    /// The settings are invalid; the message names the setting and the expected value.
    #[error("settings: {0}")]
    Settings(#[from] StartSettingsError),
    /// A request class has no name, which is required for serving sockets.
    #[error("settings: a class has no name")]
    UnnamedClass,
}

/// An invalid configuration file.
#[derive(Debug, Error)]
#[error("{file}: {error}")]
pub struct ConfigFileError {
    file: String,
    error: ConfigError,
}

#[derive(Debug, Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    rollouts: Option<Rollouts>,
    #[serde(default, rename = "known")]
    cached_endpoints: Option<EndpointListing>,
    settings: Box<RawValue>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Limits {
    memory_mb: Option<f64>,
    #[serde(rename = "sockets")]
    descriptors: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct Rollouts {
    address: SocketAddr,
    #[serde(default, rename = "news")]
    state: Option<RolloutState>,
}

/// Addresses of the platform's services, the only values that a new configuration may change while
/// a sidecar is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Discovery, which lists the pods.
    pub discovery: SocketAddr,
    /// The rollout service, if there is one.
    pub rollouts: Option<SocketAddr>,
}

/// A parsed configuration.
#[derive(Debug)]
pub struct ProxyConfig {
    /// The name of the sidecar.
    pub name: String,
    /// The address on which clients are served.
    pub listen: SocketAddr,
    /// The addresses of the platform's services.
    pub services: ServiceAddresses,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Maximum size of the address space in bytes, if configured.
    pub max_memory: Option<usize>,
    /// Maximum number of file descriptors, if configured.
    pub max_descriptors: Option<usize>,
    /// The state of the newest build's rollout, if known.
    pub rollout_state: Option<RolloutState>,
    /// The list of pods, if known.
    pub cached_endpoints: Option<EndpointListing>,
    /// The settings of the decision engine.
    pub engine: SidecarConfig,
    /// The settings of this proxy, and the names that the decision engine represents by numbers.
    pub sockets: SocketSettings,
    /// Hash of the text of the settings, including whitespace, used to detect changes.
    pub settings_hash: u64,
}

/// Reads a configuration file.
///
/// # Errors
/// Returns an error if the file cannot be read or is invalid. Its text says in one line what is
/// wrong, where, and what was expected.
pub fn read(file: &Path) -> Result<ProxyConfig, ConfigFileError> {
    let read = || parse(&std::fs::read(file)?);
    read().map_err(|error| ConfigFileError {
        file: file.display().to_string(),
        error,
    })
}

/// Parses the text of a configuration.
///
/// # Errors
/// Returns an error if the text is invalid, as [`read`] does.
pub fn parse(text: &[u8]) -> Result<ProxyConfig, ConfigError> {
    let file: File = serde_json::from_slice(text)?;
    let seed = parse_seed(&file.seed)?;
    let settings = file.settings.get().as_bytes();
    let engine = parse_engine(seed, settings)?;
    let sockets = parse_sockets(settings)?;
    let max_memory = file
        .limits
        .memory_mb
        .filter(|megabytes| megabytes.is_finite() && *megabytes > 0.0)
        .map(|megabytes| (megabytes * BYTES_PER_MB) as usize);
    let services = ServiceAddresses {
        discovery: file.discovery,
        rollouts: file.rollouts.as_ref().map(|rollouts| rollouts.address),
    };
    Ok(ProxyConfig {
        name: file.name,
        listen: file.listen,
        services,
        seed,
        max_memory,
        max_descriptors: file.limits.descriptors,
        rollout_state: file.rollouts.and_then(|rollouts| rollouts.state),
        cached_endpoints: file.cached_endpoints,
        engine,
        sockets,
        settings_hash: hash(settings),
    })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::Seed {
        found: text.to_owned(),
    })
}

fn parse_engine(seed: u64, settings: &[u8]) -> Result<SidecarConfig, ConfigError> {
    let mut engine = sidecar_config(seed, settings)?;
    // On sockets, a list is only received through a watch.
    engine.watch_on_request = true;
    engine.endpoint_lease = Some(ENDPOINT_LEASE);
    Ok(engine)
}

fn parse_sockets(settings: &[u8]) -> Result<SocketSettings, ConfigError> {
    let sockets = socket_settings(settings)?;
    if sockets.classes.iter().any(String::is_empty) {
        return Err(ConfigError::UnnamedClass);
    }
    Ok(sockets)
}

fn hash(settings: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.hash(&mut hasher);
    hasher.finish()
}
