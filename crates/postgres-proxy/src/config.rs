//! The file in which the platform gives a sidecar its name, addresses, limits and settings, and what is known at the
//! start.

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

/// Bytes of a megabyte in `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// What is wrong with a configuration, and what was expected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is no JSON of the expected form; says at which line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed {found:?}: expected up to 16 hexadecimal digits")]
    Seed {
        /// What it is.
        found: String,
    },
    /// The settings can't be used; says which one, and what was expected.
    #[error("settings: {0}")]
    Settings(#[from] StartSettingsError),
    /// A request class has no name, which on sockets it needs.
    #[error("settings: a class has no name")]
    UnnamedClass,
}

/// A configuration file that can't be used.
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

/// Where the platform's services are: all that a new configuration may change while a sidecar runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceAddresses {
    /// Discovery, which lists the pods.
    pub discovery: SocketAddr,
    /// The rollout service, if there is one.
    pub rollouts: Option<SocketAddr>,
}

/// A configuration.
#[derive(Debug)]
pub struct ProxyConfig {
    /// The sidecar's name.
    pub name: String,
    /// Where clients are served.
    pub listen: SocketAddr,
    /// Where the platform's services are.
    pub services: ServiceAddresses,
    /// The seed of all that is drawn by chance.
    pub seed: u64,
    /// Bound of the address space in bytes, if one is set.
    pub max_memory: Option<usize>,
    /// Bound of the file descriptors, if one is set.
    pub max_descriptors: Option<usize>,
    /// The state of the newest build's rollout, if it is known.
    pub rollout_state: Option<RolloutState>,
    /// The list of pods, if it is known.
    pub cached_endpoints: Option<EndpointListing>,
    /// The settings of the decision engine.
    pub engine: SidecarConfig,
    /// The settings of this proxy, and the names that the engine knows by number.
    pub sockets: SocketSettings,
    /// Hash of the settings' text, which distinguishes them from others; spaces count.
    pub settings_hash: u64,
}

/// Reads a configuration file.
///
/// # Errors
/// The file can't be read or used; the text says in one line what, where and what was expected.
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
/// As [`read`].
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
    // On sockets a list comes by no other way than a watch.
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
