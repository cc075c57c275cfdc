//! What the platform tells a sidecar in a file: names of files and sockets, limits, the settings, and what is
//! known at the start.

use crate::bounds;
use crate::listing::Listing;
use crate::news::State;
use limewing_decision::interface::SidecarConfig;
use limewing_simulator_protocol::SocketTerms;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

#[derive(Debug, Error)]
#[error("{file}: {what}")]
pub struct Unusable {
    file: String,
    what: String,
}

#[derive(Debug, Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    rollouts: Option<RolloutsPart>,
    #[serde(default)]
    known: Option<Listing>,
    settings: Box<RawValue>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Limits {
    memory_mb: Option<f64>,
    sockets: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct RolloutsPart {
    address: SocketAddr,
    #[serde(default)]
    news: Option<State>,
}

/// Where the platform's services are: all that a new configuration may change while a sidecar runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    pub discovery: SocketAddr,
    pub rollouts: Option<SocketAddr>,
}

#[derive(Debug)]
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub places: Places,
    pub seed: u64,
    /// Bytes of memory and descriptors, where they are limited.
    pub memory: Option<usize>,
    pub descriptors: Option<usize>,
    pub news: Option<State>,
    pub known: Option<Listing>,
    pub terms: SidecarConfig,
    pub sockets: SocketTerms,
    /// Tells the settings from others; spaces count.
    pub mark: u64,
}

/// # Errors
/// The file can't be read or used, told in one line: what, where and what was expected.
pub fn read(file: &Path) -> Result<Told, Unusable> {
    let unusable = |what: String| Unusable {
        file: file.display().to_string(),
        what,
    };
    let text = std::fs::read(file).map_err(|e| unusable(e.to_string()))?;
    understand(&text).map_err(unusable)
}

/// # Errors
/// As `read`.
pub fn understand(text: &[u8]) -> Result<Told, String> {
    let told: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&told.seed, 16)
        .map_err(|_| format!("seed {:?}: expected up to 16 hexadecimal digits", told.seed))?;
    let settings = told.settings.get().as_bytes();
    let mut hasher = DefaultHasher::new();
    settings.hash(&mut hasher);
    let mut terms = limewing_simulator_protocol::start_terms(seed, settings)
        .map_err(|e| format!("settings: {e}"))?;
    // On sockets a list comes by no other way than a watch.
    terms.watch_on_request = true;
    terms.endpoint_lease = Some(bounds::LIST_LEASE);
    let sockets = limewing_simulator_protocol::socket_terms(settings)
        .map_err(|e| format!("settings: {e}"))?;
    if sockets.groups.iter().any(String::is_empty) {
        return Err("settings: a class has no name".into());
    }
    let memory = told
        .limits
        .memory_mb
        .filter(|mb| mb.is_finite() && *mb > 0.0);
    let places = Places {
        discovery: told.discovery,
        rollouts: told.rollouts.as_ref().map(|part| part.address),
    };
    Ok(Told {
        name: told.name,
        listen: told.listen,
        places,
        seed,
        memory: memory.map(|mb| (mb * 1024.0 * 1024.0) as usize),
        descriptors: told.limits.sockets,
        news: told.rollouts.and_then(|part| part.news),
        known: told.known,
        terms,
        sockets,
        mark: hasher.finish(),
    })
}
