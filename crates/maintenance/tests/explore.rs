//! The phases of a grant under random interleavings: two machines of which one may be unavailable; a sidecar that receives everything, and
//! one whose messages are lost or late, that lags behind the log and restarts; and leaders that are deposed and go on granting leases
//! for a while. Each sidecar sends whenever it may, each request lasts as long as it may, and work begins as soon as it may.
//!
//! Time goes in steps of a second: a lease lasts two, a drain's grace and the longest request one each.

use limewing_maintenance::{
    Command, DisruptionLimits, DrainTracker, FleetObservation, Identifier, Lease, LeaseGrantor,
    ListConfig, Machine, MachinePhase, MaintenanceSchedule, Pod, Scheduler, SidecarProcess,
    SidecarReport, ZoneTracker,
};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

const LEASE_SECONDS: u64 = 2;
const STEPS: u64 = 13;
/// How long a deposed leader believes that it leads.
const OVERLAP_SECONDS: u64 = 1;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// Requests in flight of a sidecar whose lease has expired are not waited for.
    RequestsInFlightIgnored,
    /// A lease counts from when its response came.
    LeaseFromResponse,
    /// A new leader knows nothing of its predecessor's leases, and does not wait for them.
    PredecessorIgnored,
    /// A sidecar reports to be drained as soon as it has stopped sending.
    DrainedTooEarly,
    /// Machines are taken out though a sidecar does not know the list.
    ListNotKnown,
    /// The leader forgets a sidecar's earlier process once it knows a later one.
    EarlierProcessForgotten,
    /// A restarted sidecar sends at once, by the endpoint list alone.
    SendsBeforeFirstLease,
}

