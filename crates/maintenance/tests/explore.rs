//! A grant's life in every order: two machines of which one may be out, a sidecar that hears all and one whose words are lost or late,
//! that reads or does not and starts anew; leaders that are deposed and go on giving leases for a while. Whoever may send sends at once,
//! each hit lasts as long as it may, and the agent begins as soon as it may: the worst of all for what must never be.
//!
//! Time goes in steps of a second: a lease lasts two, a drain's grace and the longest hit one each.

use limewing_maintenance::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

const LASTS: u64 = 2;
const STEPS: u64 = 13;
/// A leader that was deposed believes so long that it leads.
const SLACK: u64 = 1;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    None,
    /// What a silent sidecar had sent before its lease ended is not waited for.
    NothingSettles,
    /// A lease counts from when its answer came.
    FromTheAnswer,
    /// A new leader knows nothing of its predecessor's leases, and does not wait for them.
    NoPredecessor,
    /// A sidecar says that it is clear as soon as it has stopped sending.
    ClearTooEarly,
    /// Machines go though a sidecar does not know the list.
    Unknown,
    /// Whoever leads forgets a sidecar's earlier start once it knows of a later one.
    Forgets,
    /// A restarted sidecar sends at once, by the node list alone.
    SendsUnread,
}

#[derive(Clone, Debug)]
struct Car {
    start: u64,
    read: usize,
    lease: Lease,
    /// Whether it ever had one.
    told: bool,
    /// An answer that is late: its number, and what was settled.
    late: Option<(u64, u64)>,
    clearing: DrainTracker,
    since: BTreeMap<String, u64>,
    /// Machines that a hit is open on, until when.
    open: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Fleet {
    now: u64,
    log: Vec<Command>,
    cars: Vec<Car>,
    leader: Scheduler,
    /// One that was deposed, and until when it believes that it leads.
    old: Option<(Scheduler, u64)>,
    deposed: u8,
    working: Option<(Identifier, String, u64)>,
    plant: Plant,
}

/// What may happen to the second sidecar and to whoever leads within one step.
#[derive(Clone, Copy, Debug)]
struct Chance {
    asks: Asks,
    reads: bool,
    restarts: bool,
    deposed: bool,
    leads_on: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    Lost,
    AnswerLost,
    AnswerLate,
    Answered,
    /// Answered by one that was deposed.
    ByTheOld,
}

fn turns(log: &[Command], read: usize) -> MaintenanceSchedule {
    let mut turns = MaintenanceSchedule::default();
    for (place, word) in log.iter().take(read).enumerate() {
        // What is refused changes nothing, at all readers alike.
        let _ = turns.apply(place as u64 + 1, word);
    }
    turns
}

fn pods() -> Vec<Pod> {
    let pod = |n: u32| Pod {
        machine: format!("m{n}"),
        zone: "z".into(),
        capacity: 1.0,
        draining: false,
        uptime_seconds: None,
    };
    (0..2).map(pod).collect()
}

fn car(now: u64, start: u64) -> Car {
    let (lease, since, open) = (
        Lease::new(s(now), s(LASTS)),
        BTreeMap::new(),
        BTreeMap::new(),
    );
    Car {
        start,
        read: 0,
        lease,
        told: false,
        late: None,
        clearing: DrainTracker::new(s(1)),
        since,
        open,
    }
}

impl Fleet {
    fn new(plant: Plant) -> Self {
        let limits = DisruptionLimits {
            max_unavailable: 1,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        };
        let terms = ListConfig {
            name: "a".into(),
            limits,
            work_duration_ms: 0,
            stall_timeout_ms: 9_999_999,
            windows: Vec::new(),
            priority: 0,
            allowed_during_trials: true,
        };
        let machine = |n: u32| Machine {
            name: format!("m{n}"),
            zone: "z".into(),
            kind: "k".into(),
            capacity: 1.0,
        };
        let log = vec![
            Command::SidecarStarted {
                name: "c0".into(),
                incarnation: 1,
            },
            Command::SidecarStarted {
                name: "c1".into(),
                incarnation: 1,
            },
            Command::CreateList {
                list: Identifier(1),
                config: terms,
                machine_count: 2,
            },
            Command::AddMachines {
                list: Identifier(1),
                first: 0,
                machines: (0..2).map(machine).collect(),
            },
        ];
        let leader = Self::lessor(0, 0, plant);
        let cars = vec![car(0, 1), car(0, 1)];
        Self {
            now: 0,
            log,
            cars,
            leader,
            old: None,
            deposed: 0,
            working: None,
            plant,
        }
    }

