//! What the leader proposes next: from the schedule, the leases it has granted, and what it observes of the fleet.

use crate::command::Command;
use crate::fleet_observation::{FleetObservation, ZoneTracker};
use crate::lease_grantor::LeaseGrantor;
use crate::list::{MachinePhase, MachineState, MaintenanceList};
use crate::schedule::MaintenanceSchedule;
use std::time::Duration;

/// How often the leader commits a summary of the fleet while there is a list.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// How long the work on a machine has to be over before the machine can count as warm, in milliseconds of the log's time: the endpoint
/// list may be late.
const ENDPOINT_LIST_DELAY_MS: u64 = 1_000;

/// One sidecar's time as leader of one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// The term.
    pub term: u64,
    /// The leases that it has granted.
    pub grantor: LeaseGrantor,
    next_observation: Duration,
    /// Whether it has committed a summary in its term: a predecessor's summary is no ground for a grant.
    observed_in_term: bool,
    /// Index of the last command that it proposed.
    proposed_index: u64,
}

impl Scheduler {
    /// A sidecar that leads from now on.
    pub fn new(now: Duration, term: u64, grantor: LeaseGrantor) -> Self {
        Self {
            term,
            grantor,
            next_observation: now,
            observed_in_term: false,
            proposed_index: 0,
        }
    }

    /// A command of its own is in the log at this index, committed or not.
    pub fn command_proposed(&mut self, index: u64) {
        self.proposed_index = self.proposed_index.max(index);
    }

    /// Whether all commands that it proposed are applied. Until then it proposes nothing, lest it propose the same twice.
    pub fn has_applied_own(&self, applied_index: u64) -> bool {
        applied_index >= self.proposed_index
    }

    /// The command to propose now, for a leader that has committed a command of its own term.
    ///
    /// `log_now_ms` is the leader's clock in milliseconds of the log's time; `applied_index` is the index through which the log
    /// is applied to the schedule.
    pub fn next_command(
        &mut self,
        now: Duration,
        log_now_ms: u64,
        schedule: &MaintenanceSchedule,
        applied_index: u64,
        zones: &ZoneTracker,
        observation: &FleetObservation,
    ) -> Option<Command> {
        let is_idle = schedule.lists().values().all(MaintenanceList::is_finished);
        if !self.has_applied_own(applied_index) || is_idle {
            return None;
        }
        if now >= self.next_observation {
            self.next_observation = now + OBSERVATION_INTERVAL;
            self.observed_in_term = true;
            let rejection_rate = self.grantor.mean_rejection_rate(now, schedule);
            let summary = observation.summarize(schedule, applied_index, zones, rejection_rate);
            return Some(Command::Observe {
                at_ms: log_now_ms.max(schedule.now_ms()),
                summary,
            });
        }
        let next = if self.observed_in_term {
            schedule.next_command()
        } else {
            None
        };
        if matches!(next, Some(Command::RevokeGrant { .. })) {
            return next;
        }
        self.next_known_list(schedule)
            .or_else(|| self.next_drained_machine(now, schedule))
            .or_else(|| next_warm_machine(schedule, observation))
            .or(next)
    }

    /// A list that all sidecars have read by now.
    fn next_known_list(&self, schedule: &MaintenanceSchedule) -> Option<Command> {
        let mut lists = schedule.lists().iter();
        let (list, _) = lists.find(|(_, list)| {
            let is_pending = !list.known && list.is_complete();
            is_pending
                && self
                    .grantor
                    .sidecars_behind(schedule, list.completed_index)
                    .is_empty()
        })?;
        Some(Command::ListKnown { list: *list })
    }

    /// A granted machine that all sidecars are drained from.
    fn next_drained_machine(
        &self,
        now: Duration,
        schedule: &MaintenanceSchedule,
    ) -> Option<Command> {
        let is_drained = |grant| {
            self.grantor
                .sidecars_not_drained(now, schedule, grant)
                .is_empty()
        };
        let grant = machines_in(schedule, MachinePhase::Granted)
            .filter_map(|state| state.grant)
            .find(|grant| is_drained(*grant))?;
        Some(Command::Drained { grant })
    }
}

/// A machine that is warm again after its work.
fn next_warm_machine(
    schedule: &MaintenanceSchedule,
    observation: &FleetObservation,
) -> Option<Command> {
    let is_warm = |state: &&MachineState| {
        schedule.now_ms() >= state.since_ms + ENDPOINT_LIST_DELAY_MS
            && observation.is_machine_warm(&state.machine.name)
    };
    let grant = machines_in(schedule, MachinePhase::WarmingUp)
        .filter(|state| state.grant.is_some())
        .find(is_warm)?
        .grant?;
    Some(Command::WarmedUp { grant })
}

fn machines_in(
    schedule: &MaintenanceSchedule,
    phase: MachinePhase,
) -> impl Iterator<Item = &MachineState> {
    let states = schedule.lists().values().flat_map(|list| &list.machines);
    states.filter(move |state| state.phase == phase)
}
