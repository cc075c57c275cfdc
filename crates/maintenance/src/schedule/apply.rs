//! State transitions of the schedule by commands of the log.

use super::{ApplyError, MaintenanceSchedule, MAX_SIDECARS};
use crate::command::{Command, Identifier, ListConfig, Machine, MAX_LISTS, MAX_MACHINES};
use crate::fleet_summary::FleetSummary;
use crate::limits::BlockedReason;
use crate::list::{MachinePhase, MachineState, MaintenanceList};

impl MaintenanceSchedule {
    /// Applies a committed command with its log index.
    ///
    /// # Errors
    /// The command changes nothing, for the same reason at all readers of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<(), ApplyError> {
        match command {
            Command::CreateList {
                list,
                config,
                machine_count,
            } => self.create_list(index, *list, config, *machine_count),
            Command::AddMachines {
                list,
                first,
                machines,
            } => self.add_machines(index, *list, *first, machines),
            Command::ListKnown { list } => self.set_known(*list),
            Command::PauseList { list } => self.set_paused(*list, true),
            Command::ResumeList { list } => self.set_paused(*list, false),
            Command::WithdrawList { list } => {
                self.list_mut(*list)?.withdrawn = true;
                Ok(())
            }
            Command::Observe { at_ms, summary } => self.observe(*at_ms, summary),
            Command::Grant { list, machine } => self.grant(index, *list, machine),
            Command::SidecarStarted { name, incarnation } => self.add_sidecar(name, *incarnation),
            Command::SidecarGone { name, incarnation } => {
                self.sidecars
                    .retain(|known, current| known != name || current != incarnation);
                Ok(())
            }
            Command::Drained { grant } => {
                self.advance(*grant, MachinePhase::Granted, MachinePhase::InMaintenance)
            }
            Command::WorkBegan { grant } => self.begin_work(*grant),
            Command::WorkEnded { grant, succeeded } => {
                let next = if *succeeded {
                    MachinePhase::WarmingUp
                } else {
                    MachinePhase::Failed
                };
                self.advance(*grant, MachinePhase::InMaintenance, next)
            }
            Command::WarmedUp { grant } => {
                self.advance(*grant, MachinePhase::WarmingUp, MachinePhase::Done)
            }
            Command::RevokeGrant { grant } => self.revoke(*grant),
        }
    }

    fn create_list(
        &mut self,
        index: u64,
        id: Identifier,
        config: &ListConfig,
        machine_count: u16,
    ) -> Result<(), ApplyError> {
        if self.lists.contains_key(&id) {
            return Err(ApplyError::ListExists);
        }
        if self.lists.len() >= MAX_LISTS {
            self.remove_oldest_finished_list();
        }
        if self.lists.len() >= MAX_LISTS || usize::from(machine_count) > MAX_MACHINES {
            return Err(ApplyError::LimitExceeded);
        }
        let list = MaintenanceList::new(index, config.clone(), machine_count);
        self.lists.insert(id, list);
        Ok(())
    }

    fn remove_oldest_finished_list(&mut self) {
        let finished = self.lists.iter().filter(|(_, list)| list.is_finished());
        let oldest = finished.min_by_key(|(_, list)| list.created_index);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.lists.remove(&id);
        }
    }

    fn add_machines(
        &mut self,
        index: u64,
        id: Identifier,
        first: u16,
        machines: &[Machine],
    ) -> Result<(), ApplyError> {
        let now_ms = self.now_ms;
        let list = self.list_mut(id)?;
        let follows = usize::from(first) == list.machines.len()
            && list.machines.len() + machines.len() <= usize::from(list.machine_count);
        let is_listed = |machine: &Machine| {
            let mut states = list.machines.iter();
            states.any(|state| state.machine.name == machine.name)
        };
        if !follows || machines.iter().any(is_listed) {
            return Err(ApplyError::OutOfSequence);
        }
        let waiting = |machine: &Machine| MachineState::waiting(machine.clone(), now_ms);
        list.machines.extend(machines.iter().map(waiting));
        list.completed_index = index;
        Ok(())
    }

    fn set_known(&mut self, id: Identifier) -> Result<(), ApplyError> {
        let list = self.list_mut(id)?;
        if !list.is_complete() {
            return Err(ApplyError::Blocked(BlockedReason::ListNotActive));
        }
        list.known = true;
        Ok(())
    }

    fn set_paused(&mut self, id: Identifier, paused: bool) -> Result<(), ApplyError> {
        self.list_mut(id)?.paused = paused;
        Ok(())
    }

    fn observe(&mut self, at_ms: u64, summary: &FleetSummary) -> Result<(), ApplyError> {
        if at_ms < self.now_ms {
            return Err(ApplyError::ClockBackwards);
        }
        self.now_ms = at_ms;
        self.summary = Some(summary.clone());
        self.mark_stalled();
        Ok(())
    }

    fn grant(&mut self, index: u64, id: Identifier, machine: &str) -> Result<(), ApplyError> {
        self.check_grant(id, machine)?;
        let now_ms = self.now_ms;
        let list = self.list_mut(id)?;
        let state = list
            .machines
            .iter_mut()
            .find(|state| state.machine.name == machine)
            .ok_or(ApplyError::MachineNotWaiting)?;
        state.phase = MachinePhase::Granted;
        state.grant = Some(Identifier(index));
        state.since_ms = now_ms;
        Ok(())
    }

    fn add_sidecar(&mut self, name: &str, incarnation: u64) -> Result<(), ApplyError> {
        let known = self.sidecars.get(name);
        let is_full = self.sidecars.len() >= MAX_SIDECARS && known.is_none();
        if is_full || known.is_some_and(|known| *known >= incarnation) {
            return Err(ApplyError::LimitExceeded);
        }
        self.sidecars.insert(name.to_owned(), incarnation);
        Ok(())
    }

    fn begin_work(&mut self, grant: Identifier) -> Result<(), ApplyError> {
        let now_ms = self.now_ms;
        let state = self.machine_mut(grant, MachinePhase::InMaintenance)?;
        // A repeated report does not restart the timer of the work.
        if !state.work_began {
            state.work_began = true;
            state.since_ms = now_ms;
        }
        Ok(())
    }

    /// Revokes a grant, which is possible only before maintenance. A machine that may already be
    /// worked on returns to service by its own report.
    fn revoke(&mut self, grant: Identifier) -> Result<(), ApplyError> {
        let state = self.machine_mut(grant, MachinePhase::Granted)?;
        state.phase = MachinePhase::Waiting;
        state.grant = None;
        Ok(())
    }

    fn advance(
        &mut self,
        grant: Identifier,
        from: MachinePhase,
        to: MachinePhase,
    ) -> Result<(), ApplyError> {
        let now_ms = self.now_ms;
        let state = self.machine_mut(grant, from)?;
        state.phase = to;
        state.since_ms = now_ms;
        state.stalled = false;
        Ok(())
    }

    fn list_mut(&mut self, id: Identifier) -> Result<&mut MaintenanceList, ApplyError> {
        self.lists.get_mut(&id).ok_or(ApplyError::UnknownList)
    }

    fn machine_mut(
        &mut self,
        grant: Identifier,
        phase: MachinePhase,
    ) -> Result<&mut MachineState, ApplyError> {
        self.lists
            .values_mut()
            .flat_map(|list| list.machines.iter_mut())
            .find(|state| state.grant == Some(grant) && state.phase == phase)
            .ok_or(ApplyError::GrantNotInPhase)
    }

    /// Marks machines whose work takes too long. They stay in maintenance and count as unavailable,
    /// because the state of their work is unknown.
    fn mark_stalled(&mut self) {
        let now_ms = self.now_ms;
        for list in self.lists.values_mut() {
            let timeout_ms = list.config.stall_timeout_ms;
            for state in &mut list.machines {
                if state.phase == MachinePhase::InMaintenance {
                    state.stalled = now_ms > state.since_ms + timeout_ms;
                }
            }
        }
    }
}
