//! Bootstrap of a new group.
//!
//! The voter with the lexicographically smallest name creates the group once every configured voter
//! has answered this process that it has not joined a group. Voters that lost their disks therefore
//! never create a second group while any of them still knows the first one. If a majority has lost
//! its disks, committed entries may be lost, and an operator has to decide how to proceed.

use crate::types::{Members, NodeId};
use std::collections::BTreeMap;

/// Number of low bits of a voters checksum that hold the number of voters.
const COUNT_BITS: u32 = 8;

/// The nodes that have answered that they have not joined a group.
#[derive(Clone, Debug)]
pub(crate) struct Bootstrap {
    /// Nonce of the current discovery request; answers with another nonce may be stale and are
    /// ignored.
    pub(crate) nonce: u64,
    /// Incarnations of the nodes without a group, by node name.
    unjoined: BTreeMap<String, u64>,
}

/// Returns a checksum of the configured voters. Nodes with different voter settings do not create a
/// group with each other.
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

    /// Records a node that has answered that it has not joined a group.
    pub(crate) fn record_unjoined(&mut self, id: &NodeId) {
        self.unjoined.insert(id.name.clone(), id.incarnation);
    }

    /// Discards all answers because a group already exists.
    pub(crate) fn abandon(&mut self) {
        self.unjoined.clear();
    }

    /// Returns the voters of the new group if the node `id` is responsible for creating it and all
    /// voters have answered.
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
