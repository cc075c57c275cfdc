//! What was seen of a fleet that was played.

use super::RelayTraffic;
use std::time::Duration;

/// What members are called that are held to run.
const ALIVE: &str = "alive";
/// What members are called that are held to have ended.
const DEAD: &str = "dead";

/// A member, as another one holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedMember {
    /// Its name: `s` and its number.
    pub name: String,
    /// What it is held to be.
    pub status: String,
}

/// One sidecar's view at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Since the start.
    pub at: Duration,
    /// Whose view, by its number.
    pub of: usize,
    /// All others that it knows.
    pub members: Vec<ObservedMember>,
}

/// The time that a process ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetime {
    /// Its start.
    pub from: Duration,
    /// Its end, or the end of the play.
    pub to: Duration,
}

/// A view that is wrong at the end.
#[derive(Clone, Debug, PartialEq)]
pub struct WrongView {
    /// Whose view, by its number.
    pub of: usize,
    /// The member that it is about.
    pub member: usize,
    /// What that is held to be.
    pub status: String,
}

/// How it went.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Views, in the order in which they were taken.
    pub samples: Vec<Sample>,
    /// When the processes of each member ran.
    pub lifetimes: Vec<Vec<Lifetime>>,
    /// What all members sent.
    pub traffic: RelayTraffic,
    /// Datagrams that members refused.
    pub refused: u64,
    /// When the play ended.
    pub ended: Duration,
    /// Members whose process ended by itself.
    pub crashed: Vec<usize>,
}

impl Played {
    /// Which of the others each that runs at the end does not hold as it should.
    #[must_use]
    pub fn wrong_at_the_end(&self, members: usize) -> Vec<WrongView> {
        let mut wrong = Vec::new();
        for of in (0..members).filter(|number| self.runs_at_the_end(*number)) {
            let last = self.samples.iter().rev().find(|sample| sample.of == of);
            for member in (0..members).filter(|member| *member != of) {
                let status = last
                    .and_then(|sample| sample.status_of(member))
                    .unwrap_or("unknown");
                if (status == ALIVE) != self.runs_at_the_end(member) {
                    let status = status.to_owned();
                    wrong.push(WrongView { of, member, status });
                }
            }
        }
        wrong
    }

    fn runs_at_the_end(&self, number: usize) -> bool {
        self.lifetimes[number]
            .last()
            .is_some_and(|lifetime| lifetime.to >= self.ended)
    }

    /// How often a member that ran was held to be dead.
    #[must_use]
    pub fn held_dead_while_running(&self) -> usize {
        let members = self
            .samples
            .iter()
            .flat_map(|sample| sample.members.iter().map(move |member| (sample.at, member)));
        let wrong =
            members.filter(|(at, member)| member.status == DEAD && self.ran(&member.name, *at));
        wrong.count()
    }

    fn ran(&self, name: &str, at: Duration) -> bool {
        let number = name.strip_prefix('s').and_then(|n| n.parse::<usize>().ok());
        let lifetimes = number.and_then(|number| self.lifetimes.get(number));
        lifetimes.is_some_and(|lifetimes| {
            lifetimes
                .iter()
                .any(|lifetime| lifetime.from <= at && at < lifetime.to)
        })
    }
}

impl Sample {
    /// Others that are held to run.
    #[must_use]
    pub fn alive(&self) -> usize {
        let alive = self.members.iter().filter(|member| member.status == ALIVE);
        alive.count()
    }

    fn status_of(&self, member: usize) -> Option<&str> {
        let name = format!("s{member}");
        let found = self.members.iter().find(|other| other.name == name)?;
        Some(&found.status)
    }
}
