//! The entries held, from where the state was last made whole.

use crate::words::{Configuration, Entry, EntryPayload, LogPosition};
use std::collections::VecDeque;

#[derive(Clone, Debug, Default)]
pub struct Log {
    /// All up to here is in the state.
    base: LogPosition,
    base_members: Configuration,
    state: Vec<u8>,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn of(base: LogPosition, members: Configuration, state: Vec<u8>) -> Self {
        Self {
            base,
            base_members: members,
            state,
            entries: VecDeque::new(),
        }
    }

    pub fn base(&self) -> LogPosition {
        self.base
    }

    pub fn base_members(&self) -> &Configuration {
        &self.base_members
    }

    pub fn state(&self) -> &[u8] {
        &self.state
    }

    pub fn last(&self) -> LogPosition {
        let index = self.base.index + self.entries.len() as u64;
        LogPosition {
            index,
            term: self
                .entries
                .back()
                .map_or(self.base.term, |entry| entry.term),
        }
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries
            .get(index.checked_sub(self.base.index + 1)? as usize)
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push_back(entry);
        self.last().index
    }

    /// Takes away all from here on.
    pub fn cut(&mut self, from: u64) {
        self.entries
            .truncate(from.saturating_sub(self.base.index + 1) as usize);
    }

    /// Who has a vote, by the last entry that says so, and that entry's index.
    pub fn members(&self) -> (u64, &Configuration) {
        let said = self
            .entries
            .iter()
            .enumerate()
            .rev()
            .find_map(|(place, entry)| match &entry.payload {
                EntryPayload::Configuration(members) => {
                    Some((self.base.index + 1 + place as u64, members))
                }
                _ => None,
            });
        said.unwrap_or((self.base.index, &self.base_members))
    }

    /// The state is whole up to here: entries up to it are not needed any more.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) -> bool {
        let Some(term) = self.term_at(index).filter(|_| index > self.base.index) else {
            return false;
        };
        let mut rest = self.entries.split_off((index - self.base.index) as usize);
        std::mem::swap(&mut self.entries, &mut rest);
        let said = rest.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Configuration(members) => Some(members.clone()),
            _ => None,
        });
        if let Some(members) = said {
            self.base_members = members;
        }
        (self.base, self.state) = (LogPosition { index, term }, state);
        true
    }

    /// Entries from here on, of so many bytes together, at least one.
    pub fn some_from(&self, index: u64, bytes: usize, upto: u64) -> Vec<Entry> {
        let (mut some, mut size, mut at) = (Vec::new(), 0, index);
        while let Some(entry) = self.get(at).filter(|_| at <= upto) {
            size += entry.size();
            if size > bytes && !some.is_empty() {
                break;
            }
            some.push(entry.clone());
            at += 1;
        }
        some
    }
}
