//! Counts the actions that a digest covers.

use super::hash::verdict_number;
use limewing_decision::interface::Action;

/// The number of actions of each kind, to detect a digest that covers too few.
#[derive(Default)]
pub(super) struct ActionCounts {
    pub(super) attempts: u64,
    pub(super) cancellations: u64,
    pub(super) rejections: u64,
    pub(super) failures: u64,
    /// Votes, indexed by the number of their verdict.
    pub(super) votes: [u64; 4],
    pub(super) watches: u64,
    pub(super) wakes: u64,
    pub(super) logs: u64,
    /// Attempts that the engine refused before the first byte.
    pub(super) refused_starts: u64,
}

impl ActionCounts {
    pub(super) fn count(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { .. } => self.attempts += 1,
            Action::CancelAttempt { .. } => self.cancellations += 1,
            Action::Reject { .. } => self.rejections += 1,
            Action::Fail { .. } => self.failures += 1,
            Action::Vote { verdict, .. } => {
                self.votes[verdict_number(*verdict)] += 1;
            }
            Action::WatchEndpoints => self.watches += 1,
            Action::WakeAt { .. } => self.wakes += 1,
            Action::Log(_) => self.logs += 1,
        }
    }
}
