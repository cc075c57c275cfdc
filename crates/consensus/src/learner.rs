//! A non-voting node without a disk. It starts with an empty state and polls one voter at a time
//! for committed entries.

use crate::message::{Message, Packet};
use crate::node::Committed;
use crate::types::{Entry, EntryPayload, LogPosition, Members, NodeId, MAX_SNAPSHOT_BYTES};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Number of poll intervals without an answer after which a learner polls the next voter.
const FAILOVER_AFTER_POLLS: u32 = 4;

/// A snapshot that is being received.
#[derive(Default)]
struct IncomingSnapshot {
    /// Index of the last entry included in the snapshot; 0 means no snapshot.
    last_index: u64,
    data: Vec<u8>,
}

/// A learner of a group. It applies committed entries and takes no part in elections or commitment.
pub struct Learner {
    id: NodeId,
    /// The voters named in the settings.
    configured_voters: Vec<String>,
    /// All voters that can be polled, from the settings and the log, sorted by name.
    voters: Vec<String>,
    /// Index in `voters` of the voter being polled.
    polled_voter: usize,
    poll_interval: Duration,
    next_poll: Duration,
    last_heard: Duration,
    /// The group that the learner follows; 0 until the first answer.
    group: u64,
    applied_index: u64,
    incoming_snapshot: IncomingSnapshot,
    committed: VecDeque<Committed>,
    outbox: VecDeque<(String, Packet)>,
}

impl Learner {
    /// Creates a learner that initially polls `voters` every `poll_interval`. Its incarnation is a
    /// random number.
    pub fn new(
        now: Duration,
        id: NodeId,
        mut voters: Vec<String>,
        poll_interval: Duration,
    ) -> Self {
        voters.sort();
        // The random incarnation spreads learners over the voters.
        let polled_voter = id.incarnation as usize % voters.len().max(1);
        Self {
            id,
            configured_voters: voters.clone(),
            voters,
            polled_voter,
            poll_interval,
            next_poll: now,
            last_heard: now,
            group: 0,
            applied_index: 0,
            incoming_snapshot: IncomingSnapshot::default(),
            committed: VecDeque::new(),
            outbox: VecDeque::new(),
        }
    }

    /// Returns the latest time at which [`Learner::tick`] has to be called.
    pub fn next_deadline(&self) -> Duration {
        self.next_poll
    }

    /// Returns the time of the last usable answer, which bounds the age of the learner's state.
    pub fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// Returns the index of the last committed entry that was handed to the host.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the names of all nodes known to be able to lead.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Polls a voter if a poll is due.
    pub fn tick(&mut self, now: Duration) {
        if now < self.next_poll {
            return;
        }
        if now >= self.last_heard + self.poll_interval * FAILOVER_AFTER_POLLS {
            self.polled_voter = (self.polled_voter + 1) % self.voters.len().max(1);
        }
        self.next_poll = now + self.poll_interval;
        self.poll();
    }

    /// Handles a packet from a voter. The host has to verify that the packet was sent by the node
    /// that it names.
    pub fn receive(&mut self, now: Duration, packet: Packet) {
        let is_from_voter = self.voters.contains(&packet.from.name) && packet.group != 0;
        let is_for_this_node =
            packet.to_incarnation == 0 || packet.to_incarnation == self.id.incarnation;
        if !is_from_voter || !is_for_this_node {
            return;
        }
        if self.group == 0 {
            self.group = packet.group;
        }
        // An operator who creates a new group has to restart the learners.
        if packet.group != self.group {
            return;
        }
        match packet.message {
            Message::LearnerEntries {
                first_index,
                entries,
                ..
            } if first_index <= self.applied_index + 1 => {
                self.last_heard = now;
                self.apply_entries(first_index, entries);
            }
            Message::LearnerSnapshot {
                last_index,
                offset,
                total_length,
                data,
                members,
            } if last_index > self.applied_index => {
                self.last_heard = now;
                let total_length = total_length as usize;
                self.receive_chunk(last_index, offset as usize, &data, total_length);
                self.install_if_complete(total_length, &members);
                self.poll();
            }
            _ => {}
        }
    }

    /// Returns the next packet to send and the name of its recipient.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop_front()
    }

    /// Returns the next committed command or snapshot, in log order.
    pub fn take_committed(&mut self) -> Option<Committed> {
        self.committed.pop_front()
    }

    fn poll(&mut self) {
        let Some(voter) = self.voters.get(self.polled_voter) else {
            return;
        };
        let message = Message::LearnerRequest {
            next_index: self.applied_index + 1,
            snapshot_index: self.incoming_snapshot.last_index,
            snapshot_offset: self.incoming_snapshot.data.len() as u32,
        };
        let packet = Packet {
            group: self.group,
            from: self.id.clone(),
            to_incarnation: 0,
            term: 0,
            message,
        };
        self.outbox.push_back((voter.clone(), packet));
    }

    /// Applies the entries that the learner is missing. If there were any, it polls for more at
    /// once.
    fn apply_entries(&mut self, first_index: u64, entries: Vec<Entry>) {
        let known_entries = (self.applied_index + 1 - first_index) as usize;
        let has_new_entries = entries.len() > known_entries;
        for entry in entries.into_iter().skip(known_entries) {
            self.apply(entry);
        }
        if has_new_entries {
            self.poll();
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied_index += 1;
        match entry.payload {
            EntryPayload::Command(command) => {
                let position = LogPosition {
                    index: self.applied_index,
                    term: entry.term,
                };
                self.committed
                    .push_back(Committed::Command { position, command });
            }
            EntryPayload::Configuration(configuration) => self.update_voters(&configuration.voters),
            EntryPayload::Noop => {}
        }
    }

    fn receive_chunk(&mut self, last_index: u64, offset: usize, data: &[u8], total_length: usize) {
        if last_index != self.incoming_snapshot.last_index {
            self.incoming_snapshot = IncomingSnapshot {
                last_index,
                data: Vec::new(),
            };
        }
        let snapshot = &mut self.incoming_snapshot;
        if offset == snapshot.data.len() && total_length <= MAX_SNAPSHOT_BYTES {
            snapshot.data.extend_from_slice(data);
        }
    }

    fn install_if_complete(&mut self, total_length: usize, members: &Members) {
        if self.incoming_snapshot.data.len() < total_length {
            return;
        }
        let snapshot = std::mem::take(&mut self.incoming_snapshot);
        self.applied_index = snapshot.last_index;
        self.update_voters(members);
        self.committed.push_back(Committed::Snapshot {
            last_index: snapshot.last_index,
            state: snapshot.data,
        });
    }

    /// Sets the voters to poll: the given members plus those in the settings, because entries that
    /// the learner reads may be old. Polling continues with the current voter if it is still in the
    /// list.
    fn update_voters(&mut self, members: &Members) {
        let polled_name = self.voters.get(self.polled_voter).cloned();
        let configured = self.configured_voters.iter();
        let names: BTreeSet<&String> = configured
            .chain(members.iter().map(|id| &id.name))
            .filter(|name| **name != self.id.name)
            .collect();
        let voters: Vec<String> = names.into_iter().cloned().collect();
        let position = polled_name.and_then(|name| voters.binary_search(&name).ok());
        self.polled_voter = position.unwrap_or(0);
        self.voters = voters;
    }
}
