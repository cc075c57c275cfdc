//! Pins the decisions of the maintenance core: all that a simulated fleet under faults puts out over
//! twenty fixed seeds (commands and what became of them, lease messages, closed machines, who still
//! holds a grant up, the schedule) as one hash. Sidecars restart and lag, messages get lost or late,
//! leaders are deposed, zones fail, work fails or stalls. It hashes encoded bytes and numbers only,
//! so names may change and the hash stays.

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
const STEP: Duration = Duration::from_millis(250);
const SIDECARS: usize = 5;
const MACHINES: usize = 12;
const ZONES: usize = 3;
const LEASE: Duration = Duration::from_secs(2);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long a deposed leader may go on answering.
const OVERLAP: Duration = Duration::from_millis(500);
/// How long what was sent under a lease may last beyond it.
const SETTLES: Duration = Duration::from_secs(1);
const WARM_AFTER: f64 = 2.0;
const STALLS_AFTER: u64 = 4_000;
const COMMANDS_PER_STEP: usize = 3;
const STEPS_PER_LIST: u64 = 80;

fn phase_number(step: MachinePhase) -> u64 {
    match step {
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
const NOT_NOW: u64 = 100;

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
        Err(ApplyError::Blocked(reason)) => NOT_NOW + reason_number(reason),
    }
}

struct Sidecar {
    name: String,
    start: u64,
    schedule: MaintenanceSchedule,
    read: usize,
    lease: Lease,
    next_request: Duration,
    drain_tracker: DrainTracker,
    rejections: RejectionRate,
    /// Machines with a request in flight, until when.
    in_flight: BTreeMap<String, Duration>,
}

/// A lease that is still on its way to a sidecar of this start.
struct LateLease {
    arrives: Duration,
    sidecar: usize,
    start: u64,
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
    /// One that was deposed, and until when it believes that it leads.
    deposed: Option<(Scheduler, Duration)>,
    late: Vec<LateLease>,
    zones: ZoneTracker,
    /// A zone whose pods all drain, until when.
    outage: Option<(usize, Duration)>,
    /// Grants that are worked on, with their machine and when the work ends.
    working: BTreeMap<Identifier, (String, Duration)>,
    restarted: BTreeMap<String, Duration>,
    results_seen: BTreeSet<u64>,
    phases_seen: BTreeSet<u64>,
}

fn sidecar(now: Duration, number: usize, start: u64) -> Sidecar {
    Sidecar {
        name: format!("s{number}"),
        start,
        schedule: MaintenanceSchedule::default(),
        read: 0,
        lease: Lease::new(now, LEASE),
        next_request: now,
        drain_tracker: DrainTracker::new(DRAIN_GRACE),
        rejections: RejectionRate::default(),
        in_flight: BTreeMap::new(),
    }
}

