//! The schedule: lists, machines and sidecars, as determined by the log.

mod apply;

use crate::command::{Command, Identifier, Machine, MAX_LISTS, MAX_MACHINES};
use crate::fleet_summary::FleetSummary;
use crate::limits::{check_limits, BlockedReason};
use crate::list::{MachinePhase, MachineState, MaintenanceList};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of stored sidecars.
const MAX_SIDECARS: usize = 2048;

/// The reason why a committed command changes nothing. The texts are shown on the proxies'
/// maintenance page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// A list with this identifier already exists.
    #[error("a list with this identifier already exists")]
    ListExists,
    /// There is no list with this identifier.
    #[error("no such list")]
    UnknownList,
    /// The machine is not on the list or not in the waiting phase.
    #[error("the machine is not on the list or not waiting")]
    MachineNotWaiting,
    /// There is no such grant, or its machine is not in the preceding phase.
    #[error("no such grant, or its machine is not in the preceding phase")]
    GrantNotInPhase,
    /// The machine is unavailable for another list.
    #[error("the machine is unavailable for another list")]
    UnavailableForOtherList,
    /// A limit is exceeded, or a later process of the sidecar is known.
    #[error("more than {MAX_LISTS} lists, {MAX_MACHINES} machines or {MAX_SIDECARS} sidecars, or a later process of the sidecar is known")]
    LimitExceeded,
    /// The machines do not directly follow those added before.
    #[error("the machines do not follow those added before")]
    OutOfSequence,
    /// The log time would go backwards.
    #[error("the log time would go backwards")]
    ClockBackwards,
    /// The machine may not be taken out of service now.
    #[error("not now: {0}")]
    Blocked(BlockedReason),
}

/// The state after all applied commands, which is the same at all sidecars that have applied the
/// same log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceSchedule {
    now_ms: u64,
    lists: BTreeMap<Identifier, MaintenanceList>,
    /// Incarnations of the sidecars that may send requests, by sidecar name.
    sidecars: BTreeMap<String, u64>,
    summary: Option<FleetSummary>,
}

impl MaintenanceSchedule {
    /// Returns the log time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the lists by identifier.
    pub fn lists(&self) -> &BTreeMap<Identifier, MaintenanceList> {
        &self.lists
    }

    /// Returns the incarnations of the running sidecars, by sidecar name.
    pub fn sidecars(&self) -> &BTreeMap<String, u64> {
        &self.sidecars
    }

    fn machines(&self) -> impl Iterator<Item = (Identifier, &MachineState)> {
        self.lists
            .iter()
            .flat_map(|(id, list)| list.machines.iter().map(|state| (*id, state)))
    }

    /// Returns the machine with a grant, and its list.
    pub fn machine_with_grant(&self, grant: Identifier) -> Option<(Identifier, &MachineState)> {
        self.machines()
            .find(|(_, state)| state.grant == Some(grant))
    }

    /// Returns the machines that no sidecar may send to, with their grants. A machine is closed
    /// from its grant until its work ends.
    pub fn closed_machines(&self) -> impl Iterator<Item = (&Machine, Identifier)> {
        self.machines().filter_map(|(_, state)| match state.phase {
            MachinePhase::Granted | MachinePhase::InMaintenance => {
                Some((&state.machine, state.grant?))
            }
            _ => None,
        })
    }

    fn unavailable_machines(&self) -> Vec<&Machine> {
        self.machines()
            .filter(|(_, state)| state.phase.is_unavailable())
            .map(|(_, state)| &state.machine)
            .collect()
    }

    /// Checks whether a waiting machine may be taken out of service now.
    ///
    /// # Errors
    /// The machine is not waiting, is unavailable for another list, or is blocked.
    pub fn check_grant(&self, list: Identifier, machine: &str) -> Result<(), ApplyError> {
        let id = list;
        let list = self.lists.get(&id).ok_or(ApplyError::UnknownList)?;
        let state = list
            .machines
            .iter()
            .find(|state| state.machine.name == machine && state.phase == MachinePhase::Waiting)
            .ok_or(ApplyError::MachineNotWaiting)?;
        if list.paused || list.withdrawn || !list.is_complete() {
            return Err(ApplyError::Blocked(BlockedReason::ListNotActive));
        }
        if !list.known {
            return Err(ApplyError::Blocked(BlockedReason::ListNotKnown));
        }
        let unavailable = self.unavailable_machines();
        if unavailable.iter().any(|other| other.name == machine) {
            return Err(ApplyError::UnavailableForOtherList);
        }
        let summary = self.check_conditions(list).map_err(ApplyError::Blocked)?;
        let granted_capacity = self.capacity_granted_after(summary.applied_index);
        // The limits of all lists with an unavailable machine apply, in addition to those of the
        // machine's own list.
        for (other_id, other) in &self.lists {
            if *other_id == id || other.has_unavailable_machine() {
                let limits = &other.config.limits;
                check_limits(
                    limits,
                    &state.machine,
                    &unavailable,
                    summary,
                    granted_capacity,
                )
                .map_err(ApplyError::Blocked)?;
            }
        }
        Ok(())
    }

