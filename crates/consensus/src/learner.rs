//! A node without a vote and without a disk: it starts with nothing, and polls one voter after the other for what is committed.

use crate::message::{Message, Packet};
use crate::node::Committed;
use crate::types::{Entry, EntryPayload, LogPosition, Members, NodeId, MAX_SNAPSHOT_BYTES};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// A learner polls another voter when it has heard nothing for so many poll intervals.
const SILENT_POLLS: u32 = 4;

/// A snapshot that is being received.
#[derive(Default)]
struct IncomingSnapshot {
    /// The index of the last entry that it includes; 0 is none.
    last_index: u64,
    data: Vec<u8>,
}

/// A learner of a group: it applies what is committed, and takes no part in elections or commitment.
pub struct Learner {
    id: NodeId,
    /// The voters by the settings.
    configured_voters: Vec<String>,
    /// All nodes to poll, sorted: by the settings, and by the log.
    voters: Vec<String>,
    /// Index in `voters` of the one that it polls.
    polled_voter: usize,
    poll_interval: Duration,
    next_poll: Duration,
    last_heard: Duration,
    /// The group that it learns from; 0 until the first answer.
    group: u64,
    applied_index: u64,
    incoming_snapshot: IncomingSnapshot,
    committed: VecDeque<Committed>,
    outbox: VecDeque<(String, Packet)>,
}

impl Learner {
    /// A learner that polls the voters named `voters`, for now, every `poll_interval`. Its incarnation is a random number.
    pub fn new(
        now: Duration,
        id: NodeId,
        mut voters: Vec<String>,
        poll_interval: Duration,
    ) -> Self {
        voters.sort();
        // Learners spread over the voters by their random incarnation.
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

    /// When [`Learner::tick`] is due at the latest.
    pub fn next_deadline(&self) -> Duration {
        self.next_poll
    }

    /// When it last got an answer that it could use: how old its knowledge may be.
    pub fn last_heard(&self) -> Duration {
        self.last_heard
    }

    /// The index up to which it has handed out what is committed.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The names of all nodes that may lead, as far as it knows.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Polls a voter, if that is due.
    pub fn tick(&mut self, now: Duration) {
        if now < self.next_poll {
            return;
        }
        if now >= self.last_heard + self.poll_interval * SILENT_POLLS {
            self.polled_voter = (self.polled_voter + 1) % self.voters.len().max(1);
        }
        self.next_poll = now + self.poll_interval;
        self.poll();
    }

    /// Handles a packet from a voter. The host has to make sure that the packet comes from the node that it names.
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
        // An operator who makes another group starts the learners again.
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

    /// The next packet to send, and the name of the node that it is for.
    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.outbox.pop_front()
    }

    /// The next committed command or snapshot, in order.
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

    /// Takes over the entries that it lacks, and polls for more at once if there were any.
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

    /// Polls these voters, and those of the settings: the entries that it reads may be old. It goes on with the voter that it
    /// polls now, if that is still one.
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