fn leader(now: Duration, term: u64) -> Scheduler {
    Scheduler::new(now, term, LeaseGrantor::new(now, LEASE, OVERLAP, SETTLES))
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
            late: Vec::new(),
            zones: ZoneTracker::default(),
            outage: None,
            working: BTreeMap::new(),
            restarted: BTreeMap::new(),
            results_seen: BTreeSet::new(),
            phases_seen: BTreeSet::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.generate_range(0..bound)
    }

    /// True in so many of a thousand cases.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    fn milliseconds(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Commits a command; its index in the log.
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

    fn step(&mut self, number: u64) {
        self.now += STEP;
        self.inject_faults();
        self.operate(number);
        for index in 0..SIDECARS {
            self.step_sidecar(index, number);
        }
        self.deliver_late_leases();
        self.lead(number);
        self.work_on_machines();
        self.observe(number);
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
            let zone = self.below(ZONES as u64) as usize;
            self.outage = Some((zone, self.now + STEP * 12));
        }
        if self.chance(30) && !self.log.is_empty() {
            // A command that comes twice, from a leader that did not see the first.
            let which = self.below(self.log.len() as u64) as usize;
            self.commit(self.log[which].clone());
        }
    }

    fn restart_a_sidecar(&mut self) {
        let which = self.below(SIDECARS as u64) as usize;
        let old = &self.sidecars[which];
        let (name, start) = (old.name.clone(), old.start);
        let in_flight = old.in_flight.clone();
        self.sidecars[which] = Sidecar {
            in_flight,
            ..sidecar(self.now, which, start + 1)
        };
        if self.chance(500) {
            self.digest
                .raw(&Message::Leave { incarnation: start }.encode());
            self.commit(Command::SidecarGone {
                name,
                incarnation: start,
            });
        }
    }

    /// What operators ask for: lists of machines, and that a list is paused, resumed or withdrawn.
    fn operate(&mut self, number: u64) {
        if number % STEPS_PER_LIST == 4 {
            self.create_list();
        }
        let lists: Vec<Identifier> = self.schedule.lists().keys().copied().collect();
        if lists.is_empty() || !self.chance(40) {
            return;
        }
        let list = lists[self.below(lists.len() as u64) as usize];
        let command = match self.below(12) {
            0..=4 => Command::PauseList { list },
            5..=10 => Command::ResumeList { list },
            _ => Command::WithdrawList { list },
        };
        let shows = self.schedule.is_reflected(&command);
        self.digest.number(u64::from(shows));
        if !shows {
            self.commit(command);
        }
    }

    fn create_list(&mut self) {
        let list = Identifier(self.random.generate());
        let first = self.below(MACHINES as u64) as usize;
        let count = 3 + self.below(6) as usize;
        let machines: Vec<Machine> = (first..first + count)
            .map(|number| machine(number % MACHINES))
            .collect();
        let now = self.milliseconds();
        let windows = match self.below(3) {
            0 => vec![Window {
                start_ms: now + 2_000,
                end_ms: now + 30_000,
            }],
            _ => Vec::new(),
        };
        let limits = DisruptionLimits {
            max_unavailable: 2 + self.below(3) as u16,
            max_unavailable_per_zone: self.below(3) as u16,
            max_unavailable_per_kind: self.below(4) as u16,
            min_ready_fraction: 0.1 * self.below(8) as f64,
            exclusive_pairs: vec![("m0".into(), "m4".into()), ("m7".into(), "m2".into())],
            max_rejection_rate: 0.05,
        };
        let terms = ListConfig {
            name: format!("list at {now}"),
            limits,
            work_duration_ms: 1_000,
            stall_timeout_ms: STALLS_AFTER,
            windows,
            priority: self.below(3) as u8,
            allowed_during_trials: self.chance(500),
        };
        self.commit(Command::CreateList {
            list,
            config: terms,
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

    fn step_sidecar(&mut self, index: usize, number: u64) {
        if self.chance(800) {
            self.read_log(index);
        }
        self.send_requests(index, number);
        if self.now >= self.sidecars[index].next_request {
            self.sidecars[index].next_request =
                self.now + self.sidecars[index].lease.request_interval();
            self.request_lease(index);
        }
    }

    fn read_log(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        for (place, command) in self.log.iter().enumerate().skip(sidecar.read) {
            // What is refused changes nothing, for all readers alike.
            let _ = sidecar.schedule.apply(place as u64 + 1, command);
        }
        sidecar.read = self.log.len();
    }

    /// Sends to machines that are open to the sidecar, and counts what it rejects.
    fn send_requests(&mut self, index: usize, number: u64) {
        let now = self.now;
        let target = machine(self.below(MACHINES as u64) as usize).name;
        let lasts = STEP * self.below(4) as u32;
        let overloaded = number / 50 % 4 == 3;
        let rejected = if overloaded {
            6 + self.below(3) as u32
        } else {
            self.below(2) as u32
        };
        let sidecar = &mut self.sidecars[index];
        sidecar.rejections.record(now, 40, rejected);
        let closed = sidecar
            .lease
            .closed_machines(now, sidecar.read as u64, &sidecar.schedule);
        sidecar
            .drain_tracker
            .set_closed(now, &closed.clone().unwrap_or_default());
        sidecar.in_flight.retain(|_, until| now < *until);
        if closed
            .as_ref()
            .is_some_and(|closed| !closed.contains(&target))
        {
            sidecar.in_flight.insert(target, now + lasts);
        }
        self.digest.number(u64::from(closed.is_some()));
        self.digest
            .names(closed.iter().flatten().map(String::as_str));
    }

    fn request_lease(&mut self, index: usize) {
        let now = self.now;
        let sidecar = &mut self.sidecars[index];
        let (name, start) = (sidecar.name.clone(), sidecar.start);
        let quiet = sidecar.drain_tracker.past_grace(now, &sidecar.schedule);
        let idle = quiet.filter(|(machine, _)| !sidecar.in_flight.contains_key(*machine));
        let clear: Vec<Identifier> = idle.map(|(_, grant)| grant).collect();
        let no = sidecar.lease.request(now);
        let (read, turned_away) = (sidecar.read as u64, sidecar.rejections.per_mille(now));
        let request = Message::LeaseRequest {
            incarnation: start,
            request: no,
            applied_index: read,
            drained: clear.clone(),
            rejected_per_mille: turned_away,
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
            incarnation: start,
        };
        let report = SidecarReport {
            applied_index: read,
            drained: &clear,
            rejected_per_mille: turned_away,
        };
        let granted = grantor.lease_requested(now, &self.schedule, process, report);
        self.digest.number(u64::from(granted));
        if granted {
            self.send_lease(index, no);
        } else {
            self.commit(Command::SidecarStarted {
                name,
                incarnation: start,
            });
        }
    }

    fn send_lease(&mut self, index: usize, no: u64) {
        let message = Message::LeaseResponse {
            request: no,
            commit_index: self.log.len() as u64,
        };
        self.digest.raw(&message.encode());
        let start = self.sidecars[index].start;
        let delay = match self.below(10) {
            0 => return,
            1 | 2 => STEP * (1 + self.below(6) as u32),
            _ => Duration::ZERO,
        };
        self.late.push(LateLease {
            arrives: self.now + delay,
            sidecar: index,
            start,
            message,
        });
    }

    fn deliver_late_leases(&mut self) {
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|lease: &LateLease| lease.arrives <= now);
        self.late = late;
        for LateLease {
            sidecar,
            start,
            message,
            ..
        } in due
        {
            let sidecar = &mut self.sidecars[sidecar];
            if let (
                true,
                Message::LeaseResponse {
                    request: no,
                    commit_index: settled,
                },
            ) = (sidecar.start == start, message)
            {
                sidecar.lease.granted(no, settled);
            }
        }
    }

    /// The pods as the endpoint list has them: those of machines that are worked on are gone.
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
                capacity: strength,
                ..
            } = machine(number);
            if worked_on.contains(name.as_str()) {
                continue;
            }
            let drains = closed.contains(name.as_str()) || failed_zone == Some(number % ZONES);
            let restarted = self.restarted.get(&name);
            let runs_for = restarted.map(|at| (self.now - *at).as_secs_f64());
            let pod = Pod {
                machine: name,
                zone,
                capacity: strength / 2.0,
                draining: drains,
                uptime_seconds: runs_for,
            };
            pods.extend([pod.clone(), pod]);
        }
        pods
    }

    fn lead(&mut self, number: u64) {
        // Clocks of leaders differ.
        let log_now = self.milliseconds() + self.term % 3 * 200;
        // The leader reads its own commands late now and then.
        let lag = u64::from(self.chance(100));
        let trial = number / 40 % 5 == 4;
        for _ in 0..COMMANDS_PER_STEP {
            let pods = self.pods();
            let serving = pods
                .iter()
                .filter(|pod| !pod.draining)
                .map(|pod| pod.zone.as_str());
            self.zones.observe_serving(serving);
            let observation = FleetObservation {
                pods: &pods,
                warm_up_seconds: WARM_AFTER,
                release_on_trial: trial,
            };
            let read = (self.log.len() as u64).saturating_sub(lag);
            let command = self.leader.next_command(
                self.now,
                log_now,
                &self.schedule,
                read,
                &self.zones,
                &observation,
            );
            let Some(command) = command else {
                return;
            };
            let index = self.commit(command);
            self.leader.command_proposed(index);
        }
    }

    /// The agents on the machines: they begin at once, and some fail, or take too long.
    fn work_on_machines(&mut self) {
        let is_new =
            |way: &&MachineState| way.phase == MachinePhase::InMaintenance && !way.work_began;
        let states = self
            .schedule
            .lists()
            .values()
            .flat_map(|list| &list.machines);
        let begins: Vec<(Identifier, String)> = states
            .filter(is_new)
            .filter_map(|state| Some((state.grant?, state.machine.name.clone())))
            .collect();
        for (grant, machine) in begins {
            let steps = if self.chance(80) {
                30
            } else {
                3 + self.below(8) as u32
            };
            self.working
                .insert(grant, (machine, self.now + STEP * steps));
            self.commit(Command::WorkBegan { grant });
        }
        let ended = |(_, (_, ends)): &(&Identifier, &(String, Duration))| *ends <= self.now;
        let over: Vec<Identifier> = self
            .working
            .iter()
            .filter(ended)
            .map(|(grant, _)| *grant)
            .collect();
        for grant in over {
            if let Some((machine, _)) = self.working.remove(&grant) {
                self.restarted.insert(machine, self.now);
            }
            let well = self.chance(900);
            self.commit(Command::WorkEnded {
                grant,
                succeeded: well,
            });
        }
    }

    /// Hashes what the schedule and the leader say of each machine.
    fn observe(&mut self, number: u64) {
        let (now, digest) = (self.now, &mut self.digest);
        let grantor = &self.leader.grantor;
        digest.number(now.as_millis() as u64);
        digest.number(self.schedule.now_ms());
        digest.float(grantor.mean_rejection_rate(now, &self.schedule));
        for (list_number, list) in self.schedule.lists() {
            observe_list(digest, *list_number, list);
            digest.names(grantor.sidecars_behind(&self.schedule, list.completed_index));
            for state in &list.machines {
                self.phases_seen.insert(phase_number(state.phase));
                if state.phase == MachinePhase::Waiting {
                    let may_go = self.schedule.check_grant(*list_number, &state.machine.name);
                    digest.number(result_number(may_go));
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
        if number.is_multiple_of(16) {
            let snapshot = self.schedule.encode();
            digest.raw(&snapshot);
            assert_eq!(
                MaintenanceSchedule::decode(&snapshot).as_ref(),
                Some(&self.schedule)
            );
        }
    }

    /// All who have read the whole log know the same.
    fn assert_replicas_agree(&mut self) {
        for index in 0..SIDECARS {
            self.read_log(index);
            assert_eq!(self.sidecars[index].schedule, self.schedule);
        }
    }
}

fn observe_list(digest: &mut Digest, number: Identifier, list: &MaintenanceList) {
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
    let (mut results, mut steps) = (BTreeSet::new(), BTreeSet::new());
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, digest);
        for number in 0..STEPS {
            simulation.step(number);
        }
        simulation.assert_replicas_agree();
        results.append(&mut simulation.results_seen);
        steps.append(&mut simulation.phases_seen);
        digest = simulation.digest;
    }
    // Faults and limits were met: every step of a machine, and most reasons to refuse a command.
    assert_eq!(steps.len(), 6, "steps of machines: {steps:?}");
    assert!(results.len() >= 8, "results of commands: {results:?}");
    println!("digest maintenance {:016x}", digest.value());
}