    fn lessor(now: u64, term: u64, plant: Plant) -> Scheduler {
        let settles = if plant == Plant::NothingSettles {
            s(0)
        } else {
            s(2) + s(LASTS) / 4
        };
        // One that does not wait began to lead long ago, for all that it knows.
        let since = if plant == Plant::NoPredecessor {
            s(0)
        } else {
            s(now)
        };
        Scheduler::new(
            s(now),
            term,
            LeaseGrantor::new(since, s(LASTS), s(SLACK), settles),
        )
    }

    fn closed(&self, of: &Car) -> Option<BTreeSet<String>> {
        let turns = turns(&self.log, of.read);
        // One that was told nothing yet is not let off: the one exception is left out.
        if !of.told && self.plant != Plant::SendsUnread {
            return None;
        }
        if !of.told {
            return Some(BTreeSet::new());
        }
        of.lease
            .closed_machines(s(self.now), of.read as u64, &turns)
    }

    fn clear(&self, of: &Car) -> Vec<Identifier> {
        let turns = turns(&self.log, of.read);
        if self.plant == Plant::ClearTooEarly {
            let shut = |machine: &Machine| of.since.contains_key(&machine.name);
            return turns
                .closed_machines()
                .filter(|(machine, _)| shut(machine))
                .map(|(_, grant)| grant)
                .collect();
        }
        let quiet = of.clearing.past_grace(s(self.now), &turns);
        quiet
            .filter(|(machine, _)| !of.open.contains_key(*machine))
            .map(|(_, grant)| grant)
            .collect()
    }

    fn asks(&mut self, number: usize, how: Asks) {
        let now = self.now;
        let mut of = self.cars[number].clone();
        let (name, clear, settled) = (format!("c{number}"), self.clear(&of), self.log.len() as u64);
        let (no, turns) = (of.lease.request(s(now)), turns(&self.log, self.log.len()));
        let heard = (of.read as u64, &clear[..], 0);
        let known = turns.sidecars().get(&name) == Some(&of.start);
        let by_the_old = how == Asks::ByTheOld;
        let leader = match &mut self.old {
            Some((old, until)) if by_the_old && now <= *until => old,
            _ if by_the_old => return,
            _ => &mut self.leader,
        };
        if how != Asks::Lost {
            if self.plant == Plant::Forgets && !known {
                leader.grantor = LeaseGrantor::new(s(0), s(LASTS), s(0), s(0));
            }
            let given = leader
                .grantor
                .lease_requested(s(now), &turns, (&name, of.start), heard);
            if !known && !by_the_old {
                self.log.push(Command::SidecarStarted {
                    name,
                    incarnation: of.start,
                });
            }
            match how {
                Asks::Answered | Asks::ByTheOld if given => {
                    of.lease.granted(no, settled);
                    of.told = true;
                }
                Asks::AnswerLate if given => of.late = Some((no, settled)),
                _ => {}
            }
        }
        self.cars[number] = of;
    }

