//! The file with the keys that authenticate datagrams. It is read at startup and again on SIGHUP.

use limewing_membership::{ConfigError, Key, Membership};
use limewing_settings::{self as settings, ConfigFileError};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why new keys are rejected.
#[derive(Debug, Error)]
enum ReloadError {
    /// The file cannot be read.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// Membership rejected the keys.
    #[error(transparent)]
    Keys(#[from] ConfigError),
}

/// The key file, and the IDs of the keys in use.
pub(super) struct KeyFile {
    path: PathBuf,
    ids: Vec<u8>,
    failed_reloads: u64,
}

impl KeyFile {
    /// Reads the file. Returns the key file and its keys.
    ///
    /// # Errors
    /// The file cannot be read.
    pub(super) fn open(path: &Path) -> Result<(Self, Vec<Key>), ConfigFileError> {
        let keys = read(path)?;
        let key_file = Self {
            path: path.to_owned(),
            ids: ids(&keys),
            failed_reloads: 0,
        };
        Ok((key_file, keys))
    }

    /// IDs of the keys in use, starting with the one that outgoing datagrams are sealed with.
    pub(super) fn ids(&self) -> &[u8] {
        &self.ids
    }

    /// Number of failed reloads since startup.
    pub(super) fn failed_reloads(&self) -> u64 {
        self.failed_reloads
    }

    /// Reads the file again and replaces the keys. On an error, the old keys stay in use.
    pub(super) fn reload(&mut self, membership: &mut Membership) {
        match self.replace_keys(membership) {
            Ok(()) => tracing::info!("membership keys reloaded"),
            Err(error) => {
                tracing::warn!(%error, "cannot reload the membership keys; the old ones stay");
                self.failed_reloads += 1;
            }
        }
    }

    fn replace_keys(&mut self, membership: &mut Membership) -> Result<(), ReloadError> {
        let keys = read(&self.path)?;
        let ids = ids(&keys);
        membership.replace_keys(keys)?;
        self.ids = ids;
        Ok(())
    }
}

fn ids(keys: &[Key]) -> Vec<u8> {
    keys.iter().map(|key| key.id).collect()
}

fn read(path: &Path) -> Result<Vec<Key>, ConfigFileError> {
    let file: settings::KeyFile = settings::read(path)?;
    let to_key = |key: &settings::FleetKey| Key {
        id: key.id,
        secret: key.bytes().unwrap_or_default(),
    };
    Ok(file.keys.iter().map(to_key).collect())
}
