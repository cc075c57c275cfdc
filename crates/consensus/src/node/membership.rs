//! Single-server membership changes (dissertation, 4.1 to 4.3, with the correction of 2015), and
//! non-voting nodes that catch up before they get a vote (4.2.1).

use super::replication::Progress;
use super::{ProposeError, RaftNode, Role};
use crate::message::Message;
use crate::types::{Configuration, EntryPayload, LogPosition, Members, NodeId, MAX_VOTERS};
use std::time::Duration;

/// Number of election timeouts without an answer after which a voter may be replaced by a new
/// incarnation of the same name.
const REPLACE_AFTER_TIMEOUTS: u32 = 10;
/// Maximum number of committed entries that a node may be missing to count as caught up.
const MAX_CATCH_UP_LAG_ENTRIES: u64 = 8;

impl RaftNode {
    /// Adds or removes one voter.
    ///
    /// # Errors
    /// This node is not the leader, the previous change is not committed, or the change does not
    /// affect exactly one voter.
    pub fn change_members(
        &mut self,
        now: Duration,
        members: Members,
    ) -> Result<LogPosition, ProposeError> {
        let configuration = Configuration {
            voters: members,
            pending_voter: None,
        };
        self.change_configuration(now, configuration)
    }

    /// Marks the node with this name to become a voter once it has caught up; no majority changes
    /// until then. It replaces an earlier pending voter.
    ///
    /// # Errors
    /// This node is not the leader, the previous change is not committed, the name already has a
    /// vote, or there are already [`MAX_VOTERS`] voters.
    pub fn add_voter(&mut self, now: Duration, name: &str) -> Result<LogPosition, ProposeError> {
        let members = self.members();
        if members.iter().any(|id| id.name == name) || members.len() >= MAX_VOTERS {
            return Err(ProposeError::InvalidMembers);
        }
        let configuration = Configuration {
            voters: members.clone(),
            pending_voter: Some(name.to_owned()),
        };
        self.change_configuration(now, configuration)
    }

    /// Removes the voter or pending voter with this name.
    ///
    /// # Errors
    /// This node is not the leader, the previous change is not committed, there is no such voter,
    /// or it is the only one.
    pub fn remove_voter(&mut self, now: Duration, name: &str) -> Result<LogPosition, ProposeError> {
        let mut voters = self.members().clone();
        voters.retain(|id| id.name != name);
        let is_pending = self.pending_voter() == Some(name);
        if voters == *self.members() && !is_pending {
            return Err(ProposeError::InvalidMembers);
        }
        let configuration = Configuration {
            voters,
            pending_voter: None,
        };
        self.change_configuration(now, configuration)
    }

    /// Returns the name of the node that becomes a voter once it has caught up.
    pub fn pending_voter(&self) -> Option<&str> {
        self.log.configuration().1.pending_voter.as_deref()
    }

    fn change_configuration(
        &mut self,
        now: Duration,
        new: Configuration,
    ) -> Result<LogPosition, ProposeError> {
        self.check_is_leader()?;
        let (configuration_index, old) = self.log.configuration();
        let is_single_change = match old.voters.symmetric_difference(&new.voters).count() {
            // If the voters are the same, all majorities stay the same.
            0 => old.pending_voter != new.pending_voter,
            changed_voters => changed_voters == 1,
        };
        if !is_single_change || new.voters.is_empty() || new.voters.len() > MAX_VOTERS {
            return Err(ProposeError::InvalidMembers);
        }
        // Without a committed entry of their own terms, two leaders could each change a different
        // voter of the same configuration (the correction of 2015).
        if configuration_index > self.commit_index || !self.has_committed_in_term() {
            return Err(ProposeError::ChangeInProgress);
        }
        let position = self.append_as_leader(EntryPayload::Configuration(new));
        self.replicate(now);
        Ok(position)
    }

    /// Gives a vote to a caught-up node whose name is pending. If another incarnation of its name
    /// has a vote and no longer answers, that vote is removed first and the name becomes pending.
    pub(super) fn promote_non_voter(&mut self, now: Duration) {
        let mut replicas = self.progress.iter();
        let promotable = replicas.find(|(id, progress)| self.is_promotable(now, id, progress));
        let Some(id) = promotable.map(|(id, _)| id.clone()) else {
            return;
        };
        let mut configuration = Configuration {
            voters: self.members().clone(),
            pending_voter: None,
        };
        let old = self.members().iter().find(|old| old.name == id.name);
        if let Some(old) = old {
            configuration.voters.remove(old);
            configuration.pending_voter = Some(id.name);
        } else {
            configuration.voters.insert(id);
        }
        // If the change is not possible now, a later heartbeat makes it.
        let _ = self.change_configuration(now, configuration);
    }

    /// Returns whether the node has caught up and should get a vote: its name is pending, or the
    /// voting incarnations of its name no longer answer.
    fn is_promotable(&self, now: Duration, id: &NodeId, progress: &Progress) -> bool {
        let members = self.members();
        let old_incarnations: Vec<&NodeId> =
            members.iter().filter(|old| old.name == id.name).collect();
        let is_due_a_vote = !old_incarnations.is_empty() || self.pending_voter() == Some(&id.name);
        let min_match_index = self
            .commit_index
            .saturating_sub(MAX_CATCH_UP_LAG_ENTRIES)
            .max(1);
        let has_caught_up = progress.match_index >= min_match_index;
        let are_unresponsive = old_incarnations
            .iter()
            .all(|old| self.is_unresponsive(now, old));
        !members.contains(id) && is_due_a_vote && has_caught_up && are_unresponsive
    }

    fn is_unresponsive(&self, now: Duration, id: &NodeId) -> bool {
        let silence = self.config.election_timeout * REPLACE_AFTER_TIMEOUTS;
        let progress = self.progress.get(id);
        progress.is_none_or(|progress| now >= progress.last_response + silence)
    }

    /// Starts replication to the sender, or forwards the request to the leader, which the sender
    /// may not know.
    pub(super) fn handle_join_request(&mut self, now: Duration, from: NodeId) {
        if self.role == Role::Leader {
            self.replicate_to_non_voter(now, from);
        } else if let Some(leader) = self.leader.clone() {
            self.send(&leader, Message::JoinForwarded { id: from });
        }
    }

    /// Starts replication to a node without a vote; it continues for as long as the node answers.
    pub(super) fn replicate_to_non_voter(&mut self, now: Duration, id: NodeId) {
        if self.role == Role::Leader && !self.members().contains(&id) {
            let last_index = self.log.last_position().index;
            let progress = self.progress.entry(id);
            progress.or_insert_with(|| Progress::new(now, last_index));
        }
    }
}
