//! Lists, machines and how far each is on its way.

use crate::limits::{check_limits, BlockedReason, FleetSummary};
use crate::words::{Command, Identifier, ListConfig, Machine, MAX_LISTS, MAX_MACHINES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Sidecars that are known, at most.
const MAX_SIDECARS: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    Waiting,
    Granted,
    InMaintenance,
    WarmingUp,
    Done,
    /// The machine said that the work failed, or said nothing for too long while it was out.
    Failed,
}

/// The form of the proxies' work page, which other programs read: its names stay as they are.
impl fmt::Display for MachinePhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MachinePhase::Waiting => "waits",
            MachinePhase::Granted => "granted",
            MachinePhase::InMaintenance => "out",
            MachinePhase::WarmingUp => "back",
            MachinePhase::Done => "done",
            MachinePhase::Failed => "failed",
        })
    }
}

impl MachinePhase {
    /// Whether it counts as out: it may serve nothing, or is cold.
    pub fn is_unavailable(self) -> bool {
        matches!(
            self,
            MachinePhase::Granted | MachinePhase::InMaintenance | MachinePhase::WarmingUp
        )
    }
}

/// How far one machine is, for one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    pub machine: Machine,
    pub phase: MachinePhase,
    /// The grant it goes by, and since when, in the log's time, it stands at this step.
    pub grant: Option<Identifier>,
    pub since_ms: u64,
    /// The work began, and is taking longer than it may.
    pub work_began: bool,
    pub stalled: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceList {
    /// The place in the log where it was asked for.
    pub created_index: u64,
    pub config: ListConfig,
    pub machine_count: u16,
    /// The place in the log where its last machine came, and whether all sidecars know them.
    pub completed_index: u64,
    pub known: bool,
    pub paused: bool,
    pub withdrawn: bool,
    pub machines: Vec<MachineState>,
}

impl MaintenanceList {
    pub fn is_complete(&self) -> bool {
        self.machines.len() == usize::from(self.machine_count)
    }

    fn is_overloaded(&self, seen: &FleetSummary) -> bool {
        seen.rejection_rate > self.config.limits.max_rejection_rate
    }

    /// Nothing is to be done for it any more.
    pub fn is_finished(&self) -> bool {
        let settled = |way: &MachineState| match way.phase {
            MachinePhase::Done | MachinePhase::Failed => true,
            MachinePhase::Waiting => self.withdrawn,
            _ => false,
        };
        (self.is_complete() || self.withdrawn) && self.machines.iter().all(settled)
    }
}

/// Why a settled word changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    #[error("there is such a list")]
    ListExists,
    #[error("no such list")]
    UnknownList,
    #[error("no such machine on the list, or not one that waits")]
    MachineNotWaiting,
    #[error("no such grant, or not at the step before")]
    GrantNotInPhase,
    #[error("the machine is out for another list")]
    UnavailableForOtherList,
    #[error("more than {MAX_LISTS} lists, {MAX_MACHINES} machines or {MAX_SIDECARS} sidecars, or a later start is known")]
    LimitExceeded,
    #[error("a part that does not follow the one before")]
    OutOfSequence,
    #[error("time that goes back")]
    ClockBackwards,
    #[error("not now: {0}")]
    Blocked(BlockedReason),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceSchedule {
    now_ms: u64,
    lists: BTreeMap<Identifier, MaintenanceList>,
    /// Sidecars that may send, by name, each with its start.
    sidecars: BTreeMap<String, u64>,
    summary: Option<FleetSummary>,
}

impl MaintenanceSchedule {
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn lists(&self) -> &BTreeMap<Identifier, MaintenanceList> {
        &self.lists
    }

    pub fn sidecars(&self) -> &BTreeMap<String, u64> {
        &self.sidecars
    }

    fn machines(&self) -> impl Iterator<Item = (Identifier, &MachineState)> {
        self.lists
            .iter()
            .flat_map(|(list, of)| of.machines.iter().map(|way| (*list, way)))
    }

    /// The way that goes by a grant.
    pub fn machine_with_grant(&self, grant: Identifier) -> Option<(Identifier, &MachineState)> {
        self.machines().find(|(_, way)| way.grant == Some(grant))
    }