    /// Checks the time and the state of the fleet for a list, and returns the summary that was
    /// checked.
    fn check_conditions(&self, list: &MaintenanceList) -> Result<&FleetSummary, BlockedReason> {
        if !list.fits_window(self.now_ms) {
            return Err(BlockedReason::OutsideWindows);
        }
        let summary = self.summary.as_ref();
        let summary = summary.ok_or(BlockedReason::NoObservation)?;
        if summary.zone_outage {
            return Err(BlockedReason::ZoneOutage);
        }
        if list.is_overloaded(summary) {
            return Err(BlockedReason::Overload);
        }
        if summary.release_on_trial && !list.config.allowed_during_trials {
            return Err(BlockedReason::ReleaseOnTrial);
        }
        Ok(summary)
    }

    /// Returns the capacity of unavailable machines that were granted after a log index.
    fn capacity_granted_after(&self, index: u64) -> f64 {
        let is_later = |state: &MachineState| {
            state.phase.is_unavailable() && state.grant.is_some_and(|grant| grant.0 > index)
        };
        self.machines()
            .filter(|(_, state)| is_later(state))
            .map(|(_, state)| state.machine.capacity)
            .sum()
    }

    /// Returns the next revocation, or else the next grant, for the leader to propose.
    pub fn next_command(&self) -> Option<Command> {
        self.next_revocation().or_else(|| self.next_grant())
    }

    /// Returns the revocation of a grant whose machine is not in maintenance yet and must no longer
    /// be taken out of service.
    fn next_revocation(&self) -> Option<Command> {
        let has_zone_outage = self
            .summary
            .as_ref()
            .is_some_and(|summary| summary.zone_outage);
        let must_revoke_grants = |list: &MaintenanceList| {
            let summary = self.summary.as_ref();
            let is_overloaded = summary.is_some_and(|summary| list.is_overloaded(summary));
            list.withdrawn || list.paused || is_overloaded
        };
        let (_, state) = self.machines().find(|(id, state)| {
            state.phase == MachinePhase::Granted
                && (has_zone_outage || self.lists.get(id).is_some_and(must_revoke_grants))
        })?;
        let grant = state.grant?;
        Some(Command::RevokeGrant { grant })
    }

    /// Returns the grant of the first waiting machine that may be taken out of service, in order of
    /// priority and then of the age of its list.
    fn next_grant(&self) -> Option<Command> {
        let mut lists: Vec<(&Identifier, &MaintenanceList)> = self.lists.iter().collect();
        lists.sort_by_key(|(id, list)| (Reverse(list.config.priority), list.created_index, **id));
        for (id, list) in lists {
            for state in &list.machines {
                let machine = &state.machine.name;
                if state.phase == MachinePhase::Waiting && self.check_grant(*id, machine).is_ok() {
                    return Some(Command::Grant {
                        list: *id,
                        machine: machine.clone(),
                    });
                }
            }
        }
        None
    }

    /// Returns whether the command's whole effect is already part of the schedule, so that it need
    /// not be proposed again.
    pub fn is_already_applied(&self, command: &Command) -> bool {
        let list_of = |id: &Identifier| self.lists.get(id);
        let state_of = |grant: &Identifier| self.machine_with_grant(*grant).map(|(_, state)| state);
        match command {
            Command::CreateList { list, .. } => list_of(list).is_some(),
            Command::AddMachines {
                list,
                first,
                machines,
            } => list_of(list)
                .is_some_and(|list| list.machines.len() >= usize::from(*first) + machines.len()),
            Command::PauseList { list } => list_of(list).is_none_or(|list| list.paused),
            Command::ResumeList { list } => list_of(list).is_none_or(|list| !list.paused),
            Command::WithdrawList { list } => list_of(list).is_none_or(|list| list.withdrawn),
            Command::WorkBegan { grant } => state_of(grant)
                .is_none_or(|state| state.work_began || state.phase != MachinePhase::InMaintenance),
            Command::WorkEnded { grant, .. } => state_of(grant).is_none_or(|state| {
                !matches!(
                    state.phase,
                    MachinePhase::Granted | MachinePhase::InMaintenance
                )
            }),
            Command::SidecarGone { name, incarnation } => {
                self.sidecars.get(name) != Some(incarnation)
            }
            Command::ListKnown { .. }
            | Command::SidecarStarted { .. }
            | Command::Observe { .. }
            | Command::Grant { .. }
            | Command::Drained { .. }
            | Command::WarmedUp { .. }
            | Command::RevokeGrant { .. } => true,
        }
    }

    /// Encodes the schedule for a snapshot of the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
