//! The in-memory log: the latest snapshot and the entries after it (the paper, 5.3 and 7).

use crate::types::{Configuration, Entry, EntryPayload, LogPosition};
use std::collections::VecDeque;

/// A snapshot and the contiguous entries that follow it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// Position of the last entry included in the snapshot.
    snapshot_position: LogPosition,
    /// The configuration as of that entry.
    snapshot_configuration: Configuration,
    snapshot_data: Vec<u8>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log that consists of a snapshot and has no entries.
    pub(crate) fn from_snapshot(
        position: LogPosition,
        configuration: Configuration,
        data: Vec<u8>,
    ) -> Self {
        Self {
            snapshot_position: position,
            snapshot_configuration: configuration,
            snapshot_data: data,
            entries: VecDeque::new(),
        }
    }

    /// Creates the log of a new group: no entries, with the initial voters as its configuration.
    pub(crate) fn new(configuration: Configuration) -> Self {
        Self::from_snapshot(LogPosition::default(), configuration, Vec::new())
    }

    pub(crate) fn snapshot_position(&self) -> LogPosition {
        self.snapshot_position
    }

    pub(crate) fn snapshot_configuration(&self) -> &Configuration {
        &self.snapshot_configuration
    }

    pub(crate) fn snapshot_data(&self) -> &[u8] {
        &self.snapshot_data
    }

    /// Returns at most `max_bytes` of the snapshot, starting at `offset`; empty past its end.
    pub(crate) fn snapshot_chunk(&self, offset: usize, max_bytes: usize) -> Vec<u8> {
        let end = (offset + max_bytes).min(self.snapshot_data.len());
        let chunk = self.snapshot_data.get(offset..end);
        chunk.unwrap_or_default().to_vec()
    }

    /// Returns the position of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        let last_entry = self.entries.back();
        LogPosition {
            index: self.snapshot_position.index + self.entries.len() as u64,
            term: last_entry.map_or(self.snapshot_position.term, |entry| entry.term),
        }
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_position.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term of the entry at `index`, which may also be the last entry included in the
    /// snapshot.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_position.index {
            return Some(self.snapshot_position.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Appends an entry and returns its index.
    pub(crate) fn append(&mut self, entry: Entry) -> u64 {
        self.entries.push_back(entry);
        self.last_position().index
    }

    /// Removes the entry at `index` and all entries after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.snapshot_position.index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Returns the configuration in force, which is the last one in the log, and the index of its
    /// entry.
    pub(crate) fn configuration(&self) -> (u64, &Configuration) {
        let first_index = self.snapshot_position.index + 1;
        for (offset, entry) in self.entries.iter().enumerate().rev() {
            if let EntryPayload::Configuration(configuration) = &entry.payload {
                return (first_index + offset as u64, configuration);
            }
        }
        (self.snapshot_position.index, &self.snapshot_configuration)
    }

    /// Replaces the entries up to `index` by a snapshot. Returns false and changes nothing if the
    /// log has no such entry after its current snapshot.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> bool {
        let old_index = self.snapshot_position.index;
        let Some(term) = self.term_at(index).filter(|_| index > old_index) else {
            return false;
        };
        let remaining = self.entries.split_off((index - old_index) as usize);
        let included = std::mem::replace(&mut self.entries, remaining);
        for entry in included {
            if let EntryPayload::Configuration(configuration) = entry.payload {
                self.snapshot_configuration = configuration;
            }
        }
        self.snapshot_position = LogPosition { index, term };
        self.snapshot_data = data;
        true
    }

    /// Installs a snapshot that ends at `last`. If the log contains that entry, the entries after
    /// it are kept and the result is true; otherwise the snapshot replaces the whole log (the
    /// paper, 7).
    pub(crate) fn install_snapshot(
        &mut self,
        last: LogPosition,
        configuration: &Configuration,
        data: &[u8],
    ) -> bool {
        let has_entry = self.term_at(last.index) == Some(last.term);
        if has_entry && self.compact(last.index, data.to_vec()) {
            return true;
        }
        *self = Self::from_snapshot(last, configuration.clone(), data.to_vec());
        false
    }

    /// Returns the entries from `index` to `last_index` that fit into `max_bytes`, and at least one
    /// if there is one.
    pub(crate) fn entries_from(&self, index: u64, last_index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for index in index..=last_index {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += entry.max_encoded_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