#[derive(Clone, Debug)]
struct Sidecar {
    incarnation: u64,
    applied: usize,
    lease: Lease,
    /// Whether it ever had a lease.
    had_lease: bool,
    /// A response that is late: number of the request, and commit index.
    late: Option<(u64, u64)>,
    drain_tracker: DrainTracker,
    since: BTreeMap<String, u64>,
    /// Machines with a request in flight, until when.
    in_flight: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Fleet {
    now: u64,
    log: Vec<Command>,
    sidecars: Vec<Sidecar>,
    leader: Scheduler,
    /// A deposed leader, and until when it believes that it leads.
    old: Option<(Scheduler, u64)>,
    deposed: u8,
    working: Option<(Identifier, String, u64)>,
    planted: PlantedFault,
}

/// What may happen to the second sidecar and to the leader within one step.
#[derive(Clone, Copy, Debug)]
struct Choice {
    exchange: LeaseExchange,
    reads: bool,
    restarts: bool,
    deposed: bool,
    leads_on: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseExchange {
    RequestLost,
    ResponseLost,
    ResponseLate,
    Granted,
    /// Granted by a deposed leader.
    GrantedByDeposed,
}

fn schedule(log: &[Command], applied: usize) -> MaintenanceSchedule {
    let mut schedule = MaintenanceSchedule::default();
    for (position, command) in log.iter().take(applied).enumerate() {
        // A rejected command changes nothing, at all readers alike.
        let _ = schedule.apply(position as u64 + 1, command);
    }
    schedule
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

fn new_sidecar(now: u64, incarnation: u64) -> Sidecar {
    let (lease, since, in_flight) = (
        Lease::new(s(now), s(LEASE_SECONDS)),
        BTreeMap::new(),
        BTreeMap::new(),
    );
    Sidecar {
        incarnation,
        applied: 0,
        lease,
        had_lease: false,
        late: None,
        drain_tracker: DrainTracker::new(s(1)),
        since,
        in_flight,
    }
}

impl Fleet {
    fn new(planted: PlantedFault) -> Self {
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
        let leader = Self::lessor(0, 0, planted);
        let sidecars = vec![new_sidecar(0, 1), new_sidecar(0, 1)];
        Self {
            now: 0,
            log,
            sidecars,
            leader,
            old: None,
            deposed: 0,
            working: None,
            planted,
        }
    }

    fn lessor(now: u64, term: u64, planted: PlantedFault) -> Scheduler {
        let settles = if planted == PlantedFault::RequestsInFlightIgnored {
            s(0)
        } else {
            s(2) + s(LEASE_SECONDS) / 4
        };
        // A leader that does not wait for its predecessor's leases takes itself to have led for long.
        let since = if planted == PlantedFault::PredecessorIgnored {
            s(0)
        } else {
            s(now)
        };
        Scheduler::new(
            s(now),
            term,
            LeaseGrantor::new(since, s(LEASE_SECONDS), s(OVERLAP_SECONDS), settles),
        )
    }

    fn closed(&self, of: &Sidecar) -> Option<BTreeSet<String>> {
        let schedule = schedule(&self.log, of.applied);
        // A sidecar without a first lease sends nothing; `MAX_START_WAIT` is left out of the model.
        if !of.had_lease && self.planted != PlantedFault::SendsBeforeFirstLease {
            return None;
        }
        if !of.had_lease {
            return Some(BTreeSet::new());
        }
        of.lease
            .closed_machines(s(self.now), of.applied as u64, &schedule)
    }

    fn drained_grants(&self, of: &Sidecar) -> Vec<Identifier> {
        let schedule = schedule(&self.log, of.applied);
        if self.planted == PlantedFault::DrainedTooEarly {
            let is_closed = |machine: &Machine| of.since.contains_key(&machine.name);
            return schedule
                .closed_machines()
                .filter(|(machine, _)| is_closed(machine))
                .map(|(_, grant)| grant)
                .collect();
        }
        let quiet = of.drain_tracker.past_grace(s(self.now), &schedule);
        quiet
            .filter(|(machine, _)| !of.in_flight.contains_key(*machine))
            .map(|(_, grant)| grant)
            .collect()
    }

    fn exchange(&mut self, number: usize, how: LeaseExchange) {
        let now = self.now;
        let mut of = self.sidecars[number].clone();
        let (name, clear, settled) = (
            format!("c{number}"),
            self.drained_grants(&of),
            self.log.len() as u64,
        );
        let (no, schedule) = (
            of.lease.request(s(now)),
            schedule(&self.log, self.log.len()),
        );
        let report = SidecarReport {
            applied_index: of.applied as u64,
            drained: &clear,
            rejected_per_mille: 0,
        };
        let known = schedule.sidecars().get(&name) == Some(&of.incarnation);
        let by_deposed = how == LeaseExchange::GrantedByDeposed;
        let leader = match &mut self.old {
            Some((old, until)) if by_deposed && now <= *until => old,
            _ if by_deposed => return,
            _ => &mut self.leader,
        };
        if how != LeaseExchange::RequestLost {
            if self.planted == PlantedFault::EarlierProcessForgotten && !known {
                leader.grantor = LeaseGrantor::new(s(0), s(LEASE_SECONDS), s(0), s(0));
            }
            let given = leader.grantor.lease_requested(
                s(now),
                &schedule,
                SidecarProcess {
                    name: &name,
                    incarnation: of.incarnation,
                },
                report,
            );
            if !known && !by_deposed {
                self.log.push(Command::SidecarStarted {
                    name,
                    incarnation: of.incarnation,
                });
            }
            match how {
                LeaseExchange::Granted | LeaseExchange::GrantedByDeposed if given => {
                    of.lease.granted(no, settled);
                    of.had_lease = true;
                }
                LeaseExchange::ResponseLate if given => of.late = Some((no, settled)),
                _ => {}
            }
        }
        self.sidecars[number] = of;
    }

    /// Does one step, and returns what it violates.
    fn step(&mut self, choice: Choice) -> Option<String> {
        self.now += 1;
        let now = self.now;
        if choice.restarts {
            let incarnation = self.sidecars[1].incarnation + 1;
            // Requests in flight of the process go on at the pod until their time is over.
            let in_flight = self.sidecars[1].in_flight.clone();
            self.sidecars[1] = Sidecar {
                in_flight,
                ..new_sidecar(now, incarnation)
            };
        }
        if choice.deposed {
            self.deposed += 1;
            let next = Self::lessor(now, u64::from(self.deposed), self.planted);
            self.old = Some((
                std::mem::replace(&mut self.leader, next),
                now + OVERLAP_SECONDS,
            ));
        }
        // A late response arrives in some step in which nothing else does.
        let comes =
            choice.exchange == LeaseExchange::RequestLost && !choice.reads && choice.leads_on;
        if let Some((no, settled)) = self.sidecars[1].late.take_if(|_| comes) {
            if self.planted == PlantedFault::LeaseFromResponse {
                let again = self.sidecars[1].lease.request(s(now));
                self.sidecars[1].lease.granted(again, settled);
            } else {
                self.sidecars[1].lease.granted(no, settled);
            }
            self.sidecars[1].had_lease = true;
        }
        self.sidecars[0].applied = self.log.len();
        if choice.reads {
            self.sidecars[1].applied = self.log.len();
        }
        self.send();
        self.exchange(0, LeaseExchange::Granted);
        self.exchange(1, choice.exchange);
        if choice.leads_on {
            self.lead();
        }
        self.agent()
    }

    /// Sends all that may be sent, for as long as it may last.
    fn send(&mut self) {
        let now = self.now;
        for number in 0..2 {
            let closed = self.closed(&self.sidecars[number]);
            let of = &mut self.sidecars[number];
            of.in_flight.retain(|_, until| now <= *until);
            of.drain_tracker
                .set_closed(s(now), &closed.clone().unwrap_or_default());
            for machine in ["m0", "m1"] {
                let is_closed = closed
                    .as_ref()
                    .is_none_or(|closed| closed.contains(machine));
                if !is_closed {
                    of.since.remove(machine);
                } else if closed.is_some() {
                    of.since.entry(machine.into()).or_insert(now);
                }
                // Within the grace period a sidecar may still send there, unless it has never served.
                let grace = of.since.get(machine).is_some_and(|since| now <= *since);
                if closed.is_some() && (!is_closed || grace) {
                    of.in_flight.insert(machine.into(), now + 1);
                }
            }
        }
    }

    fn lead(&mut self) {
        for _ in 0..4 {
            let schedule = schedule(&self.log, self.log.len());
            let (pods, applied) = (pods(), self.log.len() as u64);
            let sight = FleetObservation {
                pods: &pods,
                warm_up_seconds: 1.0,
                release_on_trial: false,
            };
            // The log's time goes with the steps, so that machines warm up.
            let at = self.now * 1000;
            let command = self.leader.next_command(
                s(self.now),
                at,
                &schedule,
                applied,
                &ZoneTracker::default(),
                &sight,
            );
            let known = schedule
                .lists()
                .get(&Identifier(1))
                .is_some_and(|list| list.known);
            match command {
                Some(command) => self.log.push(command),
                None if self.planted == PlantedFault::ListNotKnown && !known => {
                    self.log.push(Command::ListKnown {
                        list: Identifier(1),
                    });
                }
                None => return,
            }
        }
    }

    /// Begins and ends work as soon as the log allows, and returns a violation if a machine is sent to meanwhile.
    fn agent(&mut self) -> Option<String> {
        let schedule = schedule(&self.log, self.log.len());
        let out = |step: MachinePhase| {
            schedule
                .lists()
                .values()
                .flat_map(|l| &l.machines)
                .filter(move |w| w.phase == step)
        };
        let many = schedule
            .lists()
            .values()
            .flat_map(|l| &l.machines)
            .filter(|state| state.phase.is_unavailable())
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
                return self.find_request_in_flight(&machine);
            }
        } else if let Some(way) = out(MachinePhase::InMaintenance).next() {
            let grant = way.grant?;
            self.working = Some((grant, way.machine.name.clone(), self.now + 1));
            return self.find_request_in_flight(&way.machine.name);
        }
        None
    }