    /// Machines that nobody is to send to: from the grant until the work is over.
    pub fn closed_machines(&self) -> impl Iterator<Item = (&Machine, Identifier)> {
        let closed = |way: &&MachineState| {
            matches!(
                way.phase,
                MachinePhase::Granted | MachinePhase::InMaintenance
            )
        };
        let ways = self.machines().map(|(_, way)| way).filter(closed);
        ways.filter_map(|way| Some((&way.machine, way.grant?)))
    }

    fn unavailable_machines(&self) -> Vec<&Machine> {
        self.machines()
            .filter(|(_, way)| way.phase.is_unavailable())
            .map(|(_, way)| &way.machine)
            .collect()
    }

    /// Whether a machine that waits may go out now.
    ///
    /// # Errors
    /// Why not.
    pub fn check_grant(&self, list: Identifier, machine: &str) -> Result<(), ApplyError> {
        let of = self.lists.get(&list).ok_or(ApplyError::UnknownList)?;
        let waits =
            |way: &&MachineState| way.machine.name == machine && way.phase == MachinePhase::Waiting;
        let way = of
            .machines
            .iter()
            .find(waits)
            .ok_or(ApplyError::MachineNotWaiting)?;
        if of.paused || of.withdrawn || !of.is_complete() {
            return Err(ApplyError::Blocked(BlockedReason::ListNotActive));
        }
        if !of.known {
            return Err(ApplyError::Blocked(BlockedReason::ListNotKnown));
        }
        let out = self.unavailable_machines();
        if out.iter().any(|other| other.name == machine) {
            return Err(ApplyError::UnavailableForOtherList);
        }
        let within = |window: &crate::words::Window| {
            window.start_ms <= self.now_ms
                && self.now_ms + of.config.work_duration_ms <= window.end_ms
        };
        if !of.config.windows.is_empty() && !of.config.windows.iter().any(within) {
            return Err(ApplyError::Blocked(BlockedReason::OutsideWindows));
        }
        let seen = self
            .summary
            .as_ref()
            .ok_or(ApplyError::Blocked(BlockedReason::NoObservation))?;
        let later = |(_, way): &(Identifier, &MachineState)| {
            way.phase.is_unavailable() && way.grant.is_some_and(|no| no.0 > seen.applied_index)
        };
        let since: f64 = self
            .machines()
            .filter(later)
            .map(|(_, way)| way.machine.capacity)
            .sum();
        if seen.zone_outage {
            return Err(ApplyError::Blocked(BlockedReason::ZoneOutage));
        }
        if of.is_overloaded(seen) {
            return Err(ApplyError::Blocked(BlockedReason::Overload));
        }
        if seen.release_on_trial && !of.config.allowed_during_trials {
            return Err(ApplyError::Blocked(BlockedReason::ReleaseOnTrial));
        }
        // Whatever list has a machine out, its limits hold for one more.
        let owners = self.lists.iter().filter(|(no, other)| {
            **no == list || other.machines.iter().any(|way| way.phase.is_unavailable())
        });
        for (_, other) in owners {
            check_limits(&other.config.limits, &way.machine, &out, seen, since)
                .map_err(ApplyError::Blocked)?;
        }
        Ok(())
    }

