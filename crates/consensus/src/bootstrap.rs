//! How a new group is made.
//!
//! The voter whose name sorts first makes the group, once every voter that its settings name has answered this process that
//! it has joined none. So voters that lost their disks never make a second group while any of them remembers the first. If a
//! majority has lost its disks, committed entries may be lost, and an operator has to decide.

use crate::types::{Members, NodeId};
use std::collections::BTreeMap;

/// Bits of a voters' checksum that hold their number.
const COUNT_BITS: u32 = 8;

/// Who has answered that it has joined no group.
#[derive(Clone, Debug)]
pub(crate) struct Bootstrap {
    /// Only answers with this nonce count: older answers may be out of date.
    pub(crate) nonce: u64,
    /// Incarnation by name.
    unjoined: BTreeMap<String, u64>,
}

/// A checksum of the voters in the settings: nodes whose settings differ make no group with each other.
pub(crate) fn voters_checksum(names: &[String]) -> u64 {
    let mut sorted = names.to_vec();
    sorted.sort();
    let text = sorted.join("\n");
    u64::from(crc32fast::hash(text.as_bytes())) << COUNT_BITS | sorted.len() as u64
}

impl Bootstrap {
    pub(crate) fn new(nonce: u64) -> Self {
        Self {
            nonce,
            unjoined: BTreeMap::new(),
        }
    }

    /// A node has answered that it has joined no group.
    pub(crate) fn record_unjoined(&mut self, id: &NodeId) {
        self.unjoined.insert(id.name.clone(), id.incarnation);
    }

    /// A group exists: none is to be made.
    pub(crate) fn abandon(&mut self) {
        self.unjoined.clear();
    }

    /// The voters of the new group, if this node `id` is the one to make it and all voters have answered.
    pub(crate) fn initial_members(&self, id: &NodeId, voter_names: &[String]) -> Option<Members> {
        if voter_names.iter().min() != Some(&id.name) {
            return None;
        }
        let mut members = Members::new();
        for name in voter_names {
            let incarnation = if *name == id.name {
                id.incarnation
            } else {
                *self.unjoined.get(name)?
            };
            members.insert(NodeId {
                name: name.clone(),
                incarnation,
            });
        }
        Some(members)
    }
}
