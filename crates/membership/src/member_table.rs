//! Status of each member, and the rule for which of two updates overrides the other (SWIM, section
//! 4.2).

use crate::status::{MemberName, MemberStatus, StatusUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum number of members in the table, including dead ones. Updates about further members are
/// ignored.
const MAX_MEMBERS: usize = 4096;
/// How long dead members and members that left stay in the table. Reconnects need the dead ones,
/// and the entry of a member that left prevents an outdated update from reviving it.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A member in the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// The prevailing update about the member.
    pub update: StatusUpdate,
    /// When the update began to prevail, by the caller's clock.
    pub status_since: Duration,
    /// Members that independently suspect this one, in the order in which they reported it.
    pub(crate) suspected_by: Vec<MemberName>,
}

impl Member {
    /// Returns whether the member is alive or suspect, and thus still part of the group.
    pub fn is_active(&self) -> bool {
        self.update.status.is_active()
    }

    fn new(update: StatusUpdate, from: &MemberName, now: Duration) -> Self {
        let suspected_by = if update.status == MemberStatus::Suspect {
            vec![from.clone()]
        } else {
            Vec::new()
        };
        Self {
            update,
            status_since: now,
            suspected_by,
        }
    }

    /// Records a member that suspects this one. Returns false if it was already recorded.
    fn add_confirmation(&mut self, from: &MemberName) -> bool {
        if self.update.status != MemberStatus::Suspect || self.suspected_by.contains(from) {
            return false;
        }
        self.suspected_by.push(from.clone());
        true
    }
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateEffect {
    /// The update is known or overridden, or the table is full.
    Ignored,
    /// The update prevails now. `previous` is the former status if it was of the same process.
    Changed { previous: Option<MemberStatus> },
    /// Another member confirms an existing suspicion.
    Confirmed,
}

/// Members known to this one, excluding itself.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<MemberName, Member>,
    /// Number of active members and the suspects among them. Cached because each datagram needs
    /// both.
    active_count: usize,
    suspects: BTreeSet<MemberName>,
}

impl MemberTable {
    /// Applies an update received from the member `from`.
    pub(crate) fn apply(
        &mut self,
        update: StatusUpdate,
        from: &MemberName,
        now: Duration,
    ) -> UpdateEffect {
        let name = update.name.clone();
        let status = update.status;
        let was_active = self.members.get(&name).is_some_and(Member::is_active);
        let effect = self.merge(update, from, now);
        if matches!(effect, UpdateEffect::Changed { .. }) {
            self.active_count += usize::from(status.is_active());
            self.active_count -= usize::from(was_active);
            if status == MemberStatus::Suspect {
                self.suspects.insert(name);
            } else {
                self.suspects.remove(&name);
            }
        }
        effect
    }

    fn merge(&mut self, update: StatusUpdate, from: &MemberName, now: Duration) -> UpdateEffect {
        let Some(known) = self.members.get_mut(&update.name) else {
            if self.members.len() >= MAX_MEMBERS {
                return UpdateEffect::Ignored;
            }
            let name = update.name.clone();
            self.members.insert(name, Member::new(update, from, now));
            return UpdateEffect::Changed { previous: None };
        };
        let known_precedence = known.update.precedence();
        if update.precedence() == known_precedence {
            return if known.add_confirmation(from) {
                UpdateEffect::Confirmed
            } else {
                UpdateEffect::Ignored
            };
        }
        if update.precedence() < known_precedence {
            return UpdateEffect::Ignored;
        }
        let same_process = known.update.started_at_ms == update.started_at_ms;
        let previous = same_process.then_some(known.update.status);
        *known = Member::new(update, from, now);
        UpdateEffect::Changed { previous }
    }

    pub(crate) fn get(&self, name: &MemberName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the member if it is active and its process started at `started_at_ms`.
    pub(crate) fn active_process(&self, name: &MemberName, started_at_ms: u64) -> Option<&Member> {
        self.members
            .get(name)
            .filter(|member| member.is_active() && member.update.started_at_ms == started_at_ms)
    }

    /// Returns all members, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the prevailing update of each member, ordered by name.
    pub(crate) fn updates(&self) -> Vec<StatusUpdate> {
        self.iter().map(|member| member.update.clone()).collect()
    }

    /// Returns the active members, ordered by name.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_active())
    }

    pub(crate) fn active_count(&self) -> usize {
        self.active_count
    }

    /// Returns the suspects, ordered by name.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects
            .iter()
            .filter_map(|name| self.members.get(name))
    }

    /// Removes members that have been dead or gone for `DEAD_RETENTION`.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.members
            .retain(|_, member| member.is_active() || now < member.status_since + DEAD_RETENTION);
    }

    /// Extends all suspicions, because no suspect could refute while this process was paused.
    pub(crate) fn postpone_suspicions(&mut self, delay: Duration) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.status_since += delay;
            }
        }
    }
}
