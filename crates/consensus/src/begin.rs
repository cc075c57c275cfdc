//! How a group comes to be, and how a life that is in none finds the one there is.
//!
//! The voter whose name is first makes the group, once all that its settings name have answered it, in one go, that they
//! are in none: so sidecars that lost their disks never make a second one while any of them remembers the first. If a
//! majority has lost its disks what was settled may be lost, and nobody goes on by itself.

use crate::words::{Members, NodeId};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// Only answers to this number count: what an earlier life was asked is not ours.
    pub nonce: u64,
    free: BTreeMap<String, u64>,
}

/// The voters that the settings name, as one number: who does not name the same makes no group with us.
pub fn voters_mark(names: &[String]) -> u64 {
    let mut sorted: Vec<&String> = names.iter().collect();
    sorted.sort();
    let text = sorted
        .iter()
        .map(|name| name.as_str())
        .collect::<Vec<_>>()
        .join("\n");
    u64::from(crc32fast::hash(text.as_bytes())) << 8 | sorted.len() as u64
}

impl Bootstrap {
    pub fn new(nonce: u64) -> Self {
        Self {
            nonce,
            free: BTreeMap::new(),
        }
    }

    /// One is in no group.
    pub fn is_free(&mut self, id: &NodeId) {
        self.free.insert(id.name.clone(), id.incarnation);
    }

    /// One is in a group: there is one to be taken into.
    pub fn is_taken(&mut self) {
        self.free.clear();
    }

    /// Who makes up the group, if it can be made now, by this one.
    pub fn group(&self, me: &NodeId, names: &[String]) -> Option<Members> {
        let first = names.iter().min().is_some_and(|first| *first == me.name);
        let of = |name: &String| {
            let disk = if *name == me.name {
                Some(me.incarnation)
            } else {
                self.free.get(name).copied()
            };
            disk.map(|disk| NodeId {
                name: name.clone(),
                incarnation: disk,
            })
        };
        let all: Option<Members> = names.iter().map(of).collect();
        all.filter(|_| first)
    }
}
