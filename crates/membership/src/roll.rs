//! The roll of members: what each is held to be, and which claim overrides which.

use crate::words::{MemberName, MemberStatus, StatusUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members held at most, the dead among them; a claim of one more is left out.
pub const MAX_MEMBERS: usize = 4096;
/// The dead are remembered for so long: it is tried now and then whether they are back, and an old claim of one
/// that left can't bring it back.
pub const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A member as it is held here.
#[derive(Clone, Debug)]
pub struct Member {
    pub update: StatusUpdate,
    /// Since when it stands so.
    pub status_since: Duration,
    /// Who else says that it is suspect.
    pub(crate) suspected_by: Vec<MemberName>,
}

impl Member {
    pub fn is_active(&self) -> bool {
        self.update.status <= MemberStatus::Suspect
    }
}

/// What a claim did to the roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    Ignored,
    /// It is news: whoever hears of it has it told on.
    Changed {
        previous: Option<MemberStatus>,
    },
    /// One more says that a suspect is suspect.
    Corroborated,
    TableFull,
}

#[derive(Default)]
pub struct MemberTable {
    members: BTreeMap<MemberName, Member>,
    /// How many are here, and which of them are suspect: asked for with each datagram.
    here: usize,
    suspects: BTreeSet<MemberName>,
}

impl MemberTable {
    pub fn apply(&mut self, claim: StatusUpdate, from: &MemberName, now: Duration) -> UpdateEffect {
        let name = claim.name.clone();
        let was = self.members.get(&name).is_some_and(Member::is_active);
        let effect = self.merge(claim, from, now);
        if matches!(effect, UpdateEffect::Changed { .. }) {
            let held = &self.members[&name];
            self.here = self.here + usize::from(held.is_active()) - usize::from(was);
            match held.update.status {
                MemberStatus::Suspect => drop(self.suspects.insert(name)),
                _ => drop(self.suspects.remove(&name)),
            }
        }
        effect
    }

    fn merge(&mut self, claim: StatusUpdate, from: &MemberName, now: Duration) -> UpdateEffect {
        let Some(held) = self.members.get_mut(&claim.name) else {
            if self.members.len() >= MAX_MEMBERS {
                return UpdateEffect::TableFull;
            }
            let member = Member {
                status_since: now,
                suspected_by: first_suspicion(&claim, from),
                update: claim,
            };
            self.members.insert(member.update.name.clone(), member);
            return UpdateEffect::Changed { previous: None };
        };
        if claim.precedence() == held.update.precedence() {
            let new = claim.status == MemberStatus::Suspect && !held.suspected_by.contains(from);
            if new {
                held.suspected_by.push(from.clone());
            }
            return if new {
                UpdateEffect::Corroborated
            } else {
                UpdateEffect::Ignored
            };
        }
        if claim.precedence() < held.update.precedence() {
            return UpdateEffect::Ignored;
        }
        let before =
            Some(held.update.status).filter(|_| held.update.started_at_ms == claim.started_at_ms);
        *held = Member {
            status_since: now,
            suspected_by: first_suspicion(&claim, from),
            update: claim,
        };
        UpdateEffect::Changed { previous: before }
    }

    pub fn get(&self, name: &MemberName) -> Option<&Member> {
        self.members.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those that are here, the suspects among them.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_active())
    }

    pub fn active_count(&self) -> usize {
        self.here
    }

    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects
            .iter()
            .filter_map(|name| self.members.get(name))
    }

    /// Forgets those that have been dead or gone for long.
    pub fn remove_expired(&mut self, now: Duration) {
        self.members
            .retain(|_, member| member.is_active() || now < member.status_since + DEAD_RETENTION);
    }

    /// Later than they are: this process itself stood still, and nobody could clear themselves meanwhile.
    pub fn postpone_suspicions(&mut self, by: Duration) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.status_since += by;
            }
        }
    }
}

fn first_suspicion(claim: &StatusUpdate, from: &MemberName) -> Vec<MemberName> {
    if claim.status == MemberStatus::Suspect {
        vec![from.clone()]
    } else {
        Vec::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::net::SocketAddr;

    proptest! {
        /// Who is held to be what does not go by the order in which claims come; what left stays gone for its start; and
        /// the counts are those of the members.
        #[test]
        fn claims_come_in_any_order(
            claims in prop::collection::vec((0u8..3, 0u64..2, 0u32..3, 0usize..4), 1..12),
            turn in any::<prop::sample::Index>(),
        ) {
            let standing = [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead, MemberStatus::Left];
            let from = MemberName::try_from("from".to_owned()).unwrap();
            let held = |claims: &[(u8, u64, u32, usize)]| {
                let mut roll = MemberTable::default();
                for (name, start, incarnation, of) in claims {
                    let name = MemberName::try_from(format!("s{name}")).unwrap();
                    let address = SocketAddr::from(([127, 0, 0, 1], 9));
                    let (started_at_ms, incarnation, status) = (*start, *incarnation, standing[*of]);
                    roll.apply(StatusUpdate { name, started_at_ms, incarnation, status, address }, &from, Duration::ZERO);
                }
                assert_eq!(roll.active_count(), roll.active().count());
                let suspects = roll.iter().filter(|m| m.update.status == MemberStatus::Suspect).count();
                assert_eq!(roll.suspects().count(), suspects);
                roll.iter().map(|m| m.update.clone()).collect::<Vec<_>>()
            };
            let mut turned = claims.clone();
            turned.rotate_left(turn.index(claims.len()));
            turned.reverse();
            let last = held(&claims);
            prop_assert_eq!(&last, &held(&turned));
            for claim in last {
                let own = |c: &&(u8, u64, u32, usize)| format!("s{}", c.0) == claim.name.to_string() && c.1 == claim.started_at_ms;
                prop_assert!(claims.iter().filter(own).all(|c| c.3 != 3) || claim.status == MemberStatus::Left);
            }
        }
    }
}