    /// One step; what is broken in it, if something is.
    fn step(&mut self, chance: Chance) -> Option<String> {
        self.now += 1;
        let now = self.now;
        if chance.restarts {
            let start = self.cars[1].start + 1;
            // What the process had out is gone with it, and is over at the pod when its time is.
            let open = self.cars[1].open.clone();
            self.cars[1] = Car {
                open,
                ..car(now, start)
            };
        }
        if chance.deposed {
            self.deposed += 1;
            let next = Self::lessor(now, u64::from(self.deposed), self.plant);
            self.old = Some((std::mem::replace(&mut self.leader, next), now + SLACK));
        }
        // What is late comes in some step in which nothing else does.
        let comes = chance.asks == Asks::Lost && !chance.reads && chance.leads_on;
        if let Some((no, settled)) = self.cars[1].late.take_if(|_| comes) {
            if self.plant == Plant::FromTheAnswer {
                let again = self.cars[1].lease.request(s(now));
                self.cars[1].lease.granted(again, settled);
            } else {
                self.cars[1].lease.granted(no, settled);
            }
            self.cars[1].told = true;
        }
        self.cars[0].read = self.log.len();
        if chance.reads {
            self.cars[1].read = self.log.len();
        }
        self.send();
        self.asks(0, Asks::Answered);
        self.asks(1, chance.asks);
        if chance.leads_on {
            self.lead();
        }
        self.agent()
    }

    /// All that may be sent is, and lasts for as long as it may.
    fn send(&mut self) {
        let now = self.now;
        for number in 0..2 {
            let closed = self.closed(&self.cars[number]);
            let of = &mut self.cars[number];
            of.open.retain(|_, until| now <= *until);
            of.clearing
                .set_closed(s(now), &closed.clone().unwrap_or_default());
            for machine in ["m0", "m1"] {
                let shut = closed
                    .as_ref()
                    .is_none_or(|closed| closed.contains(machine));
                if !shut {
                    of.since.remove(machine);
                } else if closed.is_some() {
                    of.since.entry(machine.into()).or_insert(now);
                }
                // Within the grace something may still go there; not from one that has never served.
                let grace = of.since.get(machine).is_some_and(|since| now <= *since);
                if closed.is_some() && (!shut || grace) {
                    of.open.insert(machine.into(), now + 1);
                }
            }
        }
    }

    fn lead(&mut self) {
        for _ in 0..4 {
            let turns = turns(&self.log, self.log.len());
            let (pods, read) = (pods(), self.log.len() as u64);
            let sight = FleetObservation {
                pods: &pods,
                warm_up_seconds: 1.0,
                release_on_trial: false,
            };
            // Time in the log goes with the steps, so that machines get warm.
            let at = self.now * 1000;
            let word = self.leader.next_command(
                s(self.now),
                at,
                (&turns, read),
                &ZoneTracker::default(),
                &sight,
            );
            let known = turns
                .lists()
                .get(&Identifier(1))
                .is_some_and(|list| list.known);
            match word {
                Some(word) => self.log.push(word),
                None if self.plant == Plant::Unknown && !known => {
                    self.log.push(Command::ListKnown {
                        list: Identifier(1),
                    });
                }
                None => return,
            }
        }
    }

    /// The machine's agent begins and ends work at once, by what is settled; what must never be is looked for all the while.
    fn agent(&mut self) -> Option<String> {
        let turns = turns(&self.log, self.log.len());
        let out = |step: MachinePhase| {
            turns
                .lists()
                .values()
                .flat_map(|l| &l.machines)
                .filter(move |w| w.phase == step)
        };
        let many = turns
            .lists()
            .values()
            .flat_map(|l| &l.machines)
            .filter(|way| way.phase.is_unavailable())
            .count();
        if many > 1 {
            return Some(format!("{many} machines are out"));
        }
        if let Some((grant, machine, ends)) = self.working.clone() {
            if self.now >= ends {
                self.working = None;
                self.log.push(Command::WorkEnded {
                    grant,
                    succeeded: true,
                });
            } else {
                return self.touched(&machine);
            }
        } else if let Some(way) = out(MachinePhase::InMaintenance).next() {
            let grant = way.grant?;
            self.working = Some((grant, way.machine.name.clone(), self.now + 1));
            return self.touched(&way.machine.name);
        }
        None
    }

