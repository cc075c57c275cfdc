//! Invariants of the whole cluster: one leader per term, one command per log position, and one
//! order of all commands.

use super::mix;
use limewing_consensus::Committed;
use std::collections::BTreeMap;
use std::time::Duration;

/// The state machine of a simulated host: a checksum over all commands in order.
#[derive(Default)]
pub(super) struct StateMachine {
    checksum: u64,
    pub(super) applied_index: u64,
}

impl StateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) {
        let start = mix(self.checksum, 1);
        let bytes = command.iter().copied().map(u64::from);
        self.checksum = bytes.fold(start, mix);
        self.applied_index = index;
    }

    /// Returns the state as bytes, padded so that a snapshot takes several chunks.
    pub(super) fn snapshot(&self) -> Vec<u8> {
        [self.checksum.to_le_bytes().as_slice(), &[7; 1500]].concat()
    }

    fn restore(&mut self, index: u64, state: &[u8]) {
        let checksum = state[..8].try_into().expect("a checksum has eight bytes");
        self.checksum = u64::from_le_bytes(checksum);
        self.applied_index = index;
    }
}

/// The commands committed by all nodes, and the contradictions between nodes.
#[derive(Default)]
pub(crate) struct Checker {
    /// Term and command by log index.
    commands: BTreeMap<u64, (u64, Vec<u8>)>,
    /// Checksum over all commands up to a log index.
    checksums: BTreeMap<u64, u64>,
    /// Incarnation and name of the leader by term.
    leaders: BTreeMap<u64, (u64, String)>,
    /// Time at which each term got its leader.
    pub(crate) elections: Vec<Duration>,
    /// Descriptions of the violated invariants.
    pub(crate) violations: Vec<String>,
}

impl Checker {
    pub(super) fn committed_commands(&self) -> usize {
        self.commands.len()
    }

    pub(super) fn last_index(&self) -> u64 {
        self.commands
            .last_key_value()
            .map_or(0, |(index, _)| *index)
    }

    /// Checks that a term has only one leader.
    pub(super) fn check_leader(&mut self, now: Duration, term: u64, leader: (u64, String)) {
        let known = self.leaders.entry(term).or_insert_with(|| {
            self.elections.push(now);
            leader.clone()
        });
        if *known != leader {
            self.violations.push(format!("term {term} has two leaders"));
        }
    }

    /// Applies a committed command or snapshot to the node's state machine and compares it with
    /// other nodes.
    pub(super) fn check_committed(
        &mut self,
        node: usize,
        state: &mut StateMachine,
        committed: Committed,
    ) {
        match committed {
            Committed::Command { position, command } => {
                let (index, applied) = (position.index, state.applied_index);
                if index <= applied {
                    self.violations.push(format!(
                        "s{node}: entry {index} was handed out after entry {applied}"
                    ));
                }
                state.apply(index, &command);
                let new = (position.term, command);
                let known = self.commands.entry(index).or_insert_with(|| new.clone());
                if *known != new {
                    self.violations.push(format!(
                        "s{node}: another command is committed at index {index}"
                    ));
                }
                let checksum = self.checksums.entry(index).or_insert(state.checksum);
                if *checksum != state.checksum {
                    self.violations.push(format!(
                        "s{node}: the command order differs up to index {index}"
                    ));
                }
            }
            Committed::Snapshot {
                last_index,
                state: snapshot,
            } => {
                state.restore(last_index, &snapshot);
                let known = self.checksums.range(..=last_index).next_back();
                if known.is_some_and(|(_, checksum)| *checksum != state.checksum) {
                    self.violations.push(format!(
                        "s{node}: the snapshot up to index {last_index} matches no known state"
                    ));
                }
            }
        }
    }
}
