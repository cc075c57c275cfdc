//! The state file: the endpoint list as last received, all that outlives a sidecar. It is replaced as a whole.

use crate::endpoint_list::EndpointRecord;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Version of the file's format.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct StateFile {
    version: u32,
    #[serde(rename = "pods")]
    endpoints: Vec<EndpointRecord>,
}

/// Why the state file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The system refuses to read it.
    #[error("{}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// It is no state file.
    #[error("{}: {cause}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the JSON parser says.
        cause: serde_json::Error,
    },
    /// Another version wrote it.
    #[error("{}: expected version {VERSION}, found {version}", path.display())]
    Version {
        /// The file.
        path: PathBuf,
        /// Its version.
        version: u32,
    },
}

/// Replaces the file by one with these endpoints, synced to disk.
///
/// # Errors
/// The folder can't be written; the old file stays as it was.
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
    new_file.persist(path).map_err(|refused| refused.error)?;
    Ok(())
}

/// Reads the endpoints saved last; `None` if there is no file.
///
/// # Errors
/// The file can't be read, or is not of this format and version.
pub fn load(path: &Path) -> Result<Option<Vec<EndpointRecord>>, LoadError> {
    let path_of_error = || path.to_owned();
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(cause) => {
            let path = path_of_error();
            return Err(LoadError::Read { path, cause });
        }
    };
    let content: StateFile =
        serde_json::from_slice(&text).map_err(|cause| LoadError::Malformed {
            path: path_of_error(),
            cause,
        })?;
    if content.version != VERSION {
        return Err(LoadError::Version {
            path: path_of_error(),
            version: content.version,
        });
    }
    Ok(Some(content.endpoints))
}
