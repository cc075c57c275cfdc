//! Random interleavings of the phases of a grant. The model has two machines, of which one may be
//! unavailable; a sidecar that receives everything; a sidecar whose messages are lost or late, that
//! lags behind the log and restarts; and leaders that are deposed and continue to grant leases for
//! a while. Each sidecar sends whenever it may, each request lasts as long as it may, and work
//! begins as soon as it may.
//!
//! Time advances in steps of one second. A lease lasts two steps, and the drain grace period and
//! the longest request last one step each.

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
/// Time for which a deposed leader believes that it leads.
const OVERLAP_SECONDS: u64 = 1;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// The leader does not wait for requests in flight of a sidecar whose lease has expired.
    RequestsInFlightIgnored,
    /// A lease is counted from the arrival of its response.
    LeaseFromResponse,
    /// A new leader neither knows its predecessor's leases nor waits for them.
    PredecessorIgnored,
    /// A sidecar reports a machine as drained as soon as it stops sending there.
    DrainedTooEarly,
    /// Machines are taken out of service although a sidecar does not know the list.
    ListNotKnown,
    /// The leader forgets the earlier process of a sidecar once it knows a later one.
    EarlierProcessForgotten,
    /// A restarted sidecar sends at once, based on the endpoint list alone.
    SendsBeforeFirstLease,
}

