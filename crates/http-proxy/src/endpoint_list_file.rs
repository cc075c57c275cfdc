//! The state file: the node list as last held, all that outlives a sidecar. Written whole or not at all.

use crate::endpoint_list::EndpointRecord;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::Path;

#[derive(Serialize, Deserialize)]
struct StateFile {
    version: u32,
    pods: Vec<EndpointRecord>,
}

const VERSION: u32 = 1;

/// # Errors
/// The folder can't be written; the old file stays as it was.
pub fn save(file: &Path, rows: &[EndpointRecord]) -> io::Result<()> {
    let folder = file
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut fresh = tempfile::NamedTempFile::new_in(folder)?;
    serde_json::to_writer(
        &mut fresh,
        &StateFile {
            version: VERSION,
            pods: rows.to_vec(),
        },
    )?;
    fresh.flush()?;
    fresh.as_file().sync_data()?;
    fresh.persist(file).map_err(|e| e.error)?;
    Ok(())
}

/// The list kept last; none if there is no file.
///
/// # Errors
/// A file that can't be used, told in one line: the sidecar starts without it.
pub fn load(file: &Path) -> Result<Option<Vec<EndpointRecord>>, String> {
    let text = match std::fs::read(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read.map_err(|e| format!("{}: {e}", file.display()))?,
    };
    let kept: StateFile =
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    if kept.version != VERSION {
        return Err(format!(
            "{}: version {} is not {VERSION}",
            file.display(),
            kept.version
        ));
    }
    Ok(Some(kept.pods))
}
