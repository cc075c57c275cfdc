//! What was asked of this sidecar and is not committed yet: proposed again until it shows in the log, or expires.

use super::consensus_role::ConsensusRole;
use super::outbox::Outbox;
use super::voter::Voter;
use limewing_consensus::MAX_VOTERS;
use limewing_maintenance::{Command, MaintenanceSchedule, Message};
use std::time::Duration;

/// Between two proposals of the same commands.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Commands that are not committed after this are given up.
const EXPIRY: Duration = Duration::from_secs(20);
/// Most commands that wait at a time.
const MAX_COMMANDS: usize = 256;

struct PendingCommand {
    command: Command,
    expires_at: Duration,
}

struct PendingVoterChange {
    name: String,
    is_voter: bool,
    expires_at: Duration,
}

/// Commands and changes of voters that wait.
pub(super) struct PendingRequests {
    commands: Vec<PendingCommand>,
    voter_changes: Vec<PendingVoterChange>,
    next_attempt: Duration,
}

/// The sidecar's own parts that a retry goes through.
pub(super) struct RetryContext<'a> {
    pub(super) role: &'a mut ConsensusRole,
    pub(super) schedule: &'a MaintenanceSchedule,
    /// Whom a learner sends its commands to.
    pub(super) contact: Option<&'a str>,
    pub(super) outbox: &'a mut Outbox,
}

impl PendingRequests {
    /// Nothing waits.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            commands: Vec::new(),
            voter_changes: Vec::new(),
            next_attempt: now,
        }
    }

    /// Whether so many more commands may wait.
    pub(super) fn has_room_for(&self, count: usize) -> bool {
        self.commands.len() + count <= MAX_COMMANDS
    }

    /// Adds commands, to be proposed with the next attempt.
    pub(super) fn add_commands(&mut self, now: Duration, commands: Vec<Command>) {
        let expires_at = now + EXPIRY;
        let pending = commands.into_iter().map(|command| PendingCommand {
            command,
            expires_at,
        });
        self.commands.extend(pending);
    }

    /// Adds a change of voters in the place of an earlier one of the same sidecar. There are no more than the group may
    /// have voters.
    pub(super) fn add_voter_change(&mut self, now: Duration, name: String, is_voter: bool) {
        self.voter_changes.retain(|change| change.name != name);
        if self.voter_changes.len() < MAX_VOTERS {
            self.voter_changes.push(PendingVoterChange {
                name,
                is_voter,
                expires_at: now + EXPIRY,
            });
        }
    }

    /// Makes the next attempt due.
    pub(super) fn retry_at_once(&mut self, now: Duration) {
        self.next_attempt = now;
    }

    /// Proposes again what waits, if that is due.
    pub(super) fn retry(&mut self, now: Duration, context: RetryContext) {
        let is_empty = self.commands.is_empty() && self.voter_changes.is_empty();
        if is_empty || now < self.next_attempt {
            return;
        }
        self.next_attempt = now + RETRY_INTERVAL;
        match context.role {
            ConsensusRole::Voter(voter) => self.change_voters(now, voter, context.outbox),
            ConsensusRole::Learner(_) => {
                self.hand_over_voter_changes(context.contact, context.outbox)
            }
        }
        self.commands.retain(|pending| {
            now < pending.expires_at && !context.schedule.is_reflected(&pending.command)
        });
        for pending in &self.commands {
            let command = pending.command.encode();
            match context.role {
                ConsensusRole::Voter(voter) => voter.submit(now, command),
                ConsensusRole::Learner(_) => {
                    if let Some(contact) = context.contact {
                        context.outbox.push(contact, &Message::Propose { command });
                    }
                }
            }
        }
    }

    /// A learner leaves changes of voters to a sidecar that may lead.
    fn hand_over_voter_changes(&mut self, contact: Option<&str>, outbox: &mut Outbox) {
        for change in self.voter_changes.drain(..) {
            if let Some(contact) = contact {
                outbox.push(contact, &change.message());
            }
        }
    }

    /// Makes the next change of voters as leader, or sends it to the leader.
    fn change_voters(&mut self, now: Duration, voter: &mut Voter, outbox: &mut Outbox) {
        self.voter_changes.retain(|change| {
            now < change.expires_at && !voter.has_voter_change(&change.name, change.is_voter)
        });
        let Some(change) = self.voter_changes.first() else {
            return;
        };
        if voter.is_leader() {
            let result = voter.change_voter(now, &change.name, change.is_voter);
            tracing::info!(
                name = change.name,
                is_voter = change.is_voter,
                ?result,
                "voter change proposed"
            );
        } else if let Some(leader) = voter.node().leader() {
            outbox.push(&leader.name, &change.message());
        }
    }
}

impl PendingVoterChange {
    fn message(&self) -> Message {
        Message::ChangeVote {
            name: self.name.clone(),
            is_voter: self.is_voter,
        }
    }
}
