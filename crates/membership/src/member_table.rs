//! The status of each member, and which of two updates overrides the other (SWIM, section 4.2).

use crate::status::{MemberName, MemberStatus, StatusUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Members in the table, the dead among them; an update on one more is ignored.
const MAX_MEMBERS: usize = 4096;
/// How long the dead and those that left stay in the table: reconnects need the dead, and the entry of one that left keeps
/// an old update from bringing it back.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A member in the table.
#[derive(Clone, Debug)]
pub struct Member {
    /// The update that prevails.
    pub update: StatusUpdate,
    /// Since when it prevails, by the caller's clock.
    pub status_since: Duration,
    /// The members that suspect it independently of each other, in the order in which they were heard.
    pub(crate) suspected_by: Vec<MemberName>,
}

impl Member {
    /// Alive or suspect: still a part of the group.
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

    /// Notes who suspects it; false if that was known.
    fn add_suspecting(&mut self, from: &MemberName) -> bool {
        if self.update.status != MemberStatus::Suspect || self.suspected_by.contains(from) {
            return false;
        }
        self.suspected_by.push(from.clone());
        true
    }
}

/// What an update did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateEffect {
    /// Nothing: it is known, it is overridden, or the table is full.
    Ignored,
    /// It prevails now. `previous` is the status before, if that was of the same process.
    Changed { previous: Option<MemberStatus> },
    /// One more member suspects a suspect.
    Corroborated,
}

/// The members that this one knows, without itself.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<MemberName, Member>,
    /// Number of active members, and the suspects among them: both are needed for each datagram.
    active_count: usize,
    suspects: BTreeSet<MemberName>,
}

impl MemberTable {
    /// Applies an update that was heard from that member.
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
            return if known.add_suspecting(from) {
                UpdateEffect::Corroborated
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

    /// The member, if it is active and its process is the one that started then.
    pub(crate) fn active_process(&self, name: &MemberName, started_at_ms: u64) -> Option<&Member> {
        self.members
            .get(name)
            .filter(|member| member.is_active() && member.update.started_at_ms == started_at_ms)
    }

    /// All members, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The prevailing update of each member, by name.
    pub(crate) fn updates(&self) -> Vec<StatusUpdate> {
        self.iter().map(|member| member.update.clone()).collect()
    }

    /// The active members, by name.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_active())
    }

    pub(crate) fn active_count(&self) -> usize {
        self.active_count
    }

    /// The suspects, by name.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects
            .iter()
            .filter_map(|name| self.members.get(name))
    }

    /// Removes those that have been dead or gone for the time of retention.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.members
            .retain(|_, member| member.is_active() || now < member.status_since + DEAD_RETENTION);
    }

    /// Extends all suspicions: no suspect could refute while this process stood still.
    pub(crate) fn postpone_suspicions(&mut self, delay: Duration) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.status_since += delay;
            }
        }
    }
}
