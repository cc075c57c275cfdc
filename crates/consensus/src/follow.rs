//! All other sidecars: they ask one voter after the other for what is settled.

use crate::agree::Committed;
use crate::words::{EntryPayload, LogPosition, Members, Message, NodeId, Packet};
use std::collections::VecDeque;
use std::time::Duration;

/// State that is taken in, at most, in bytes.
const MOST_STATE: usize = 4 * 1024 * 1024;

/// One that has no vote, and no disk: it begins with nothing and learns all.
pub struct Learner {
    me: NodeId,
    /// Those that may be asked: by the settings, and who has a vote by the log.
    named: Vec<String>,
    voters: Vec<String>,
    asked: usize,
    every: Duration,
    next: Duration,
    /// When something was heard last.
    heard: Duration,
    group: u64,
    /// All up to here is handed out.
    upto: u64,
    /// The state that is being taken in, and up to which entry it goes.
    state: (u64, Vec<u8>),
    settled: VecDeque<Committed>,
    out: VecDeque<(String, Packet)>,
}

impl Learner {
    pub fn new(now: Duration, me: NodeId, mut voters: Vec<String>, every: Duration) -> Self {
        voters.sort();
        // Who follows is spread over the voters.
        let asked = me.incarnation as usize % voters.len().max(1);
        let (state, settled, out) = ((0, Vec::new()), VecDeque::new(), VecDeque::new());
        let named = voters.clone();
        Self {
            me,
            named,
            voters,
            asked,
            every,
            next: now,
            heard: now,
            group: 0,
            upto: 0,
            state,
            settled,
            out,
        }
    }

    pub fn next_deadline(&self) -> Duration {
        self.next
    }

    /// When it last heard what is settled: how old its knowledge may be.
    pub fn last_heard(&self) -> Duration {
        self.heard
    }

    pub fn applied_index(&self) -> u64 {
        self.upto
    }

    pub fn tick(&mut self, now: Duration) {
        if now < self.next {
            return;
        }
        if now >= self.heard + self.every * 4 {
            self.asked = (self.asked + 1) % self.voters.len().max(1);
        }
        self.next = now + self.every;
        self.ask();
    }

    /// All that may lead, as far as it knows.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// These have a vote now. Those of the settings are asked too: it may read old entries.
    fn led_by(&mut self, members: &Members) {
        let all = self
            .named
            .iter()
            .cloned()
            .chain(members.iter().map(|id| id.name.clone()));
        let all: std::collections::BTreeSet<String> =
            all.filter(|name| *name != self.me.name).collect();
        let asked = self.voters.get(self.asked).cloned();
        self.voters = all.into_iter().collect();
        self.asked = asked
            .and_then(|name| self.voters.binary_search(&name).ok())
            .unwrap_or(0);
    }

    fn ask(&mut self) {
        let Some(voter) = self.voters.get(self.asked) else {
            return;
        };
        let say = Message::LearnerRequest {
            next_index: self.upto + 1,
            snapshot_index: self.state.0,
            snapshot_offset: self.state.1.len() as u32,
        };
        let packet = Packet {
            group: self.group,
            from: self.me.clone(),
            to_incarnation: 0,
            term: 0,
            message: say,
        };
        self.out.push_back((voter.clone(), packet));
    }

    pub fn receive(&mut self, now: Duration, packet: Packet) {
        let known = self.voters.contains(&packet.from.name) && packet.group != 0;
        if !known || (packet.to_incarnation != 0 && packet.to_incarnation != self.me.incarnation) {
            return;
        }
        if self.group == 0 {
            self.group = packet.group;
        }
        // Another group than the one it follows: an operator made it anew, and starts this one again.
        if packet.group != self.group {
            return;
        }
        match packet.message {
            Message::LearnerEntries {
                first_index: first,
                entries,
                ..
            } if first <= self.upto + 1 => {
                self.heard = now;
                let (skip, many) = ((self.upto + 1 - first) as usize, entries.len());
                for entry in entries.into_iter().skip(skip) {
                    self.upto += 1;
                    match entry.payload {
                        EntryPayload::Command(bytes) => {
                            let at = LogPosition {
                                index: self.upto,
                                term: entry.term,
                            };
                            self.settled.push_back(Committed::Command {
                                position: at,
                                command: bytes,
                            });
                        }
                        EntryPayload::Configuration(voters) => self.led_by(&voters.voters),
                        EntryPayload::Noop => {}
                    }
                }
                if many > skip {
                    self.ask();
                }
            }
            Message::LearnerSnapshot {
                last_index: index,
                offset: from,
                total_length: whole,
                data: bytes,
                members,
            } if index > self.upto => {
                self.heard = now;
                if index != self.state.0 {
                    self.state = (index, Vec::new());
                }
                let whole = whole as usize;
                if from as usize == self.state.1.len() && whole <= MOST_STATE {
                    self.state.1.extend_from_slice(&bytes);
                }
                if self.state.1.len() >= whole {
                    self.upto = index;
                    self.led_by(&members);
                    let state = std::mem::take(&mut self.state).1;
                    self.settled.push_back(Committed::Snapshot {
                        last_index: index,
                        state,
                    });
                }
                self.ask();
            }
            _ => {}
        }
    }

    pub fn take_packet(&mut self) -> Option<(String, Packet)> {
        self.out.pop_front()
    }

    pub fn take_committed(&mut self) -> Option<Committed> {
        self.settled.pop_front()
    }
}
