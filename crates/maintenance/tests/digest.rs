//! Pins the decisions of the maintenance core. The digest is one hash over all outputs of a
//! simulated fleet under faults (commands and their results, lease messages, closed machines, the
//! sidecars that delay a grant, the schedule) under twenty fixed seeds. Sidecars restart and lag,
//! messages are lost or delayed, leaders are deposed, zones fail, and work fails or stalls. The
//! digest covers only encoded bytes and numbers, so renaming does not change it.

use limewing_maintenance::{
    ApplyError, BlockedReason, Command, DisruptionLimits, DrainTracker, FleetObservation,
    Identifier, Lease, LeaseGrantor, ListConfig, Machine, MachinePhase, MachineState,
    MaintenanceList, MaintenanceSchedule, Message, Pod, RejectionRate, Scheduler, SidecarProcess,
    SidecarReport, Window, ZoneTracker,
};
use limewing_test_support::digest::Digest;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 20;
const STEPS: u64 = 480;
const STEP_DURATION: Duration = Duration::from_millis(250);
const SIDECARS: usize = 5;
const MACHINES: usize = 12;
const ZONES: usize = 3;
const LEASE_DURATION: Duration = Duration::from_secs(2);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time for which a deposed leader may continue to answer.
const OVERLAP: Duration = Duration::from_millis(500);
/// Time for which requests sent under a lease may last after its expiry.
const COMPLETION_TIME: Duration = Duration::from_secs(1);
const WARM_UP_SECONDS: f64 = 2.0;
const STALL_TIMEOUT_MS: u64 = 4_000;
const COMMANDS_PER_STEP: usize = 3;
const LIST_INTERVAL_STEPS: u64 = 80;

fn phase_number(phase: MachinePhase) -> u64 {
    match phase {
        MachinePhase::Waiting => 0,
        MachinePhase::Granted => 1,
        MachinePhase::InMaintenance => 2,
        MachinePhase::WarmingUp => 3,
        MachinePhase::Done => 4,
        MachinePhase::Failed => 5,
    }
}

fn reason_number(reason: BlockedReason) -> u64 {
    match reason {
        BlockedReason::ListNotActive => 0,
        BlockedReason::ListNotKnown => 1,
        BlockedReason::OutsideWindows => 2,
        BlockedReason::ZoneOutage => 3,
        BlockedReason::ReleaseOnTrial => 4,
        BlockedReason::Overload => 5,
        BlockedReason::MaxUnavailable => 6,
        BlockedReason::MaxUnavailablePerZone => 7,
        BlockedReason::MaxUnavailablePerKind => 8,
        BlockedReason::ExclusivePair => 9,
        BlockedReason::InsufficientCapacity => 10,
        BlockedReason::NoObservation => 11,
    }
}

const ACCEPTED: u64 = 0;
const BLOCKED_BASE: u64 = 100;

fn result_number(result: Result<(), ApplyError>) -> u64 {
    match result {
        Ok(()) => ACCEPTED,
        Err(ApplyError::ListExists) => 1,
        Err(ApplyError::UnknownList) => 2,
        Err(ApplyError::MachineNotWaiting) => 3,
        Err(ApplyError::GrantNotInPhase) => 4,
        Err(ApplyError::UnavailableForOtherList) => 5,
        Err(ApplyError::LimitExceeded) => 6,
        Err(ApplyError::OutOfSequence) => 7,
        Err(ApplyError::ClockBackwards) => 8,
        Err(ApplyError::Blocked(reason)) => BLOCKED_BASE + reason_number(reason),
    }
}

struct Sidecar {
    name: String,
    incarnation: u64,
    schedule: MaintenanceSchedule,
    applied_index: usize,
    lease: Lease,
    next_request: Duration,
    drain_tracker: DrainTracker,
    rejection_rate: RejectionRate,
    /// End of the request in flight, by machine.
    in_flight: BTreeMap<String, Duration>,
}

/// A lease in transit to a sidecar process with this incarnation.
struct LeaseInTransit {
    arrives_at: Duration,
    sidecar: usize,
    incarnation: u64,
    message: Message,
}

struct Simulation {
    now: Duration,
    random: WyRand,
    digest: Digest,
    log: Vec<Command>,
    schedule: MaintenanceSchedule,
    sidecars: Vec<Sidecar>,
    term: u64,
    leader: Scheduler,
    /// A deposed leader, and the time until which it believes that it leads.
    deposed: Option<(Scheduler, Duration)>,
    leases_in_transit: Vec<LeaseInTransit>,
    zones: ZoneTracker,
    /// A zone whose pods are all draining, and the end of the outage.
    outage: Option<(usize, Duration)>,
    /// Machine and end of the work, by grant.
    working: BTreeMap<Identifier, (String, Duration)>,
    restarted: BTreeMap<String, Duration>,
    results_seen: BTreeSet<u64>,
    phases_seen: BTreeSet<u64>,
}

