//! The observations of a fleet of processes under a script of faults.

use super::RelayTraffic;
use std::time::Duration;

/// The status of members that are considered running.
const ALIVE: &str = "alive";
/// The status of members that are declared dead.
const DEAD: &str = "dead";

/// A member as seen by another one.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedMember {
    /// Its name: `s` followed by its number.
    pub name: String,
    /// Its status in the view of the other one.
    pub status: String,
}

/// One sidecar's view at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The time since the start.
    pub at: Duration,
    /// The number of the sidecar whose view it is.
    pub observer: usize,
    /// All other members that it knows.
    pub members: Vec<ObservedMember>,
}

/// The time during which a process ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lifetime {
    /// The start of the process.
    pub from: Duration,
    /// The end of the process, or of the run.
    pub to: Duration,
}

/// A wrong status in a view at the end.
#[derive(Clone, Debug, PartialEq)]
pub struct WrongView {
    /// The number of the sidecar whose view it is.
    pub observer: usize,
    /// The number of the member whose status is wrong.
    pub member: usize,
    /// The wrong status.
    pub status: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// The sampled views, in the order in which they were taken.
    pub samples: Vec<Sample>,
    /// The lifetimes of the processes of each member.
    pub lifetimes: Vec<Vec<Lifetime>>,
    /// The traffic that all members sent.
    pub traffic: RelayTraffic,
    /// The number of datagrams that members rejected.
    pub rejected_datagrams: u64,
    /// The time of the end of the run.
    pub ended: Duration,
    /// The members whose process exited by itself.
    pub crashed: Vec<usize>,
}

impl RunResult {
    /// The wrong statuses in the last views of all members that run at the end.
    #[must_use]
    pub fn wrong_final_views(&self, members: usize) -> Vec<WrongView> {
        let mut wrong = Vec::new();
        for observer in (0..members).filter(|number| self.runs_at_the_end(*number)) {
            let last = self
                .samples
                .iter()
                .rev()
                .find(|sample| sample.observer == observer);
            for member in (0..members).filter(|member| *member != observer) {
                let status = last
                    .and_then(|sample| sample.status_of(member))
                    .unwrap_or("unknown");
                if (status == ALIVE) != self.runs_at_the_end(member) {
                    let status = status.to_owned();
                    wrong.push(WrongView {
                        observer,
                        member,
                        status,
                    });
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

    /// How often a sample shows a member as dead while it ran.
    #[must_use]
    pub fn false_death_count(&self) -> usize {
        let members = self
            .samples
            .iter()
            .flat_map(|sample| sample.members.iter().map(move |member| (sample.at, member)));
        let wrong = members
            .filter(|(at, member)| member.status == DEAD && self.was_running(&member.name, *at));
        wrong.count()
    }

    fn was_running(&self, name: &str, at: Duration) -> bool {
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
    /// The number of other members that are considered running.
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
