//! The roll of members: what each is held to be, and which claim overrides which.

use crate::words::{Claim, Name, Standing};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Members held at most, the dead among them; a claim of one more is left out.
pub const MOST_MEMBERS: usize = 4096;
/// The dead are remembered for so long: it is tried now and then whether they are back, and an old claim of one
/// that left can't bring it back.
pub const DEAD_KEPT: Duration = Duration::from_secs(600);

/// A member as it is held here.
#[derive(Clone, Debug)]
pub struct Member {
    pub claim: Claim,
    /// Since when it stands so.
    pub since: Duration,
    /// Who else says that it is suspect.
    pub(crate) accusers: Vec<Name>,
}

impl Member {
    pub fn is_here(&self) -> bool {
        self.claim.standing <= Standing::Suspect
    }
}

/// What a claim did to the roll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// It is news: whoever hears of it has it told on.
    Changed {
        before: Option<Standing>,
    },
    /// One more says that a suspect is suspect.
    Accused,
    Full,
}

#[derive(Default)]
pub struct Roll {
    members: BTreeMap<Name, Member>,
    /// How many are here, and which of them are suspect: asked for with each datagram.
    here: usize,
    suspects: BTreeSet<Name>,
}

impl Roll {
    pub fn take(&mut self, claim: Claim, from: &Name, now: Duration) -> Effect {
        let name = claim.name.clone();
        let was = self.members.get(&name).is_some_and(Member::is_here);
        let effect = self.hold(claim, from, now);
        if matches!(effect, Effect::Changed { .. }) {
            let held = &self.members[&name];
            self.here = self.here + usize::from(held.is_here()) - usize::from(was);
            match held.claim.standing {
                Standing::Suspect => drop(self.suspects.insert(name)),
                _ => drop(self.suspects.remove(&name)),
            }
        }
        effect
    }

    fn hold(&mut self, claim: Claim, from: &Name, now: Duration) -> Effect {
        let Some(held) = self.members.get_mut(&claim.name) else {
            if self.members.len() >= MOST_MEMBERS {
                return Effect::Full;
            }
            let member = Member {
                since: now,
                accusers: accusers(&claim, from),
                claim,
            };
            self.members.insert(member.claim.name.clone(), member);
            return Effect::Changed { before: None };
        };
        if claim.rank() == held.claim.rank() {
            let new = claim.standing == Standing::Suspect && !held.accusers.contains(from);
            if new {
                held.accusers.push(from.clone());
            }
            return if new {
                Effect::Accused
            } else {
                Effect::Nothing
            };
        }
        if claim.rank() < held.claim.rank() {
            return Effect::Nothing;
        }
        let before = Some(held.claim.standing).filter(|_| held.claim.start == claim.start);
        *held = Member {
            since: now,
            accusers: accusers(&claim, from),
            claim,
        };
        Effect::Changed { before }
    }

    pub fn get(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those that are here, the suspects among them.
    pub fn here(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_here())
    }

    pub fn count_here(&self) -> usize {
        self.here
    }

    pub fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.suspects
            .iter()
            .filter_map(|name| self.members.get(name))
    }

    /// Forgets those that have been dead or gone for long.
    pub fn forget(&mut self, now: Duration) {
        self.members
            .retain(|_, member| member.is_here() || now < member.since + DEAD_KEPT);
    }

    /// Later than they are: this process itself stood still, and nobody could clear themselves meanwhile.
    pub fn shift_suspicion(&mut self, by: Duration) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.since += by;
            }
        }
    }
}

fn accusers(claim: &Claim, from: &Name) -> Vec<Name> {
    if claim.standing == Standing::Suspect {
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
            let standing = [Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left];
            let from = Name::try_from("from".to_owned()).unwrap();
            let held = |claims: &[(u8, u64, u32, usize)]| {
                let mut roll = Roll::default();
                for (name, start, incarnation, of) in claims {
                    let name = Name::try_from(format!("s{name}")).unwrap();
                    let at = SocketAddr::from(([127, 0, 0, 1], 9));
                    let (start, incarnation, standing) = (*start, *incarnation, standing[*of]);
                    roll.take(Claim { name, start, incarnation, standing, at }, &from, Duration::ZERO);
                }
                assert_eq!(roll.count_here(), roll.here().count());
                let suspects = roll.iter().filter(|m| m.claim.standing == Standing::Suspect).count();
                assert_eq!(roll.suspects().count(), suspects);
                roll.iter().map(|m| m.claim.clone()).collect::<Vec<_>>()
            };
            let mut turned = claims.clone();
            turned.rotate_left(turn.index(claims.len()));
            turned.reverse();
            let last = held(&claims);
            prop_assert_eq!(&last, &held(&turned));
            for claim in last {
                let own = |c: &&(u8, u64, u32, usize)| format!("s{}", c.0) == claim.name.to_string() && c.1 == claim.start;
                prop_assert!(claims.iter().filter(own).all(|c| c.3 != 3) || claim.standing == Standing::Left);
            }
        }
    }
}