fn sidecar(now: Duration, number: usize, incarnation: u64) -> Sidecar {
    Sidecar {
        name: format!("s{number}"),
        incarnation,
        schedule: MaintenanceSchedule::default(),
        applied_index: 0,
        lease: Lease::new(now, LEASE_DURATION),
        next_request: now,
        drain_tracker: DrainTracker::new(DRAIN_GRACE),
        rejection_rate: RejectionRate::default(),
        in_flight: BTreeMap::new(),
    }
}

fn leader(now: Duration, term: u64) -> Scheduler {
    Scheduler::new(
        now,
        term,
        LeaseGrantor::new(now, LEASE_DURATION, OVERLAP, COMPLETION_TIME),
    )
}

fn machine(number: usize) -> Machine {
    Machine {
        name: format!("m{number}"),
        zone: format!("z{}", number % ZONES),
        kind: format!("k{}", number % 2),
        capacity: 0.1 * (number % 7 + 1) as f64,
    }
}

impl Simulation {
    fn new(seed: u64, digest: Digest) -> Self {
        let now = Duration::ZERO;
        Self {
            now,
            random: WyRand::new_seed(seed),
            digest,
            log: Vec::new(),
            schedule: MaintenanceSchedule::default(),
            sidecars: (0..SIDECARS)
                .map(|number| sidecar(now, number, 1))
                .collect(),
            term: 1,
            leader: leader(now, 1),
            deposed: None,
            leases_in_transit: Vec::new(),
            zones: ZoneTracker::default(),
            outage: None,
            working: BTreeMap::new(),
            restarted: BTreeMap::new(),
            results_seen: BTreeSet::new(),
            phases_seen: BTreeSet::new(),
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.generate_range(0..bound)
    }

    /// Returns true with the given probability per thousand.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.random_below(1000) < per_mille
    }