    /// Takes a settled word in, at its place in the log.
    ///
    /// # Errors
    /// Why it changes nothing: the same for all who read the log.
    pub fn apply(&mut self, index: u64, word: &Command) -> Result<(), ApplyError> {
        let no = Identifier(index);
        match word {
            Command::CreateList {
                list,
                config: terms,
                machine_count: machines,
            } => {
                if self.lists.contains_key(list) {
                    return Err(ApplyError::ListExists);
                }
                // The oldest of those that are over make room.
                let over = self.lists.iter().filter(|(_, list)| list.is_finished());
                let oldest = over
                    .min_by_key(|(_, list)| list.created_index)
                    .map(|(no, _)| *no);
                if let Some(oldest) = oldest.filter(|_| self.lists.len() >= MAX_LISTS) {
                    self.lists.remove(&oldest);
                }
                let asked = index;
                if self.lists.len() >= MAX_LISTS || usize::from(*machines) > MAX_MACHINES {
                    return Err(ApplyError::LimitExceeded);
                }
                let of = MaintenanceList {
                    created_index: asked,
                    config: terms.clone(),
                    machine_count: *machines,
                    completed_index: index,
                    known: false,
                    paused: false,
                    withdrawn: false,
                    machines: Vec::new(),
                };
                self.lists.insert(*list, of);
            }
            Command::AddMachines {
                list,
                first,
                machines,
            } => {
                let now = self.now_ms;
                let of = self.lists.get_mut(list).ok_or(ApplyError::UnknownList)?;
                let follows = usize::from(*first) == of.machines.len()
                    && of.machines.len() + machines.len() <= usize::from(of.machine_count);
                let twice = |machine: &Machine| {
                    of.machines
                        .iter()
                        .any(|way| way.machine.name == machine.name)
                };
                if !follows || machines.iter().any(twice) {
                    return Err(ApplyError::OutOfSequence);
                }
                let way = |machine: &Machine| MachineState {
                    machine: machine.clone(),
                    phase: MachinePhase::Waiting,
                    grant: None,
                    since_ms: now,
                    work_began: false,
                    stalled: false,
                };
                of.machines.extend(machines.iter().map(way));
                of.completed_index = index;
            }
            Command::ListKnown { list } => {
                let of = self.list_mut(*list)?;
                if !of.is_complete() {
                    return Err(ApplyError::Blocked(BlockedReason::ListNotActive));
                }
                of.known = true;
            }
            Command::SidecarStarted {
                name,
                incarnation: start,
            } => {
                let full = self.sidecars.len() >= MAX_SIDECARS && !self.sidecars.contains_key(name);
                if full || self.sidecars.get(name).is_some_and(|known| known >= start) {
                    return Err(ApplyError::LimitExceeded);
                }
                self.sidecars.insert(name.clone(), *start);
            }
            Command::SidecarGone {
                name,
                incarnation: start,
            } => self
                .sidecars
                .retain(|known, of| known != name || of != start),
            Command::PauseList { list } => self.list_mut(*list)?.paused = true,
            Command::ResumeList { list } => self.list_mut(*list)?.paused = false,
            Command::WithdrawList { list } => self.list_mut(*list)?.withdrawn = true,
            Command::Observe {
                at_ms: at,
                summary: seen,
            } => {
                if *at < self.now_ms {
                    return Err(ApplyError::ClockBackwards);
                }
                self.now_ms = *at;
                self.summary = Some(seen.clone());
                self.mark_stalled();
            }
            Command::Grant { list, machine } => {
                self.check_grant(*list, machine)?;
                let now = self.now_ms;
                let of = self.list_mut(*list)?;
                let way = of
                    .machines
                    .iter_mut()
                    .find(|way| way.machine.name == *machine)
                    .ok_or(ApplyError::MachineNotWaiting)?;
                (way.phase, way.grant, way.since_ms) = (MachinePhase::Granted, Some(no), now);
            }
            Command::Drained { grant } => self.advance(
                *grant,
                &[MachinePhase::Granted],
                MachinePhase::InMaintenance,
            )?,
            Command::WorkBegan { grant } => {
                let now = self.now_ms;
                let way = self.machine_mut(*grant, &[MachinePhase::InMaintenance])?;
                // Told twice, it began once.
                if !way.work_began {
                    (way.work_began, way.since_ms) = (true, now);
                }
            }
            Command::WorkEnded {
                grant,
                succeeded: true,
            } => self.advance(
                *grant,
                &[MachinePhase::InMaintenance],
                MachinePhase::WarmingUp,
            )?,
            Command::WorkEnded {
                grant,
                succeeded: false,
            } => self.advance(*grant, &[MachinePhase::InMaintenance], MachinePhase::Failed)?,
            Command::WarmedUp { grant } => {
                self.advance(*grant, &[MachinePhase::WarmingUp], MachinePhase::Done)?
            }
            Command::RevokeGrant { grant } => {
                // What may be worked on already is not taken back by a word: it comes back by the machine's.
                let way = self.machine_mut(*grant, &[MachinePhase::Granted])?;
                (way.phase, way.grant) = (MachinePhase::Waiting, None);
            }
        }
        Ok(())
    }

    fn list_mut(&mut self, list: Identifier) -> Result<&mut MaintenanceList, ApplyError> {
        self.lists.get_mut(&list).ok_or(ApplyError::UnknownList)
    }