    fn find_request_in_flight(&self, machine: &str) -> Option<String> {
        let one = self
            .sidecars
            .iter()
            .position(|sidecar| sidecar.in_flight.contains_key(machine))?;
        Some(format!(
            "{machine} is worked on, and c{one} has a request in flight there"
        ))
    }

    fn key(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

fn choices(fleet: &Fleet, restarted: bool) -> Vec<Choice> {
    let mut all = Vec::new();
    let old = fleet
        .old
        .as_ref()
        .is_some_and(|(_, until)| fleet.now < *until);
    for exchange in [
        LeaseExchange::Granted,
        LeaseExchange::RequestLost,
        LeaseExchange::ResponseLost,
        LeaseExchange::ResponseLate,
        LeaseExchange::GrantedByDeposed,
    ] {
        if exchange == LeaseExchange::GrantedByDeposed && !old {
            continue;
        }
        for reads in [true, false] {
            let choice = Choice {
                exchange,
                reads,
                restarts: false,
                deposed: false,
                leads_on: true,
            };
            all.push(choice);
            all.push(Choice {
                deposed: true,
                ..choice
            });
            all.push(Choice {
                restarts: true,
                ..choice
            });
        }
    }
    all.push(Choice {
        exchange: LeaseExchange::RequestLost,
        reads: false,
        restarts: false,
        deposed: false,
        leads_on: false,
    });
    let again =
        |choice: &Choice| (choice.deposed && fleet.deposed >= 1) || (choice.restarts && restarted);
    all.retain(|choice| !again(choice));
    all
}

/// Random interleavings up to `most` states: the first violation with the choices that led there, the number of states, and whether a
/// machine was done in one of them.
fn explore(planted: PlantedFault, most: usize) -> (Option<(String, Vec<Choice>)>, usize, bool) {
    let (mut known, mut done) = (HashSet::new(), false);
    let mut open = vec![(Fleet::new(planted), Vec::new(), false)];
    let mut drawn = nanorand::WyRand::new_seed(9);
    while !open.is_empty() {
        let at = nanorand::Rng::generate_range(&mut drawn, 0..open.len());
        let (fleet, way, restarted) = open.swap_remove(at);
        if known.len() >= most {
            break;
        }
        for choice in choices(&fleet, restarted) {
            let (mut next, mut way): (Fleet, Vec<Choice>) = (fleet.clone(), way.clone());
            way.push(choice);
            if let Some(violation) = next.step(choice) {
                return (Some((violation, way)), known.len(), done);
            }
            let schedule = schedule(&next.log, next.log.len());
            done |= schedule
                .lists()
                .values()
                .flat_map(|list| &list.machines)
                .any(|state| state.phase == MachinePhase::Done);
            if next.now < STEPS && known.insert(next.key()) {
                open.push((next, way, restarted || choice.restarts));
            }
        }
    }
    (None, known.len(), done)
}

const STATES: usize = 40_000;

#[test]
fn no_sidecar_sends_to_a_machine_in_maintenance_under_any_interleaving() {
    let (violation, states, done) = explore(PlantedFault::None, STATES);
    println!("{states} states");
    assert!(violation.is_none(), "{violation:#?}");
    assert!(done, "in some order a machine is done");
}

#[rstest]
#[case::requests_in_flight_ignored(PlantedFault::RequestsInFlightIgnored)]
#[case::lease_from_response(PlantedFault::LeaseFromResponse)]
#[case::predecessor_ignored(PlantedFault::PredecessorIgnored)]
#[case::drained_too_early(PlantedFault::DrainedTooEarly)]
#[case::list_not_known(PlantedFault::ListNotKnown)]
#[case::earlier_process_forgotten(PlantedFault::EarlierProcessForgotten)]
#[case::sends_before_first_lease(PlantedFault::SendsBeforeFirstLease)]
fn exploration_finds_planted_faults(#[case] planted: PlantedFault) {
    let (violation, states, _) = explore(planted, STATES * 3);
    let (violation, way) =
        violation.unwrap_or_else(|| panic!("{planted:?} was not found in {states} states"));
    println!(
        "{planted:?}: {violation}, after {} steps, {states} states",
        way.len()
    );
}