    fn milliseconds(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Commits a command and returns its log index.
    fn commit(&mut self, command: Command) -> u64 {
        let bytes = command.encode();
        assert_eq!(Command::decode(&bytes).as_ref(), Ok(&command));
        self.log.push(command.clone());
        let index = self.log.len() as u64;
        let result = result_number(self.schedule.apply(index, &command));
        self.digest.raw(&bytes);
        self.digest.number(result);
        self.results_seen.insert(result);
        index
    }

    fn step(&mut self, step_number: u64) {
        self.now += STEP_DURATION;
        self.inject_faults();
        self.act_as_operators(step_number);
        for index in 0..SIDECARS {
            self.step_sidecar(index, step_number);
        }
        self.deliver_due_leases();
        self.act_as_leader(step_number);
        self.run_machine_agents();
        self.hash_state(step_number);
    }

    fn inject_faults(&mut self) {
        if self.chance(15) {
            self.restart_a_sidecar();
        }
        if self.chance(10) {
            self.term += 1;
            let next = leader(self.now, self.term);
            let old = std::mem::replace(&mut self.leader, next);
            self.deposed = Some((old, self.now + OVERLAP));
        }
        if self.chance(5) {
            let zone = self.random_below(ZONES as u64) as usize;
            self.outage = Some((zone, self.now + STEP_DURATION * 12));
        }
        if self.chance(30) && !self.log.is_empty() {
            // A duplicate command from a leader that did not see the first one.
            let index = self.random_below(self.log.len() as u64) as usize;
            self.commit(self.log[index].clone());
        }
    }

    fn restart_a_sidecar(&mut self) {
        let index = self.random_below(SIDECARS as u64) as usize;
        let old = &self.sidecars[index];
        let (name, incarnation) = (old.name.clone(), old.incarnation);
        let in_flight = old.in_flight.clone();
        self.sidecars[index] = Sidecar {
            in_flight,
            ..sidecar(self.now, index, incarnation + 1)
        };
        if self.chance(500) {
            self.digest.raw(&Message::Leave { incarnation }.encode());
            self.commit(Command::SidecarGone { name, incarnation });
        }
    }

    /// Simulates operators who create, pause, resume or withdraw lists.
    fn act_as_operators(&mut self, step_number: u64) {
        if step_number % LIST_INTERVAL_STEPS == 4 {
            self.create_list();
        }
        let lists: Vec<Identifier> = self.schedule.lists().keys().copied().collect();
        if lists.is_empty() || !self.chance(40) {
            return;
        }
        let list = lists[self.random_below(lists.len() as u64) as usize];
        let command = match self.random_below(12) {
            0..=4 => Command::PauseList { list },
            5..=10 => Command::ResumeList { list },
            _ => Command::WithdrawList { list },
        };
        let is_already_applied = self.schedule.is_already_applied(&command);
        self.digest.number(u64::from(is_already_applied));
        if !is_already_applied {
            self.commit(command);
        }
    }

    fn create_list(&mut self) {
        let list = Identifier(self.random.generate());
        let first = self.random_below(MACHINES as u64) as usize;
        let count = 3 + self.random_below(6) as usize;
        let machines: Vec<Machine> = (first..first + count)
            .map(|number| machine(number % MACHINES))
            .collect();
        let now = self.milliseconds();
        let windows = match self.random_below(3) {
            0 => vec![Window {
                start_ms: now + 2_000,
                end_ms: now + 30_000,
            }],
            _ => Vec::new(),
        };
        let limits = DisruptionLimits {
            max_unavailable: 2 + self.random_below(3) as u16,
            max_unavailable_per_zone: self.random_below(3) as u16,
            max_unavailable_per_kind: self.random_below(4) as u16,
            min_ready_fraction: 0.1 * self.random_below(8) as f64,
            exclusive_pairs: vec![("m0".into(), "m4".into()), ("m7".into(), "m2".into())],
            max_rejection_rate: 0.05,
        };
        let config = ListConfig {
            name: format!("list at {now}"),
            limits,
            work_duration_ms: 1_000,
            stall_timeout_ms: STALL_TIMEOUT_MS,
            windows,
            priority: self.random_below(3) as u8,
            allowed_during_trials: self.chance(500),
        };
        self.commit(Command::CreateList {
            list,
            config,
            machine_count: count as u16,
        });
        let (head, tail) = machines.split_at(2);
        self.commit(Command::AddMachines {
            list,
            first: 0,
            machines: head.to_vec(),
        });
        self.commit(Command::AddMachines {
            list,
            first: 2,
            machines: tail.to_vec(),
        });
    }

    fn step_sidecar(&mut self, index: usize, step_number: u64) {
        if self.chance(800) {
            self.apply_log(index);
        }
        self.send_requests(index, step_number);
        if self.now >= self.sidecars[index].next_request {
            self.sidecars[index].next_request =
                self.now + self.sidecars[index].lease.request_interval();
            self.request_lease(index);
        }
    }

    fn apply_log(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        for (position, command) in self.log.iter().enumerate().skip(sidecar.applied_index) {
            // A rejected command changes nothing, and all readers of the log reject it.
            let _ = sidecar.schedule.apply(position as u64 + 1, command);
        }
        sidecar.applied_index = self.log.len();
    }

    /// Sends requests to machines that are open to the sidecar, and counts its rejections.
    fn send_requests(&mut self, index: usize, step_number: u64) {
        let now = self.now;
        let target = machine(self.random_below(MACHINES as u64) as usize).name;
        let duration = STEP_DURATION * self.random_below(4) as u32;
        let overloaded = step_number / 50 % 4 == 3;
        let rejected = if overloaded {
            6 + self.random_below(3) as u32
        } else {
            self.random_below(2) as u32
        };
        let sidecar = &mut self.sidecars[index];
        sidecar.rejection_rate.record(now, 40, rejected);
        let closed =
            sidecar
                .lease
                .closed_machines(now, sidecar.applied_index as u64, &sidecar.schedule);
        sidecar
            .drain_tracker
            .set_closed(now, &closed.clone().unwrap_or_default());
        sidecar.in_flight.retain(|_, until| now < *until);
        if closed
            .as_ref()
            .is_some_and(|closed| !closed.contains(&target))
        {
            sidecar.in_flight.insert(target, now + duration);
        }
        self.digest.number(u64::from(closed.is_some()));
        self.digest
            .names(closed.iter().flatten().map(String::as_str));
    }

    fn request_lease(&mut self, index: usize) {
        let now = self.now;
        let sidecar = &mut self.sidecars[index];
        let (name, incarnation) = (sidecar.name.clone(), sidecar.incarnation);
        let past_grace = sidecar.drain_tracker.past_grace(now, &sidecar.schedule);
        let without_requests =
            past_grace.filter(|(machine, _)| !sidecar.in_flight.contains_key(*machine));
        let drained: Vec<Identifier> = without_requests.map(|(_, grant)| grant).collect();
        let request_number = sidecar.lease.request(now);
        let (applied_index, rejected_per_mille) = (
            sidecar.applied_index as u64,
            sidecar.rejection_rate.per_mille(now),
        );
        let request = Message::LeaseRequest {
            incarnation,
            request: request_number,
            applied_index,
            drained: drained.clone(),
            rejected_per_mille,
        };
        self.digest.raw(&request.encode());
        if self.chance(150) {
            return;
        }
        let by_deposed = self.chance(300);
        let grantor = match &mut self.deposed {
            Some((old, until)) if by_deposed && now < *until => &mut old.grantor,
            _ => &mut self.leader.grantor,
        };
        let process = SidecarProcess {
            name: &name,
            incarnation,
        };
        let report = SidecarReport {
            applied_index,
            drained: &drained,
            rejected_per_mille,
        };
        let granted = grantor.handle_lease_request(now, &self.schedule, process, report);
        self.digest.number(u64::from(granted));
        if granted {
            self.send_lease(index, request_number);
        } else {
            self.commit(Command::SidecarStarted { name, incarnation });
        }
    }

    fn send_lease(&mut self, index: usize, request_number: u64) {
        let message = Message::LeaseResponse {
            request: request_number,
            commit_index: self.log.len() as u64,
        };
        self.digest.raw(&message.encode());
        let incarnation = self.sidecars[index].incarnation;
        let delay = match self.random_below(10) {
            0 => return,
            1 | 2 => STEP_DURATION * (1 + self.random_below(6) as u32),
            _ => Duration::ZERO,
        };
        self.leases_in_transit.push(LeaseInTransit {
            arrives_at: self.now + delay,
            sidecar: index,
            incarnation,
            message,
        });
    }

    fn deliver_due_leases(&mut self) {
        let now = self.now;
        let (due, leases_in_transit) = std::mem::take(&mut self.leases_in_transit)
            .into_iter()
            .partition(|lease: &LeaseInTransit| lease.arrives_at <= now);
        self.leases_in_transit = leases_in_transit;
        for LeaseInTransit {
            sidecar,
            incarnation,
            message,
            ..
        } in due
        {
            let sidecar = &mut self.sidecars[sidecar];
            if let (
                true,
                Message::LeaseResponse {
                    request: request_number,
                    commit_index,
                },
            ) = (sidecar.incarnation == incarnation, message)
            {
                sidecar.lease.granted(request_number, commit_index);
            }
        }
    }

    /// Returns the pods on the endpoint list, which omits machines that are being worked on.
    fn pods(&self) -> Vec<Pod> {
        let closed: BTreeSet<&str> = self
            .schedule
            .closed_machines()
            .map(|(machine, _)| machine.name.as_str())
            .collect();
        let worked_on: BTreeSet<&str> = self
            .working
            .values()
            .map(|(machine, _)| machine.as_str())
            .collect();
        let failed_zone = self
            .outage
            .filter(|(_, until)| self.now < *until)
            .map(|(zone, _)| zone);
        let mut pods = Vec::new();
        for number in 0..MACHINES {
            let Machine {
                name,
                zone,
                capacity,
                ..
            } = machine(number);
            if worked_on.contains(name.as_str()) {
                continue;
            }
            let draining = closed.contains(name.as_str()) || failed_zone == Some(number % ZONES);
            let restarted = self.restarted.get(&name);
            let uptime_seconds = restarted.map(|at| (self.now - *at).as_secs_f64());
            let pod = Pod {
                machine: name,
                zone,
                capacity: capacity / 2.0,
                draining,
                uptime_seconds,
            };
            pods.extend([pod.clone(), pod]);
        }
        pods
    }

    fn act_as_leader(&mut self, step_number: u64) {
        // The clocks of leaders differ.
        let log_now = self.milliseconds() + self.term % 3 * 200;
        // The leader occasionally applies its own commands late.
        let lag = u64::from(self.chance(100));
        let release_on_trial = step_number / 40 % 5 == 4;
        for _ in 0..COMMANDS_PER_STEP {
            let pods = self.pods();
            let serving = pods
                .iter()
                .filter(|pod| !pod.draining)
                .map(|pod| pod.zone.as_str());
            self.zones.observe_serving(serving);
            let observation = FleetObservation {
                pods: &pods,
                warm_up_seconds: WARM_UP_SECONDS,
                release_on_trial,
            };
            let applied_index = (self.log.len() as u64).saturating_sub(lag);
            let command = self.leader.next_command(
                self.now,
                log_now,
                &self.schedule,
                applied_index,
                &self.zones,
                &observation,
            );
            let Some(command) = command else {
                return;
            };
            let index = self.commit(command);
            self.leader.record_proposed_command(index);
        }
    }

    /// Simulates the agents on the machines. They begin work at once; some of it fails or takes too
    /// long.
    fn run_machine_agents(&mut self) {
        let is_new =
            |state: &&MachineState| state.phase == MachinePhase::InMaintenance && !state.work_began;
        let states = self
            .schedule
            .lists()
            .values()
            .flat_map(|list| &list.machines);
        let beginning: Vec<(Identifier, String)> = states
            .filter(is_new)
            .filter_map(|state| Some((state.grant?, state.machine.name.clone())))
            .collect();
        for (grant, machine) in beginning {
            let steps = if self.chance(80) {
                30
            } else {
                3 + self.random_below(8) as u32
            };
            self.working
                .insert(grant, (machine, self.now + STEP_DURATION * steps));
            self.commit(Command::WorkBegan { grant });
        }
        let has_ended =
            |(_, (_, ends_at)): &(&Identifier, &(String, Duration))| *ends_at <= self.now;
        let finished: Vec<Identifier> = self
            .working
            .iter()
            .filter(has_ended)
            .map(|(grant, _)| *grant)
            .collect();
        for grant in finished {
            if let Some((machine, _)) = self.working.remove(&grant) {
                self.restarted.insert(machine, self.now);
            }
            let succeeded = self.chance(900);
            self.commit(Command::WorkEnded { grant, succeeded });
        }
    }

    /// Hashes the state of each machine in the schedule and at the leader.
    fn hash_state(&mut self, step_number: u64) {
        let (now, digest) = (self.now, &mut self.digest);
        let grantor = &self.leader.grantor;
        digest.number(now.as_millis() as u64);
        digest.number(self.schedule.now_ms());
        digest.float(grantor.mean_rejection_rate(now, &self.schedule));
        for (list_number, list) in self.schedule.lists() {
            hash_list(digest, *list_number, list);
            digest.names(grantor.sidecars_behind(&self.schedule, list.completed_index));
            for state in &list.machines {
                self.phases_seen.insert(phase_number(state.phase));
                if state.phase == MachinePhase::Waiting {
                    let check_result = self.schedule.check_grant(*list_number, &state.machine.name);
                    digest.number(result_number(check_result));
                }
            }
        }
        for (machine, grant) in self.schedule.closed_machines() {
            digest.names([machine.name.as_str()]);
            digest.names(grantor.sidecars_not_drained(now, &self.schedule, grant));
        }
        if let Some(command) = self.schedule.next_command() {
            digest.raw(&command.encode());
        }
        if step_number.is_multiple_of(16) {
            let snapshot = self.schedule.encode();
            digest.raw(&snapshot);
            assert_eq!(
                MaintenanceSchedule::decode(&snapshot).as_ref(),
                Some(&self.schedule)
            );
        }
    }

    /// Asserts that all sidecars that have applied the whole log have the same schedule.
    fn assert_replicas_agree(&mut self) {
        for index in 0..SIDECARS {
            self.apply_log(index);
            assert_eq!(self.sidecars[index].schedule, self.schedule);
        }
    }
}

fn hash_list(digest: &mut Digest, number: Identifier, list: &MaintenanceList) {
    let flags = [
        list.is_complete(),
        list.known,
        list.paused,
        list.withdrawn,
        list.is_finished(),
    ];
    digest.number(number.0);
    digest.number(list.completed_index);
    digest.raw(&flags.map(u8::from));
    for state in &list.machines {
        digest.number(phase_number(state.phase));
        digest.number(state.grant.map_or(0, |grant| grant.0));
        digest.number(state.since_ms);
        digest.raw(&[state.work_began, state.stalled].map(u8::from));
    }
}

#[test]
#[ignore = "prints a digest; run by tools/digests.sh"]
fn maintenance_digest() {
    let mut digest = Digest::new();
    let (mut results, mut phases) = (BTreeSet::new(), BTreeSet::new());
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, digest);
        for step_number in 0..STEPS {
            simulation.step(step_number);
        }
        simulation.assert_replicas_agree();
        results.append(&mut simulation.results_seen);
        phases.append(&mut simulation.phases_seen);
        digest = simulation.digest;
    }
    // The seeds have to cover every phase of a machine and most reasons to reject a command.
    assert_eq!(phases.len(), 6, "phases of machines: {phases:?}");
    assert!(results.len() >= 8, "results of commands: {results:?}");
    println!("digest maintenance {:016x}", digest.value());
}