    fn touched(&self, machine: &str) -> Option<String> {
        let one = self
            .cars
            .iter()
            .position(|car| car.open.contains_key(machine))?;
        Some(format!(
            "{machine} is worked on, and c{one} has a hit open there"
        ))
    }

    fn key(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

fn chances(fleet: &Fleet, restarted: bool) -> Vec<Chance> {
    let mut all = Vec::new();
    let old = fleet
        .old
        .as_ref()
        .is_some_and(|(_, until)| fleet.now < *until);
    for asks in [
        Asks::Answered,
        Asks::Lost,
        Asks::AnswerLost,
        Asks::AnswerLate,
        Asks::ByTheOld,
    ] {
        if asks == Asks::ByTheOld && !old {
            continue;
        }
        for reads in [true, false] {
            let chance = Chance {
                asks,
                reads,
                restarts: false,
                deposed: false,
                leads_on: true,
            };
            all.push(chance);
            all.push(Chance {
                deposed: true,
                ..chance
            });
            all.push(Chance {
                restarts: true,
                ..chance
            });
        }
    }
    all.push(Chance {
        asks: Asks::Lost,
        reads: false,
        restarts: false,
        deposed: false,
        leads_on: false,
    });
    let again =
        |chance: &Chance| (chance.deposed && fleet.deposed >= 1) || (chance.restarts && restarted);
    all.retain(|chance| !again(chance));
    all
}

/// All that can happen, in a drawn order, up to `most` states; the first thing broken, and what led there; and how many states were seen.
fn explore(plant: Plant, most: usize) -> (Option<(String, Vec<Chance>)>, usize, bool) {
    let (mut known, mut done) = (HashSet::new(), false);
    let mut open = vec![(Fleet::new(plant), Vec::new(), false)];
    let mut drawn = nanorand::WyRand::new_seed(9);
    while !open.is_empty() {
        let at = nanorand::Rng::generate_range(&mut drawn, 0..open.len());
        let (fleet, way, restarted) = open.swap_remove(at);
        if known.len() >= most {
            break;
        }
        for chance in chances(&fleet, restarted) {
            let (mut next, mut way): (Fleet, Vec<Chance>) = (fleet.clone(), way.clone());
            way.push(chance);
            if let Some(broken) = next.step(chance) {
                return (Some((broken, way)), known.len(), done);
            }
            let turns = turns(&next.log, next.log.len());
            done |= turns
                .lists()
                .values()
                .flat_map(|list| &list.machines)
                .any(|way| way.phase == MachinePhase::Done);
            if next.now < STEPS && known.insert(next.key()) {
                open.push((next, way, restarted || chance.restarts));
            }
        }
    }
    (None, known.len(), done)
}

const STATES: usize = 40_000;

#[test]
fn in_no_order_is_a_machine_touched_while_it_is_worked_on() {
    let (broken, states, done) = explore(Plant::None, STATES);
    println!("{states} states");
    assert!(broken.is_none(), "{broken:#?}");
    assert!(done, "in some order a machine is done");
}

#[rstest]
#[case::nothing_settles(Plant::NothingSettles)]
#[case::from_the_answer(Plant::FromTheAnswer)]
#[case::no_predecessor(Plant::NoPredecessor)]
#[case::clear_too_early(Plant::ClearTooEarly)]
#[case::unknown(Plant::Unknown)]
#[case::forgets(Plant::Forgets)]
#[case::sends_unread(Plant::SendsUnread)]
fn planted_faults_are_found(#[case] plant: Plant) {
    let (broken, states, _) = explore(plant, STATES * 3);
    let (broken, way) =
        broken.unwrap_or_else(|| panic!("{plant:?} was not found in {states} states"));
    println!(
        "{plant:?}: {broken}, after {} steps, {states} states",
        way.len()
    );
}
