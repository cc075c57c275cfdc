//! The installer as a model: brings a build in by stages, place by place, and takes votes.

use limewing_rule_checker::record::{Phase, SidecarId};
use limewing_settings::{Control, Releases};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlaceNo(pub usize);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Start {
        place: PlaceNo,
        build: u16,
    },
    /// All pods of other builds at this place drain.
    DrainOthers {
        place: PlaceNo,
        build: u16,
    },
    Tell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Withhold,
    On,
    Hold,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Grows with each change: of two that are told, the higher is the later.
    pub number: u64,
    pub build: u16,
    pub stage: u8,
    pub phase: Phase,
    pub cap: f64,
}

struct Vote {
    build: u16,
    stage: u8,
    verdict: Verdict,
    until: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    /// Runs this build, and no other is asked for.
    Settled,
    Starting,
}

pub struct Installer {
    terms: Releases,
    state: State,
    before: u16,
    places: Vec<(u16, At)>,
    votes: BTreeMap<SidecarId, Vote>,
    ran: Duration,
    last: Duration,
    next: Option<u16>,
}

impl Installer {
    pub fn new(terms: Releases, places: usize, build: u16) -> Self {
        let state = State {
            number: 1,
            build,
            stage: 0,
            phase: Phase::Released,
            cap: 1.0,
        };
        let places = vec![(build, At::Settled); places];
        let (votes, ran, last) = (BTreeMap::new(), Duration::ZERO, Duration::ZERO);
        Self {
            terms,
            state,
            before: build,
            places,
            votes,
            ran,
            last,
            next: None,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Brings in another build; one that is still on trial goes back first.
    pub fn offer(&mut self, build: u16, now: Duration) {
        self.next = Some(build);
        if self.state.phase == Phase::OnTrial {
            self.enter(Phase::RollingBack, self.state.stage, now);
        }
    }

    fn enter(&mut self, phase: Phase, stage: u8, now: Duration) {
        let cap = match phase {
            Phase::OnTrial => self.terms.stages[usize::from(stage)].cap,
            Phase::Released => 1.0,
            Phase::RollingBack | Phase::RolledBack => 0.0,
        };
        (self.ran, self.last) = (Duration::ZERO, now);
        let number = self.state.number + 1;
        self.state = State {
            number,
            phase,
            stage,
            cap,
            ..self.state
        };
    }

    /// Takes a vote; none if it counts for nothing now.
    pub fn vote(
        &mut self,
        of: SidecarId,
        build: u16,
        stage: u8,
        verdict: Verdict,
        now: Duration,
    ) -> bool {
        let phase = self.state.phase;
        let here = build == self.state.build;
        let fits = match verdict {
            Verdict::Withhold => here,
            Verdict::Back => here && matches!(phase, Phase::OnTrial | Phase::Released),
            Verdict::On => here && phase == Phase::OnTrial && self.terms.control == Control::Votes,
            Verdict::Hold => {
                here && phase == Phase::OnTrial && self.terms.control == Control::Clock
            }
        };
        let same =
            stage == self.state.stage || matches!(verdict, Verdict::Back | Verdict::Withhold);
        if !fits || !same {
            return false;
        }
        let until = now + self.terms.vote_life.into();
        self.votes.insert(
            of,
            Vote {
                build,
                stage,
                verdict,
                until,
            },
        );
        true
    }

    fn count(&self, verdict: Verdict, now: Duration) -> usize {
        let here = |vote: &&Vote| {
            let stage = vote.stage == self.state.stage || verdict == Verdict::Back;
            vote.until > now && vote.build == self.state.build && vote.verdict == verdict && stage
        };
        self.votes.values().filter(here).count()
    }

    /// Goes on; `runs` tells whether a place's pod of a build has started. Called often, in even steps.
    pub fn tick(&mut self, now: Duration, runs: impl Fn(PlaceNo, u16) -> bool) -> Vec<Step> {
        let mut steps = Vec::new();
        let step = now.saturating_sub(self.last);
        self.last = now;
        for (place, (build, at)) in self.places.iter_mut().enumerate() {
            let place = PlaceNo(place);
            if *at == At::Starting && runs(place, *build) {
                *at = At::Settled;
                steps.push(Step::DrainOthers {
                    place,
                    build: *build,
                });
            }
        }
        let settled = self.places.iter().all(|(_, at)| *at == At::Settled);
        let State {
            build,
            stage,
            phase,
            ..
        } = self.state;
        if matches!(phase, Phase::OnTrial | Phase::Released) && build != self.before {
            let back = self.count(Verdict::Back, now) >= self.terms.back_votes as usize;
            if back {
                self.enter(Phase::RollingBack, stage, now);
                steps.push(Step::Tell);
                return steps;
            }
        }
        match phase {
            Phase::Released | Phase::RolledBack => {
                if let Some(next) = self.next.take() {
                    self.before = if phase == Phase::Released {
                        build
                    } else {
                        self.before
                    };
                    self.state.build = next;
                    self.enter(Phase::OnTrial, 0, now);
                    steps.push(Step::Tell);
                }
            }
            Phase::RollingBack => {
                self.replace(self.before, 1.0, &mut steps);
                if settled && self.places.iter().all(|(build, _)| *build == self.before) {
                    self.enter(Phase::RolledBack, stage, now);
                    steps.push(Step::Tell);
                }
            }
            Phase::OnTrial => {
                self.replace(
                    build,
                    self.terms.stages[usize::from(stage)].share,
                    &mut steps,
                );
                let held = self.count(Verdict::Hold, now) > 0;
                if settled && steps.is_empty() && !held {
                    self.ran += step;
                }
                let voted = match self.terms.control {
                    Control::Clock => true,
                    Control::Votes => self.count(Verdict::On, now) > 0,
                };
                if voted && self.ran >= self.terms.step_after.into() {
                    let last = usize::from(stage) + 1 >= self.terms.stages.len();
                    let phase = if last {
                        Phase::Released
                    } else {
                        Phase::OnTrial
                    };
                    self.enter(phase, if last { stage } else { stage + 1 }, now);
                    steps.push(Step::Tell);
                }
            }
        }
        steps
    }

    /// Has a share of the places run a build.
    fn replace(&mut self, build: u16, share: f64, steps: &mut Vec<Step>) {
        let many = (share * self.places.len() as f64).ceil() as usize;
        for (place, (now, at)) in self.places.iter_mut().enumerate().take(many) {
            if *now != build && *at == At::Settled {
                (*now, *at) = (build, At::Starting);
                steps.push(Step::Start {
                    place: PlaceNo(place),
                    build,
                });
            }
        }
    }
}

impl Installer {
    /// The build that a place is to run.
    pub fn build_at(&self, place: PlaceNo) -> u16 {
        self.places
            .get(place.0)
            .map_or(self.before, |(build, _)| *build)
    }
}
