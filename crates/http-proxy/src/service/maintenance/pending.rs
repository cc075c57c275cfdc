//! Commands and voter changes that are not committed yet: they are proposed again until they show in the log or expire.

use super::consensus_role::ConsensusRole;
use super::outbox::Outbox;
use super::voter::Voter;
use limewing_consensus::MAX_VOTERS;
use limewing_maintenance::{Command, MaintenanceSchedule, Message};
use std::time::Duration;

/// Interval between proposals of the same commands.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which uncommitted commands are dropped.
const PENDING_EXPIRY: Duration = Duration::from_secs(20);
/// Maximum number of pending commands.
const MAX_PENDING_COMMANDS: usize = 256;

struct PendingCommand {
    command: Command,
    expires_at: Duration,
}

struct PendingVoterChange {
    name: String,
    is_voter: bool,
    expires_at: Duration,
}

/// Pending commands and voter changes.
pub(super) struct PendingRequests {
    commands: Vec<PendingCommand>,
    voter_changes: Vec<PendingVoterChange>,
    next_attempt: Duration,
}

/// The components that a retry uses.
pub(super) struct RetryContext<'a> {
    pub(super) role: &'a mut ConsensusRole,
    pub(super) schedule: &'a MaintenanceSchedule,
    /// The sidecar that a learner sends its commands to.
    pub(super) contact: Option<&'a str>,
    pub(super) outbox: &'a mut Outbox,
}

impl PendingRequests {
    /// Starts without pending commands.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            commands: Vec::new(),
            voter_changes: Vec::new(),
            next_attempt: now,
        }
    }

    /// Whether `count` more commands can be added.
    pub(super) fn has_room_for(&self, count: usize) -> bool {
        self.commands.len() + count <= MAX_PENDING_COMMANDS
    }

    /// Adds commands. They are proposed with the next retry.
    pub(super) fn add_commands(&mut self, now: Duration, commands: Vec<Command>) {
        let expires_at = now + PENDING_EXPIRY;
        let pending = commands.into_iter().map(|command| PendingCommand {
            command,
            expires_at,
        });
        self.commands.extend(pending);
    }

    /// Adds a voter change, replacing an earlier one for the same sidecar. Changes beyond the maximum number of voters
    /// are dropped.
    pub(super) fn add_voter_change(&mut self, now: Duration, name: String, is_voter: bool) {
        self.voter_changes.retain(|change| change.name != name);
        if self.voter_changes.len() < MAX_VOTERS {
            self.voter_changes.push(PendingVoterChange {
                name,
                is_voter,
                expires_at: now + PENDING_EXPIRY,
            });
        }
    }

    /// Makes the next retry due at once.
    pub(super) fn retry_at_once(&mut self, now: Duration) {
        self.next_attempt = now;
    }

    /// Proposes pending commands and voter changes again, if a retry is due.
    pub(super) fn retry(&mut self, now: Duration, context: RetryContext) {
        let is_empty = self.commands.is_empty() && self.voter_changes.is_empty();
        if is_empty || now < self.next_attempt {
            return;
        }
        self.next_attempt = now + RETRY_INTERVAL;
        match context.role {
            ConsensusRole::Voter(voter) => self.change_voters(now, voter, context.outbox),
            ConsensusRole::Learner(_) => {
                self.delegate_voter_changes(context.contact, context.outbox)
            }
        }
        self.commands.retain(|pending| {
            now < pending.expires_at && !context.schedule.is_already_applied(&pending.command)
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

    /// Sends voter changes from a learner to a sidecar that may lead, and drops them here.
    fn delegate_voter_changes(&mut self, contact: Option<&str>, outbox: &mut Outbox) {
        for change in self.voter_changes.drain(..) {
            if let Some(contact) = contact {
                outbox.push(contact, &change.message());
            }
        }
    }

    /// Makes the next voter change as leader, or sends it to the leader.
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
