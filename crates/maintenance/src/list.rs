//! Lists of machines, and the phase of each machine.

use crate::command::{Identifier, ListConfig, Machine};
use crate::fleet_summary::FleetSummary;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Phase of a machine's maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachinePhase {
    /// It serves, and has not been granted.
    Waiting,
    /// It is granted; sidecars stop sending to it.
    Granted,
    /// No sidecar sends to it: it may be worked on.
    InMaintenance,
    /// The work ended; the machine is starting, or cold.
    WarmingUp,
    /// It serves again.
    Done,
    /// The machine reported that the work failed.
    Failed,
}

impl MachinePhase {
    /// Whether the machine may serve nothing, or is cold.
    pub fn is_unavailable(self) -> bool {
        matches!(
            self,
            MachinePhase::Granted | MachinePhase::InMaintenance | MachinePhase::WarmingUp
        )
    }
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

/// State of one machine on one list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    /// The machine.
    pub machine: Machine,
    /// Its phase.
    pub phase: MachinePhase,
    /// Its grant, if it has one.
    pub grant: Option<Identifier>,
    /// When the phase began, or in maintenance the work, in milliseconds of the log's time.
    pub since_ms: u64,
    /// Whether the work began.
    pub work_began: bool,
    /// Whether the work takes longer than it may.
    pub stalled: bool,
}

impl MachineState {
    pub(crate) fn waiting(machine: Machine, now_ms: u64) -> Self {
        Self {
            machine,
            phase: MachinePhase::Waiting,
            grant: None,
            since_ms: now_ms,
            work_began: false,
            stalled: false,
        }
    }
}

/// A list of machines to be worked on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceList {
    /// Index of the command that created it.
    pub created_index: u64,
    /// Its configuration.
    pub config: ListConfig,
    /// How many machines it has once it is complete.
    pub machine_count: u16,
    /// Index of the command that added its last machines.
    pub completed_index: u64,
    /// Whether all sidecars know its machines.
    pub known: bool,
    /// Whether an operator paused it.
    pub paused: bool,
    /// Whether an operator withdrew it.
    pub withdrawn: bool,
    /// Its machines, in the order in which they are taken out.
    pub machines: Vec<MachineState>,
}

impl MaintenanceList {
    pub(crate) fn new(index: u64, config: ListConfig, machine_count: u16) -> Self {
        Self {
            created_index: index,
            config,
            machine_count,
            completed_index: index,
            known: false,
            paused: false,
            withdrawn: false,
            machines: Vec::new(),
        }
    }

    /// Whether all its machines were added.
    pub fn is_complete(&self) -> bool {
        self.machines.len() == usize::from(self.machine_count)
    }

    pub(crate) fn is_overloaded(&self, summary: &FleetSummary) -> bool {
        summary.rejection_rate > self.config.limits.max_rejection_rate
    }

    /// Whether nothing is left to be done for it.
    pub fn is_finished(&self) -> bool {
        let is_settled = |state: &MachineState| match state.phase {
            MachinePhase::Done | MachinePhase::Failed => true,
            MachinePhase::Waiting => self.withdrawn,
            MachinePhase::Granted | MachinePhase::InMaintenance | MachinePhase::WarmingUp => false,
        };
        (self.is_complete() || self.withdrawn) && self.machines.iter().all(is_settled)
    }

    /// Whether the work on one more machine would fit into one of the windows.
    pub(crate) fn fits_window(&self, now_ms: u64) -> bool {
        let windows = &self.config.windows;
        windows.is_empty()
            || windows.iter().any(|window| {
                window.start_ms <= now_ms && now_ms + self.config.work_duration_ms <= window.end_ms
            })
    }

    pub(crate) fn has_unavailable_machine(&self) -> bool {
        self.machines
            .iter()
            .any(|state| state.phase.is_unavailable())
    }
}
