//! Membership changes, one server at a time (dissertation, 4.1 to 4.3, with the correction of 2015), and nodes without a
//! vote that catch up before they get one (4.2.1).

use super::replication::Progress;
use super::{ProposeError, RaftNode, Role};
use crate::message::Message;
use crate::types::{Configuration, EntryPayload, LogPosition, Members, NodeId, MAX_VOTERS};
use std::time::Duration;

/// A voter that has not answered for so many election timeouts may be replaced by a new incarnation of its name.
const REPLACE_AFTER_TIMEOUTS: u32 = 10;
/// A newcomer has caught up once it lacks no more committed entries than this.
const CATCH_UP_ENTRIES: u64 = 8;

impl RaftNode {
    /// Adds or removes one voter.
    ///
    /// # Errors
    /// The node does not lead, another change is not committed, or it is not a change of one voter.
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

    /// The node of this name is to become a voter once it has caught up; until then no majority changes. It replaces an
    /// earlier pending voter.
    ///
    /// # Errors
    /// The node does not lead, another change is not committed, the name has a vote, or there are [`MAX_VOTERS`] already.
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

    /// Removes the voter, or the pending voter, of this name.
    ///
    /// # Errors
    /// The node does not lead, another change is not committed, there is no such voter, or it is the only one.
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

    /// The name whose node is to become a voter once it has caught up.
    pub fn pending_voter(&self) -> Option<&str> {
        self.log.configuration().1.pending_voter.as_deref()
    }

    fn change_configuration(
        &mut self,
        now: Duration,
        new: Configuration,
    ) -> Result<LogPosition, ProposeError> {
        self.check_leads()?;
        let (configuration_index, old) = self.log.configuration();
        let is_single_change = match old.voters.symmetric_difference(&new.voters).count() {
            // With the same voters all majorities stay as they are.
            0 => old.pending_voter != new.pending_voter,
            changed_voters => changed_voters == 1,
        };
        if !is_single_change || new.voters.is_empty() || new.voters.len() > MAX_VOTERS {
            return Err(ProposeError::InvalidMembers);
        }
        // Without a committed entry of its own term two leaders might each change another voter of the same configuration:
        // the correction of 2015.
        if configuration_index > self.commit_index || !self.has_committed_in_term() {
            return Err(ProposeError::ChangeInProgress);
        }
        let position = self.append_own(EntryPayload::Configuration(new));
        self.replicate(now);
        Ok(position)
    }

    /// Gives a vote to a node that has caught up, if its name is pending. If its name has another incarnation that is gone,
    /// that one's vote is taken first, and the name becomes pending.
    pub(super) fn promote_newcomer(&mut self, now: Duration) {
        let mut newcomers = self.progress.iter();
        let newcomer = newcomers.find(|(id, progress)| self.is_promotable(now, id, progress));
        let Some(id) = newcomer.map(|(id, _)| id.clone()) else {
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
        // Where that can't be done now, a later heartbeat does it.
        let _ = self.change_configuration(now, configuration);
    }

    /// Whether the node has caught up and is to have a vote: its name is pending, or has the votes of incarnations that are
    /// gone.
    fn is_promotable(&self, now: Duration, id: &NodeId, progress: &Progress) -> bool {
        let members = self.members();
        let old_incarnations: Vec<&NodeId> =
            members.iter().filter(|old| old.name == id.name).collect();
        let is_wanted = !old_incarnations.is_empty() || self.pending_voter() == Some(&id.name);
        let enough = self.commit_index.saturating_sub(CATCH_UP_ENTRIES).max(1);
        let has_caught_up = progress.match_index >= enough;
        let are_gone = old_incarnations.iter().all(|old| self.is_gone(now, old));
        !members.contains(id) && is_wanted && has_caught_up && are_gone
    }

    fn is_gone(&self, now: Duration, id: &NodeId) -> bool {
        let silence = self.config.election_timeout * REPLACE_AFTER_TIMEOUTS;
        let progress = self.progress.get(id);
        progress.is_none_or(|of| now >= of.last_response + silence)
    }

    /// Replicates to the sender, or tells the leader of it: the sender may know no leader.
    pub(super) fn handle_join_request(&mut self, now: Duration, from: NodeId) {
        if self.role == Role::Leader {
            self.replicate_to_newcomer(now, from);
        } else if let Some(leader) = self.leader.clone() {
            self.send(&leader, Message::JoinForwarded { id: from });
        }
    }

    /// The leader replicates to a node without a vote from now on, for as long as it answers.
    pub(super) fn replicate_to_newcomer(&mut self, now: Duration, id: NodeId) {
        if self.role == Role::Leader && !self.members().contains(&id) {
            let last_index = self.log.last_position().index;
            let progress = self.progress.entry(id);
            progress.or_insert_with(|| Progress::new(now, last_index));
        }
    }
}