    fn machine_mut(
        &mut self,
        grant: Identifier,
        at: &[MachinePhase],
    ) -> Result<&mut MachineState, ApplyError> {
        let mut ways = self
            .lists
            .values_mut()
            .flat_map(|list| list.machines.iter_mut());
        ways.find(|way| way.grant == Some(grant) && at.contains(&way.phase))
            .ok_or(ApplyError::GrantNotInPhase)
    }

    fn advance(
        &mut self,
        grant: Identifier,
        from: &[MachinePhase],
        to: MachinePhase,
    ) -> Result<(), ApplyError> {
        let now = self.now_ms;
        let way = self.machine_mut(grant, from)?;
        (way.phase, way.since_ms, way.stalled) = (to, now, false);
        Ok(())
    }

    /// A machine that is out for too long is told as stalled; it stays out, as nobody knows what is done to it, and counts.
    fn mark_stalled(&mut self) {
        let now = self.now_ms;
        for list in self.lists.values_mut() {
            let most = list.config.stall_timeout_ms;
            for way in list
                .machines
                .iter_mut()
                .filter(|way| way.phase == MachinePhase::InMaintenance)
            {
                way.stalled = now > way.since_ms + most;
            }
        }
    }

    /// The word that whoever leads is to put up now, besides what it is told: a grant, or what takes one back.
    pub fn next_command(&self) -> Option<Command> {
        let trouble = self.summary.as_ref().is_some_and(|seen| seen.zone_outage);
        let granted = |(_, way): &(Identifier, &MachineState)| way.phase == MachinePhase::Granted;
        let stops = |list: &MaintenanceList| {
            list.withdrawn
                || list.paused
                || self
                    .summary
                    .as_ref()
                    .is_some_and(|seen| list.is_overloaded(seen))
        };
        let back = self
            .machines()
            .filter(granted)
            .find(|(list, _)| trouble || self.lists.get(list).is_some_and(stops));
        if let Some(grant) = back.and_then(|(_, way)| way.grant) {
            return Some(Command::RevokeGrant { grant });
        }
        let mut lists: Vec<(&Identifier, &MaintenanceList)> = self.lists.iter().collect();
        // The older of two of one priority first.
        lists.sort_by_key(|(no, list)| {
            (
                std::cmp::Reverse(list.config.priority),
                list.created_index,
                **no,
            )
        });
        let mut waits = lists
            .into_iter()
            .flat_map(|(no, list)| list.machines.iter().map(|way| (*no, way)));
        let goes = |(no, way): &(Identifier, &MachineState)| {
            way.phase == MachinePhase::Waiting && self.check_grant(*no, &way.machine.name).is_ok()
        };
        let (list, way) = waits.find(goes)?;
        Some(Command::Grant {
            list,
            machine: way.machine.name.clone(),
        })
    }

    /// Whether all that a word is to bring about is so: it need not be put up again.
    pub fn is_reflected(&self, word: &Command) -> bool {
        let of = |list: &Identifier| self.lists.get(list);
        match word {
            Command::CreateList { list, .. } => of(list).is_some(),
            Command::AddMachines {
                list,
                first,
                machines,
            } => {
                of(list).is_some_and(|of| of.machines.len() >= usize::from(*first) + machines.len())
            }
            Command::PauseList { list } => of(list).is_none_or(|of| of.paused),
            Command::ResumeList { list } => of(list).is_none_or(|of| !of.paused),
            Command::WithdrawList { list } => of(list).is_none_or(|of| of.withdrawn),
            Command::WorkBegan { grant } => self
                .machine_with_grant(*grant)
                .is_none_or(|(_, way)| way.work_began || way.phase != MachinePhase::InMaintenance),
            Command::WorkEnded { grant, .. } => {
                self.machine_with_grant(*grant).is_none_or(|(_, way)| {
                    !matches!(
                        way.phase,
                        MachinePhase::Granted | MachinePhase::InMaintenance
                    )
                })
            }
            Command::SidecarGone {
                name,
                incarnation: start,
            } => self.sidecars.get(name) != Some(start),
            Command::ListKnown { .. } | Command::SidecarStarted { .. } => true,
            Command::Observe { .. }
            | Command::Grant { .. }
            | Command::Drained { .. }
            | Command::WarmedUp { .. }
            | Command::RevokeGrant { .. } => true,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The state as it was written; none if it can't be read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
