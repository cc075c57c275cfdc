//! The state file: the endpoint list as last received, the only state that a sidecar keeps across restarts. The file is
//! always replaced as a whole.

use crate::endpoint_list::EndpointRecord;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Version of the file format.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StateFile {
    version: u32,
    #[serde(rename = "pods")]
    endpoints: Vec<EndpointRecord>,
}

/// The reason why the state file cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Reading the file failed.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        cause: io::Error,
    },
    /// The file is not a valid state file.
    #[error("{}: {cause}", path.display())]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The error of the JSON parser.
        cause: serde_json::Error,
    },
    /// The file has another format version.
    #[error("{}: expected version {VERSION}, found {version}", path.display())]
    Version {
        /// The path of the file.
        path: PathBuf,
        /// The version found in the file.
        version: u32,
    },
}

/// Atomically replaces the file with one that holds these endpoints, and syncs it to disk.
///
/// # Errors
/// Fails if the folder cannot be written; the old file stays unchanged.
pub fn save(path: &Path, endpoints: &[EndpointRecord]) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let content = StateFile {
        version: VERSION,
        endpoints: endpoints.to_vec(),
    };
    let mut new_file = tempfile::NamedTempFile::new_in(folder)?;
    serde_json::to_writer(&mut new_file, &content)?;
    new_file.flush()?;
    new_file.as_file().sync_data()?;
    new_file.persist(path).map_err(|failed| failed.error)?;
    Ok(())
}

/// Loads the endpoints that were saved last; `None` if there is no file.
///
/// # Errors
/// Fails if the file cannot be read, or has another format or version.
pub fn load(path: &Path) -> Result<Option<Vec<EndpointRecord>>, LoadError> {
    let owned_path = || path.to_owned();
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(cause) => {
            let path = owned_path();
            return Err(LoadError::Read { path, cause });
        }
    };
    let content: StateFile =
        serde_json::from_slice(&text).map_err(|cause| LoadError::Malformed {
            path: owned_path(),
            cause,
        })?;
    if content.version != VERSION {
        return Err(LoadError::Version {
            path: owned_path(),
            version: content.version,
        });
    }
    Ok(Some(content.endpoints))
}