#[derive(Clone, Debug)]
struct Sidecar {
    incarnation: u64,
    applied: usize,
    lease: Lease,
    /// Whether the sidecar ever had a lease.
    had_lease: bool,
    /// Request number and commit index of a late response.
    late_response: Option<(u64, u64)>,
    drain_tracker: DrainTracker,
    closed_since: BTreeMap<String, u64>,
    /// End of the request in flight, by machine.
    in_flight: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Fleet {
    now: u64,
    log: Vec<Command>,
    sidecars: Vec<Sidecar>,
    leader: Scheduler,
    /// A deposed leader, and the time until which it believes that it leads.
    old: Option<(Scheduler, u64)>,
    deposed: u8,
    working: Option<(Identifier, String, u64)>,
    bug: InjectedBug,
}

/// Events of one step that affect the second sidecar and the leader.
#[derive(Clone, Copy, Debug)]
struct Choice {
    exchange: LeaseExchange,
    applies_log: bool,
    restarts: bool,
    deposed: bool,
    leader_acts: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseExchange {
    RequestLost,
    ResponseLost,
    ResponseLate,
    Granted,
    /// The lease is granted by a deposed leader.
    GrantedByDeposed,
}

fn schedule(log: &[Command], applied: usize) -> MaintenanceSchedule {
    let mut schedule = MaintenanceSchedule::default();
    for (position, command) in log.iter().take(applied).enumerate() {
        // A rejected command changes nothing, and all readers of the log reject it.
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
    let (lease, closed_since, in_flight) = (
        Lease::new(seconds(now), seconds(LEASE_SECONDS)),
        BTreeMap::new(),
        BTreeMap::new(),
    );
    Sidecar {
        incarnation,
        applied: 0,
        lease,
        had_lease: false,
        late_response: None,
        drain_tracker: DrainTracker::new(seconds(1)),
        closed_since,
        in_flight,
    }
}

impl Fleet {
    fn new(bug: InjectedBug) -> Self {
        let limits = DisruptionLimits {
            max_unavailable: 1,
            max_rejection_rate: 1.0,
            ..DisruptionLimits::default()
        };
        let config = ListConfig {
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
                config,
                machine_count: 2,
            },
            Command::AddMachines {
                list: Identifier(1),
                first: 0,
                machines: (0..2).map(machine).collect(),
            },
        ];
        let leader = Self::new_leader(0, 0, bug);
        let sidecars = vec![new_sidecar(0, 1), new_sidecar(0, 1)];
        Self {
            now: 0,
            log,
            sidecars,
            leader,
            old: None,
            deposed: 0,
            working: None,
            bug,
        }
    }

    fn new_leader(now: u64, term: u64, bug: InjectedBug) -> Scheduler {
        let completion = if bug == InjectedBug::RequestsInFlightIgnored {
            seconds(0)
        } else {
            seconds(2) + seconds(LEASE_SECONDS) / 4
        };
        // A leader that does not wait for its predecessor's leases acts as if it had led for a long
        // time.
        let leading_since = if bug == InjectedBug::PredecessorIgnored {
            seconds(0)
        } else {
            seconds(now)
        };
        Scheduler::new(
            seconds(now),
            term,
            LeaseGrantor::new(
                leading_since,
                seconds(LEASE_SECONDS),
                seconds(OVERLAP_SECONDS),
                completion,
            ),
        )
    }

    fn closed(&self, sidecar: &Sidecar) -> Option<BTreeSet<String>> {
        let schedule = schedule(&self.log, sidecar.applied);
        // A sidecar without a first lease sends nothing; `MAX_START_WAIT` is not part of the model.
        if !sidecar.had_lease && self.bug != InjectedBug::SendsBeforeFirstLease {
            return None;
        }
        if !sidecar.had_lease {
            return Some(BTreeSet::new());
        }
        sidecar
            .lease
            .closed_machines(seconds(self.now), sidecar.applied as u64, &schedule)
    }

    fn drained_grants(&self, sidecar: &Sidecar) -> Vec<Identifier> {
        let schedule = schedule(&self.log, sidecar.applied);
        if self.bug == InjectedBug::DrainedTooEarly {
            let is_closed = |machine: &Machine| sidecar.closed_since.contains_key(&machine.name);
            return schedule
                .closed_machines()
                .filter(|(machine, _)| is_closed(machine))
                .map(|(_, grant)| grant)
                .collect();
        }
        let past_grace = sidecar
            .drain_tracker
            .past_grace(seconds(self.now), &schedule);
        past_grace
            .filter(|(machine, _)| !sidecar.in_flight.contains_key(*machine))
            .map(|(_, grant)| grant)
            .collect()
    }

    fn exchange(&mut self, number: usize, outcome: LeaseExchange) {
        let now = self.now;
        let mut sidecar = self.sidecars[number].clone();
        let (name, drained, commit_index) = (
            format!("c{number}"),
            self.drained_grants(&sidecar),
            self.log.len() as u64,
        );
        let (request, schedule) = (
            sidecar.lease.request(seconds(now)),
            schedule(&self.log, self.log.len()),
        );
        let report = SidecarReport {
            applied_index: sidecar.applied as u64,
            drained: &drained,
            rejected_per_mille: 0,
        };
        let is_known = schedule.sidecars().get(&name) == Some(&sidecar.incarnation);
        let by_deposed = outcome == LeaseExchange::GrantedByDeposed;
        let leader = match &mut self.old {
            Some((old, until)) if by_deposed && now <= *until => old,
            _ if by_deposed => return,
            _ => &mut self.leader,
        };
        if outcome != LeaseExchange::RequestLost {
            if self.bug == InjectedBug::EarlierProcessForgotten && !is_known {
                leader.grantor =
                    LeaseGrantor::new(seconds(0), seconds(LEASE_SECONDS), seconds(0), seconds(0));
            }
            let granted = leader.grantor.handle_lease_request(
                seconds(now),
                &schedule,
                SidecarProcess {
                    name: &name,
                    incarnation: sidecar.incarnation,
                },
                report,
            );
            if !is_known && !by_deposed {
                self.log.push(Command::SidecarStarted {
                    name,
                    incarnation: sidecar.incarnation,
                });
            }
            match outcome {
                LeaseExchange::Granted | LeaseExchange::GrantedByDeposed if granted => {
                    sidecar.lease.granted(request, commit_index);
                    sidecar.had_lease = true;
                }
                LeaseExchange::ResponseLate if granted => {
                    sidecar.late_response = Some((request, commit_index))
                }
                _ => {}
            }
        }
        self.sidecars[number] = sidecar;
    }

    /// Runs one step and returns the violation, if any.
    fn step(&mut self, choice: Choice) -> Option<String> {
        self.now += 1;
        let now = self.now;
        if choice.restarts {
            let incarnation = self.sidecars[1].incarnation + 1;
            // Requests in flight of the old process continue at the pod until they end.
            let in_flight = self.sidecars[1].in_flight.clone();
            self.sidecars[1] = Sidecar {
                in_flight,
                ..new_sidecar(now, incarnation)
            };
        }
        if choice.deposed {
            self.deposed += 1;
            let next = Self::new_leader(now, u64::from(self.deposed), self.bug);
            self.old = Some((
                std::mem::replace(&mut self.leader, next),
                now + OVERLAP_SECONDS,
            ));
        }
        // A late response arrives in a step in which nothing else arrives.
        let late_response_arrives = choice.exchange == LeaseExchange::RequestLost
            && !choice.applies_log
            && choice.leader_acts;
        if let Some((request, commit_index)) = self.sidecars[1]
            .late_response
            .take_if(|_| late_response_arrives)
        {
            if self.bug == InjectedBug::LeaseFromResponse {
                let new_request = self.sidecars[1].lease.request(seconds(now));
                self.sidecars[1].lease.granted(new_request, commit_index);
            } else {
                self.sidecars[1].lease.granted(request, commit_index);
            }
            self.sidecars[1].had_lease = true;
        }
        self.sidecars[0].applied = self.log.len();
        if choice.applies_log {
            self.sidecars[1].applied = self.log.len();
        }
        self.send();
        self.exchange(0, LeaseExchange::Granted);
        self.exchange(1, choice.exchange);
        if choice.leader_acts {
            self.act_as_leader();
        }
        self.run_machine_agent()
    }

    /// Sends every permitted request, with the maximum duration.
    fn send(&mut self) {
        let now = self.now;
        for number in 0..2 {
            let closed = self.closed(&self.sidecars[number]);
            let sidecar = &mut self.sidecars[number];
            sidecar.in_flight.retain(|_, until| now <= *until);
            sidecar
                .drain_tracker
                .set_closed(seconds(now), &closed.clone().unwrap_or_default());
            for machine in ["m0", "m1"] {
                let is_closed = closed
                    .as_ref()
                    .is_none_or(|closed| closed.contains(machine));
                if !is_closed {
                    sidecar.closed_since.remove(machine);
                } else if closed.is_some() {
                    sidecar.closed_since.entry(machine.into()).or_insert(now);
                }
                // Within the grace period a sidecar may still send there, unless it has never
                // served.
                let is_within_grace = sidecar
                    .closed_since
                    .get(machine)
                    .is_some_and(|since| now <= *since);
                if closed.is_some() && (!is_closed || is_within_grace) {
                    sidecar.in_flight.insert(machine.into(), now + 1);
                }
            }
        }
    }

    fn act_as_leader(&mut self) {
        for _ in 0..4 {
            let schedule = schedule(&self.log, self.log.len());
            let (pods, applied) = (pods(), self.log.len() as u64);
            let observation = FleetObservation {
                pods: &pods,
                warm_up_seconds: 1.0,
                release_on_trial: false,
            };
            // The log time advances with the steps so that machines warm up.
            let log_now_ms = self.now * 1000;
            let command = self.leader.next_command(
                seconds(self.now),
                log_now_ms,
                &schedule,
                applied,
                &ZoneTracker::default(),
                &observation,
            );
            let is_list_known = schedule
                .lists()
                .get(&Identifier(1))
                .is_some_and(|list| list.known);
            match command {
                Some(command) => self.log.push(command),
                None if self.bug == InjectedBug::ListNotKnown && !is_list_known => {
                    self.log.push(Command::ListKnown {
                        list: Identifier(1),
                    });
                }
                None => return,
            }
        }
    }

    /// Begins and ends work as soon as the log permits it. Returns a violation if requests are sent
    /// to a machine during its work.
    fn run_machine_agent(&mut self) -> Option<String> {
        let schedule = schedule(&self.log, self.log.len());
        let machines_in = |phase: MachinePhase| {
            schedule
                .lists()
                .values()
                .flat_map(|list| &list.machines)
                .filter(move |state| state.phase == phase)
        };
        let unavailable_count = schedule
            .lists()
            .values()
            .flat_map(|list| &list.machines)
            .filter(|state| state.phase.is_unavailable())
            .count();
        if unavailable_count > 1 {
            return Some(format!("{unavailable_count} machines are unavailable"));
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
        } else if let Some(state) = machines_in(MachinePhase::InMaintenance).next() {
            let grant = state.grant?;
            self.working = Some((grant, state.machine.name.clone(), self.now + 1));
            return self.find_request_in_flight(&state.machine.name);
        }
        None
    }

    fn find_request_in_flight(&self, machine: &str) -> Option<String> {
        let number = self
            .sidecars
            .iter()
            .position(|sidecar| sidecar.in_flight.contains_key(machine))?;
        Some(format!(
            "{machine} is worked on, and c{number} has a request in flight there"
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
    let has_deposed_leader = fleet
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
        if exchange == LeaseExchange::GrantedByDeposed && !has_deposed_leader {
            continue;
        }
        for applies_log in [true, false] {
            let choice = Choice {
                exchange,
                applies_log,
                restarts: false,
                deposed: false,
                leader_acts: true,
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
        applies_log: false,
        restarts: false,
        deposed: false,
        leader_acts: false,
    });
    let is_repeated =
        |choice: &Choice| (choice.deposed && fleet.deposed >= 1) || (choice.restarts && restarted);
    all.retain(|choice| !is_repeated(choice));
    all
}

/// Explores random interleavings up to `max_states` states. Returns the first violation with the
/// choices that led to it, the number of states, and whether a machine reached the phase `Done` in
/// one of them.
fn explore(bug: InjectedBug, max_states: usize) -> (Option<(String, Vec<Choice>)>, usize, bool) {
    let (mut known, mut reaches_done) = (HashSet::new(), false);
    let mut frontier = vec![(Fleet::new(bug), Vec::new(), false)];
    let mut rng = nanorand::WyRand::new_seed(9);
    while !frontier.is_empty() {
        let index = nanorand::Rng::generate_range(&mut rng, 0..frontier.len());
        let (fleet, path, restarted) = frontier.swap_remove(index);
        if known.len() >= max_states {
            break;
        }
        for choice in choices(&fleet, restarted) {
            let (mut next, mut path): (Fleet, Vec<Choice>) = (fleet.clone(), path.clone());
            path.push(choice);
            if let Some(violation) = next.step(choice) {
                return (Some((violation, path)), known.len(), reaches_done);
            }
            let schedule = schedule(&next.log, next.log.len());
            reaches_done |= schedule
                .lists()
                .values()
                .flat_map(|list| &list.machines)
                .any(|state| state.phase == MachinePhase::Done);
            if next.now < STEPS && known.insert(next.key()) {
                frontier.push((next, path, restarted || choice.restarts));
            }
        }
    }
    (None, known.len(), reaches_done)
}

const STATES: usize = 40_000;

#[test]
fn no_sidecar_sends_to_a_machine_in_maintenance_under_any_interleaving() {
    let (violation, states, reaches_done) = explore(InjectedBug::None, STATES);
    println!("{states} states");
    assert!(violation.is_none(), "{violation:#?}");
    assert!(
        reaches_done,
        "no explored order completes the maintenance of a machine"
    );
}

#[rstest]
#[case::requests_in_flight_ignored(InjectedBug::RequestsInFlightIgnored)]
#[case::lease_from_response(InjectedBug::LeaseFromResponse)]
#[case::predecessor_ignored(InjectedBug::PredecessorIgnored)]
#[case::drained_too_early(InjectedBug::DrainedTooEarly)]
#[case::list_not_known(InjectedBug::ListNotKnown)]
#[case::earlier_process_forgotten(InjectedBug::EarlierProcessForgotten)]
#[case::sends_before_first_lease(InjectedBug::SendsBeforeFirstLease)]
fn exploration_detects_injected_bugs(#[case] bug: InjectedBug) {
    let (violation, states, _) = explore(bug, STATES * 3);
    let (violation, path) =
        violation.unwrap_or_else(|| panic!("{bug:?} was not detected in {states} states"));
    println!(
        "{bug:?}: {violation}, after {} steps, {states} states",
        path.len()
    );
}
