//! State published by each member. The newest version of each member's state is gossiped along with
//! the status updates.

use crate::broadcast_queue::BroadcastQueue;
use crate::packet::{Broadcast, PublishedState};
use crate::status::{MemberName, StatusUpdate};
use std::collections::BTreeMap;
use std::time::Duration;

struct ReceivedState {
    state: PublishedState,
    received_at: Duration,
}

/// The newest published state of this member and of each active one.
#[derive(Default)]
pub(crate) struct PublishedStates {
    newest: BTreeMap<MemberName, ReceivedState>,
    /// States with remaining retransmits.
    pub(crate) queue: BroadcastQueue<PublishedState>,
}

impl PublishedStates {
    /// Publishes this member's own state, replacing the previous one.
    pub(crate) fn publish(&mut self, now: Duration, local: &StatusUpdate, bytes: Vec<u8>) {
        let version = self
            .newest
            .get(&local.name)
            .map_or(0, |before| before.state.version.wrapping_add(1));
        self.replace(
            now,
            PublishedState {
                name: local.name.clone(),
                started_at_ms: local.started_at_ms,
                version,
                bytes,
            },
        );
    }

    /// Stores another member's state if it is newer than the known one.
    pub(crate) fn apply(&mut self, now: Duration, state: PublishedState) {
        let is_newer = self.newest.get(&state.name).is_none_or(|known| {
            (known.state.started_at_ms, known.state.version) < (state.started_at_ms, state.version)
        });
        if is_newer {
            self.replace(now, state);
        }
    }

    fn replace(&mut self, now: Duration, state: PublishedState) {
        self.queue.enqueue(state.clone());
        let name = state.name.clone();
        self.newest.insert(
            name,
            ReceivedState {
                state,
                received_at: now,
            },
        );
    }

    /// Returns the newest state of a member, and when it was received.
    pub(crate) fn get(&self, name: &MemberName) -> Option<(&PublishedState, Duration)> {
        let received = self.newest.get(name)?;
        Some((&received.state, received.received_at))
    }

    /// Returns an upper bound of the bytes that the member's state takes in a packet, 0 if it has
    /// none.
    pub(crate) fn max_encoded_bytes(&self, name: &MemberName) -> usize {
        self.newest
            .get(name)
            .map_or(0, |received| received.state.max_encoded_bytes())
    }

    /// Returns the states of the updated members, as far as they fit into `room` bytes.
    pub(crate) fn select_fitting(
        &self,
        updates: &[StatusUpdate],
        mut room: usize,
    ) -> Vec<PublishedState> {
        let mut fitting = Vec::new();
        for update in updates {
            let Some(received) = self.newest.get(&update.name) else {
                continue;
            };
            let size = received.state.max_encoded_bytes();
            if size <= room {
                room -= size;
                fitting.push(received.state.clone());
            }
        }
        fitting
    }

    /// Keeps only the states of members for which `is_retained` returns true.
    pub(crate) fn retain(&mut self, is_retained: impl Fn(&MemberName) -> bool) {
        self.newest.retain(|name, _| is_retained(name));
    }
}
