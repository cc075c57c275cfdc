//! The leader's choice of the next command, based on the schedule, the granted leases and the
//! observed fleet.

use crate::command::Command;
use crate::fleet_observation::{FleetObservation, ZoneTracker};
use crate::lease_grantor::LeaseGrantor;
use crate::list::{MachinePhase, MachineState, MaintenanceList};
use crate::schedule::MaintenanceSchedule;
use std::time::Duration;

/// Interval at which the leader commits a summary of the fleet while there is an unfinished list.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time after the end of the work before a machine can count as warm, in milliseconds of
/// log time, because the endpoint list may be delayed.
const ENDPOINT_LIST_DELAY_MS: u64 = 1_000;

/// The state of a sidecar as leader of one term.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// The term in which the sidecar leads.
    pub term: u64,
    /// The leases granted in this term.
    pub grantor: LeaseGrantor,
    next_observation: Duration,
    /// Whether a summary has been committed in this term; a predecessor's summary does not justify
    /// a grant.
    observed_in_term: bool,
    /// Log index of the last command proposed in this term.
    proposed_index: u64,
}

impl Scheduler {
    /// Creates the state of a sidecar that leads from now on.
    pub fn new(now: Duration, term: u64, grantor: LeaseGrantor) -> Self {
        Self {
            term,
            grantor,
            next_observation: now,
            observed_in_term: false,
            proposed_index: 0,
        }
    }

    /// Records that an own command is in the log at this index, committed or not.
    pub fn record_proposed_command(&mut self, index: u64) {
        self.proposed_index = self.proposed_index.max(index);
    }

    /// Returns whether all commands proposed in this term are applied. Until then nothing is
    /// proposed, which avoids duplicate proposals.
    pub fn has_applied_own_commands(&self, applied_index: u64) -> bool {
        applied_index >= self.proposed_index
    }

    /// Returns the command to propose now, for a leader that has committed a command of its own
    /// term.
    ///
    /// `log_now_ms` is the leader's clock in milliseconds of log time. `applied_index` is the log
    /// index up to which `schedule` has applied the log.
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
        if !self.has_applied_own_commands(applied_index) || is_idle {
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
        self.next_list_known_command(schedule)
            .or_else(|| self.next_drained_command(now, schedule))
            .or_else(|| next_warmed_up_command(schedule, observation))
            .or(next)
    }

    /// Returns the command for a list that all sidecars have read by now.
    fn next_list_known_command(&self, schedule: &MaintenanceSchedule) -> Option<Command> {
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

    /// Returns the command for a granted machine that all sidecars have drained.
    fn next_drained_command(
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

/// Returns the command for a machine that is warm again after its work.
fn next_warmed_up_command(
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
